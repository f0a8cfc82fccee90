/**
 * Description of a test fleet, without the addresses that are assigned at its start.
 */
import type { Configuration, Workspace } from '@egretyoke/config'

/** Configuration, VMs and behaviour of the stand-ins. Endpoint addresses are replaced by the assigned ones. */
export type FleetDescription = {
  configuration: Omit<Configuration, 'version'>
  vms: VmDescription[]
  /** Time for which a statement without its own cost occupies a slot of a database. */
  serviceMs?: number
  /** Time to open a connection to a database. */
  connectMs?: number
  replicationLagMs?: number
}

/** One VM: an entry and, unless `withoutStewards` is set, a steward. */
export type VmDescription = { name: string, dataCentre: string }

/** Relays between the processes. */
export type LinkOptions = {
  /** One relay for each VM, on its connections to the platform. */
  platform?: boolean
  /** One relay for each VM, on connections from its peers. */
  peers?: boolean
  /** One relay for each database, on connections from entries, stewards and replicas. */
  databases?: boolean
  /** Delay of each relay in each direction. */
  delayMs?: number
  /** Puts a relay that only counts bytes on every such connection; it supports neither delays nor faults. */
  countBytes?: boolean
}

/** Options of startFleet. */
export type FleetOptions = {
  links?: LinkOptions
  /** Databases record all requests and metadata that they receive. */
  record?: boolean
  /** Starts no stewards; the testbed writes the group records and the roster itself. */
  withoutStewards?: boolean
  /** Overrides for the settings of each program, by name. */
  entrySettings?: (vm: string) => Record<string, unknown>
  stewardSettings?: (vm: string) => Record<string, unknown>
  databaseSettings?: (database: string) => Record<string, unknown>
  /** Value of DEBUG for entries and stewards; empty by default. */
  debug?: string
  readyTimeoutMs?: number
}

const workspaceWith = (limits: Pick<Workspace, 'ratePerSec' | 'burst'>): Workspace => ({
  ...limits,
  weight: 1,
  keys: {},
  routes: {
    read: { group: 'group-1', access: 'read', repeatable: true, openToAll: false, profile: 'session' },
    write: { group: 'group-1', access: 'write', repeatable: false, openToAll: false, profile: 'session' },
    board: { group: 'group-1', access: 'read', repeatable: true, openToAll: false, profile: 'aged' }
  }
})

/** A small fleet for tests: one group of three databases, three data centres, two workspaces. */
export const smallFleet = (vmCount: number): FleetDescription => {
  const dataCentres = ['dc-1', 'dc-2', 'dc-3']
  const endpoint = (index: number) =>
    ({ address: '127.0.0.1:0', dataCentre: dataCentres[index], slots: 3, maxConnections: 20 })
  return {
    vms: Array.from({ length: vmCount }, (_, index) =>
      ({ name: `vm-${index + 1}`, dataCentre: dataCentres[index % dataCentres.length] })),
    configuration: {
      profiles: {
        session: { freshness: { kind: 'session' }, confirmation: 'majority', timeoutMs: 5_000, maxConcurrency: 100 },
        aged: {
          freshness: { kind: 'maxAge', maxAgeMs: 2_000 },
          confirmation: 'majority',
          timeoutMs: 5_000,
          maxConcurrency: 100
        }
      },
      workspaces: {
        'yard-1': workspaceWith({ ratePerSec: 500, burst: 200 }),
        'yard-2': workspaceWith({ ratePerSec: 500, burst: 200 })
      },
      groups: {
        'group-1': {
          endpoints: { 'db-1': endpoint(0), 'db-2': endpoint(1), 'db-3': endpoint(2) },
          firstPrimary: 'db-1'
        }
      },
      dataCentres: Object.fromEntries(dataCentres.map(name => [name, { region: 'region-1', state: 'in' }]))
    }
  }
}
