/**
 * Load and faults of the demo. Times are fractions of the planned length.
 */
import type { StoredConfiguration } from '@egretyoke/testbed'
import type { LoadStream } from './arrivals.js'
import type { Fault } from './faults.js'
import { maxExtensionMs } from './run-scenario.js'
import type { WarmUp } from './run-scenario.js'
import { standardMix, standardStreams } from './standard-load.js'

/** Start times of the demo's events, as fractions of its planned length. */
export const demoTimes = {
  dataCentreOut: 0.05,
  dataCentreIn: 0.3,
  floodFrom: 0.2,
  floodTo: 0.5,
  primaryKill: 0.55
} as const

const shareOfRate = 0.2
const floodTimesRate = 3
const warmUpShareOfRate = 0.1
const warmUpMs = 5_000

/** Load and faults of a demo run. */
export type DemoPlan = { streams: LoadStream[], faults: Fault[], floodingWorkspace: string, warmUp: WarmUp }

/** Plans the load and faults of a demo of `plannedMs`. */
export const planDemo = (configuration: StoredConfiguration, plannedMs: number): DemoPlan => {
  const byRate = Object.entries(configuration.workspaces)
    .toSorted(([, left], [, right]) => right.ratePerSec - left.ratePerSec)
  const [floodingWorkspace, { ratePerSec }] = byRate[0]
  const flood: LoadStream = {
    workspace: floodingWorkspace,
    ratePerSec: ratePerSec * (floodTimesRate - shareOfRate),
    fromMs: demoTimes.floodFrom * plannedMs,
    toMs: demoTimes.floodTo * plannedMs,
    mix: standardMix(configuration, floodingWorkspace)
  }
  const [firstGroup, ...otherGroups] = Object.entries(configuration.groups)
  const [, firstConfig] = firstGroup
  const dataCentre = firstConfig.endpoints[firstConfig.firstPrimary].dataCentre
  const [failingGroup] = otherGroups.at(0) ?? firstGroup
  return {
    floodingWorkspace,
    warmUp: { streams: standardStreams(configuration, warmUpShareOfRate, warmUpMs), durationMs: warmUpMs },
    streams: [...standardStreams(configuration, shareOfRate, plannedMs + maxExtensionMs), flood],
    faults: [
      { at: demoTimes.dataCentreOut, do: 'dataCentre', target: dataCentre, state: 'out' },
      { at: demoTimes.dataCentreIn, do: 'dataCentre', target: dataCentre, state: 'in' },
      { at: demoTimes.primaryKill, do: 'kill', target: `primary:${failingGroup}` }
    ]
  }
}
