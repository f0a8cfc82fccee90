/**
 * What the load tool needs to know of a route, out of the configuration.
 */
import type { Profile, Route } from '@egretyoke/config'
import type { StoredConfiguration } from '@egretyoke/testbed'

/** How a write is confirmed. */
export type Confirmation = Profile['confirmation']

/** How fresh a read must be. */
export type ReadFreshness = Profile['freshness']['kind']

/** A route with what its profile promises. */
export type RouteFacts = {
  route: string
  group: string
  access: Route['access']
  isRepeatable: boolean
  confirmation: Confirmation
  freshness: ReadFreshness
  maxAgeMs: number
  timeoutMs: number
}

/** Looks a workspace's route up. Throws when the configuration does not have it. */
export const routeFacts = (configuration: StoredConfiguration, workspace: string, name: string): RouteFacts => {
  const route = configuration.workspaces[workspace]?.routes[name]
  const profile = route && configuration.profiles[route.profile]
  if (!route || !profile) throw new Error(`workspace "${workspace}" has no route "${name}"`)
  return {
    route: name,
    group: route.group,
    access: route.access,
    isRepeatable: route.repeatable || route.access === 'read',
    confirmation: profile.confirmation,
    freshness: profile.freshness.kind,
    maxAgeMs: profile.freshness.kind === 'maxAge' ? profile.freshness.maxAgeMs : 0,
    timeoutMs: profile.timeoutMs
  }
}
