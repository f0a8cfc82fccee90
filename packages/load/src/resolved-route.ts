/**
 * Routes with the settings of their profiles.
 */
import type { Profile, Route } from '@egretyoke/config'
import type { StoredConfiguration } from '@egretyoke/testbed'

/** Confirmation mode of a write. */
export type Confirmation = Profile['confirmation']

/** Freshness mode of a read. */
export type ReadFreshness = Profile['freshness']['kind']

/** A route with the guarantees of its profile. */
export type ResolvedRoute = {
  route: string
  group: string
  access: Route['access']
  isRepeatable: boolean
  confirmation: Confirmation
  freshness: ReadFreshness
  maxAgeMs: number
  timeoutMs: number
}

/** Looks up a route of a workspace and its profile. Throws when the configuration does not contain them. */
export const resolveRoute = (configuration: StoredConfiguration, workspace: string, name: string): ResolvedRoute => {
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
