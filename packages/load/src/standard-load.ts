/**
 * Default load for a configuration: each workspace at a fraction of its rate with many more reads than writes, and a
 * clock stream for each group with reads of a maximum age, so that the checker can verify their age.
 */
import type { StoredConfiguration } from '@egretyoke/testbed'
import type { LoadStream } from './arrivals.js'
import { resolveRoute } from './resolved-route.js'
import type { ResolvedRoute } from './resolved-route.js'

/** Write rate of each group's clock key. */
const clockRatePerSec = 10

const shareOf = (route: ResolvedRoute): number => {
  if (route.access === 'write') return route.confirmation === 'primary' ? 0.05 : 0.1
  if (route.freshness === 'primary') return 0.05
  return route.freshness === 'session' ? 0.45 : 0.25
}

/** Returns the weight of each route of a workspace. */
export const standardMix = (configuration: StoredConfiguration, workspace: string): Record<string, number> => {
  const routes = Object.keys(configuration.workspaces[workspace].routes)
  return Object.fromEntries(routes.map(route => [route, shareOf(resolveRoute(configuration, workspace, route))]))
}

/** Returns a stream of clock writes for each group with `maxAge` reads and a write route under `majority`. */
export const clockStreams = (configuration: StoredConfiguration, toMs: number): LoadStream[] => {
  const routes = Object.entries(configuration.workspaces).flatMap(([workspace, { routes: own }]) =>
    Object.keys(own).map(route => ({ workspace, ...resolveRoute(configuration, workspace, route) })))
  const groups = new Set(routes
    .filter(route => route.access === 'read' && route.freshness === 'maxAge')
    .map(route => route.group))
  return [...groups].flatMap(group => {
    const writer = routes.find(route =>
      route.group === group && route.access === 'write' && route.confirmation === 'majority')
    if (!writer) return []
    return [{
      workspace: writer.workspace,
      ratePerSec: clockRatePerSec,
      fromMs: 0,
      toMs,
      mix: { [writer.route]: 1 },
      isClock: true
    }]
  })
}

/** Returns streams of all workspaces at the given fraction of their rates, and the clock streams. */
export const standardStreams = (
  configuration: StoredConfiguration,
  shareOfRate: number,
  toMs: number
): LoadStream[] => {
  const streams = Object.entries(configuration.workspaces).map(([workspace, { ratePerSec }]) => ({
    workspace,
    ratePerSec: ratePerSec * shareOfRate,
    fromMs: 0,
    toMs,
    mix: standardMix(configuration, workspace)
  }))
  return [...streams, ...clockStreams(configuration, toMs)]
}
