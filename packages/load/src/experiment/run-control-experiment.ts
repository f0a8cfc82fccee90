/**
 * Control plane cost: CPU, memory, traffic and platform calls of fleets without load, by fleet size and rate of
 * configuration changes.
 */
import { monotonicMs, sleepMs, ticks } from '@egretyoke/common'
import { startFleet } from '@egretyoke/testbed'
import type { Fleet } from '@egretyoke/testbed'
import { describeFleet } from './experiment-fleet.js'
import type { ExperimentOutcome, ResultRow } from './experiment-result.js'
import { fleetShapeSchema } from './experiment-schema.js'
import type { ControlExperiment } from './experiment-schema.js'
import { median, readProcessCost } from './process-cost.js'
import type { LogProgress } from './run-load-experiment.js'

const settleMs = 5_000
const bytesPerKb = 1024
const bytesPerMb = 1024 * 1024
const readyTimeoutMs = 120_000

type Size = ControlExperiment['fleets'][number]

const workspacesOf = (size: Size) => Object.fromEntries(Array.from({ length: size.workspaces }, (_, index) =>
  [`yard-${index + 1}`, { ratePerSec: 100, burst: 100, weight: 1, group: `group-${index % size.groups + 1}` }]))

const changeRegularly = async (fleet: Fleet, changesPerSec: number, signal: AbortSignal): Promise<number> => {
  if (changesPerSec === 0) return 0
  let changes = 0
  for await (const count of ticks(1_000 / changesPerSec, signal)) {
    await fleet.applyConfiguration(draft => {
      draft.workspaces['yard-1'].burst = 100 + count % 2
    })
    changes++
  }
  return changes
}

const readCosts = (fleet: Fleet, names: string[]) =>
  Promise.all(names.map(name => readProcessCost(fleet.healthAddress(name))))

const measureFleet = async (fleet: Fleet, size: Size, seconds: number): Promise<ResultRow['measures']> => {
  const stewards = fleet.vmNames.map(vm => `steward-${vm}`)
  const names = [...fleet.vmNames, ...stewards]
  const before = await readCosts(fleet, names)
  const platformBefore = await fleet.readPlatformStats()
  const bytesBefore = fleet.relayedBytes()
  const startedMs = monotonicMs()
  const stopping = new AbortController()
  const changing = changeRegularly(fleet, size.changesPerSec, stopping.signal)
  await sleepMs(seconds * 1_000)
  stopping.abort()
  const changes = await changing
  const elapsedSeconds = (monotonicMs() - startedMs) / 1_000
  const relayedBytes = fleet.relayedBytes() - bytesBefore
  const after = await readCosts(fleet, names)
  const platformAfter = await fleet.readPlatformStats()
  const cores = names.map((_, index) => (after[index].cpuSeconds - before[index].cpuSeconds) / elapsedSeconds)
  const memory = after.map(cost => cost.memoryBytes / bytesPerMb)
  const count = fleet.vmNames.length
  return {
    vms: size.vms,
    groups: size.groups,
    workspaces: size.workspaces,
    changesPerSec: changes / elapsedSeconds,
    entryCorePercent: 100 * median(cores.slice(0, count)),
    stewardCorePercent: 100 * median(cores.slice(count)),
    entryMemoryMb: median(memory.slice(0, count)),
    stewardMemoryMb: median(memory.slice(count)),
    /** Traffic per VM, in KiB per second, on all connections to the platform, peers and databases. */
    controlKbPerVmSec: relayedBytes / bytesPerKb / elapsedSeconds / size.vms,
    platformCallsPerSec: (platformAfter.calls - platformBefore.calls) / elapsedSeconds,
    waitingWatches: platformAfter.waitingWatches
  }
}

const nameOf = ({ vms, groups, workspaces, changesPerSec }: Size): string =>
  `${vms} VMs, ${groups} groups, ${workspaces} workspaces, ${changesPerSec} changes/s`

/** Measures fleets of all sizes in sequence. */
export const runControlExperiment = async (
  experiment: ControlExperiment, seconds: number, logProgress: LogProgress
): Promise<ExperimentOutcome> => {
  const outcome: ExperimentOutcome = { rows: [], panels: [] }
  for (const size of experiment.fleets) {
    const shape = fleetShapeSchema.parse({ vms: size.vms, groups: size.groups })
    const scenario = nameOf(size)
    logProgress(scenario)
    const options = { readyTimeoutMs, links: { countBytes: true } }
    const fleet = await startFleet(describeFleet(shape, workspacesOf(size)), options)
    try {
      await sleepMs(settleMs)
      outcome.rows.push({
        scenario, variant: 'egretyoke', measures: await measureFleet(fleet, size, seconds), details: size
      })
    } finally {
      await fleet.close()
    }
  }
  return outcome
}
