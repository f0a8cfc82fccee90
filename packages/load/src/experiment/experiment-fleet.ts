/**
 * Builds the fleet description and the load streams of an experiment.
 */
import type { Workspace } from '@egretyoke/config'
import type { FleetDescription, StoredConfiguration } from '@egretyoke/testbed'
import type { LoadStream } from '../arrivals.js'
import { maxExtensionMs } from '../run-scenario.js'
import { clockStreams } from '../standard-load.js'
import type { FleetShape, LoadExperiment, LoadSpec } from './experiment-schema.js'

const dataCentreNames = ['dc-1', 'dc-2', 'dc-3']

/** Name prefix of separate workspaces that write the clock keys, so that this uses no tested workspace's rate. */
const clockWorkspace = 'clock-writer'

const routesOf = (group: string): Workspace['routes'] => ({
  write: { group, access: 'write', repeatable: false, openToAll: false, profile: 'session' },
  tally: { group, access: 'write', repeatable: true, openToAll: false, profile: 'session' },
  read: { group, access: 'read', repeatable: true, openToAll: false, profile: 'session' },
  board: { group, access: 'read', repeatable: true, openToAll: false, profile: 'aged' },
  'read-primary': { group, access: 'read', repeatable: true, openToAll: false, profile: 'primary' }
})

type WorkspaceLimits = { ratePerSec: number, burst: number, weight: number, group: string }

const workspaceOf = ({ group, ...limits }: WorkspaceLimits): Workspace =>
  ({ ...limits, keys: {}, routes: routesOf(group) })

const groupOf = (shape: FleetShape, number: number): StoredConfiguration['groups'][string] => {
  const names = Array.from({ length: shape.databasesPerGroup }, (_, index) => `db-${number}-${index + 1}`)
  const endpoints = Object.fromEntries(names.map((name, index) => [name, {
    address: '127.0.0.1:1',
    dataCentre: dataCentreNames[(index + number - 1) % dataCentreNames.length],
    slots: shape.slots,
    maxConnections: shape.maxConnections
  }]))
  return { endpoints, firstPrimary: names[0] }
}

/** Returns the description of a fleet with the given sizes and workspaces. */
export const describeFleet = (
  shape: FleetShape,
  workspaces: Record<string, WorkspaceLimits>
): FleetDescription => {
  const numbers = Array.from({ length: shape.groups }, (_, index) => index + 1)
  const { timeoutMs, maxConcurrency } = shape
  const profileOptions = { confirmation: 'majority' as const, timeoutMs, maxConcurrency }
  const clockEntries = numbers.map(number => [`${clockWorkspace}-${number}`,
    workspaceOf({ ratePerSec: 100, burst: 100, weight: 1, group: `group-${number}` })])
  const workspaceEntries = Object.entries(workspaces).map(([name, limits]) => [name, workspaceOf(limits)])
  return {
    vms: Array.from({ length: shape.vms }, (_, index) =>
      ({ name: `vm-${index + 1}`, dataCentre: dataCentreNames[index % dataCentreNames.length] })),
    serviceMs: shape.serviceMs,
    replicationLagMs: shape.replicationLagMs,
    configuration: {
      profiles: {
        session: { freshness: { kind: 'session' }, ...profileOptions },
        aged: { freshness: { kind: 'maxAge', maxAgeMs: shape.maxAgeMs }, ...profileOptions },
        primary: { freshness: { kind: 'primary' }, ...profileOptions }
      },
      workspaces: Object.fromEntries([...clockEntries, ...workspaceEntries]),
      groups: Object.fromEntries(numbers.map(number => [`group-${number}`, groupOf(shape, number)])),
      dataCentres: Object.fromEntries(dataCentreNames.map(name => [name, { region: 'region-1', state: 'in' }]))
    }
  }
}

/** Returns the load streams of an experiment. Loads that last to the end continue while a failover is pending. */
export const streamsOf = (
  experiment: LoadExperiment,
  loads: LoadSpec[],
  configuration: StoredConfiguration,
  plannedMs: number
): LoadStream[] => {
  const streams = loads.flatMap(load => {
    const names = load.workspace === '*' ? Object.keys(experiment.workspaces) : [load.workspace]
    return names.map(workspace => ({
      workspace,
      ratePerSec: load.timesRate * experiment.workspaces[workspace].ratePerSec,
      fromMs: load.from * plannedMs,
      toMs: load.to === 1 ? plannedMs + maxExtensionMs : load.to * plannedMs,
      mix: load.mix,
      costMs: load.costMs,
      vms: load.vms
    }))
  })
  return [...streams, ...clockStreams(configuration, plannedMs + maxExtensionMs)]
}
