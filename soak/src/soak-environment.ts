/**
 * Environment of a soak: stand-ins of the platform's store and of a database group, loopback links, the configuration
 * that operators change, and gateways as child processes.
 */
import { randomInt } from 'node:crypto'
import { createWriteStream } from 'node:fs'
import { createServer } from 'node:net'
import { join } from 'node:path'
import { sleepMs } from '@egretyoke/common'
import type { Random } from '@egretyoke/common'
import { startStoreStandin } from '@egretyoke/platform/testing'
import type { StoreStandin } from '@egretyoke/platform/testing'
import { startLink } from '@egretyoke/standins'
import type { Link } from '@egretyoke/standins'
import { startGatewayProcess } from './gateway-process.js'
import type { GatewayOptions, GatewayProcess } from './gateway-process.js'
import { maxStalenessMs } from './soak-callers.js'
import { slotsPerDatabase, startSoakDatabases } from './soak-databases.js'
import type { SoakDatabase, SoakDatabases } from './soak-databases.js'
import type { SoakRecord } from './soak-record.js'

/** Workspaces of the soak. */
export const workspaces = ['yard-a', 'yard-b', 'yard-c', 'yard-d'] as const
/** Routes of the soak; `database` is the name that callers connect to. */
export const routes = [
  { database: 'slots', routeType: 'primary' },
  { database: 'boards', routeType: 'bounded_staleness' },
  { database: 'ledger', routeType: 'read_your_writes' }
] as const

/** API key of a workspace. */
export const keyOf = (workspace: string): string => `key-of-${workspace}`

/** Environment of a run. */
export type SoakEnvironment = {
  store: StoreStandin
  databases: SoakDatabases
  /** One link in front of each database, in the order of `databases`. */
  databaseLinks: readonly Link[]
  /** One link from each gateway to the store. */
  storeLinks: readonly Link[]
  gateways: readonly GatewayProcess[]
  operators: Operators
  /** Writes a database's entry to the store. */
  register: (database: SoakDatabase) => void
  /** Deletes a database's entry from the store. */
  unregister: (database: SoakDatabase) => void
  closeGateways: () => Promise<void>
  /** Stops the gateways, and then the links and stand-ins. */
  close: () => Promise<void>
}

/** Operator actions on the configuration. */
export type Operators = {
  /** Writes the current configuration to the store. */
  writeConfiguration: () => void
  /** Writes the configuration under a higher version. */
  changeConfiguration: () => void
  isWithdrawn: (workspace: string) => boolean
  /** Withdraws the key of one more workspace; the first workspace keeps its key. */
  withdrawKey: () => void
}

/** Options of a soak environment; settings and logs of the gateways are written to the folder. */
export type SoakEnvironmentOptions = { gateways: number, folder: string, record: SoakRecord, random: Random }

const service = 'bookings'
const dataCentres = ['quay', 'yard', 'dock']
const regionByDataCentre = { quay: 'north', yard: 'south', dock: 'west' }
const startTimeoutMs = 20_000
const versionStep = 3
const maxConnections = 22
const portsPerGateway = 5

/** Below the ephemeral port range, so that no outgoing connection occupies a gateway's port while it restarts. */
const portRange = { from: 12_000, to: 32_000 } as const

const isFree = (port: number) => new Promise<boolean>(resolve => {
  const server = createServer()
  server.once('error', () => resolve(false))
  server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
})

const freePorts = async (count: number): Promise<number[]> => {
  const ports = new Set<number>()
  while (ports.size < count) {
    const port = randomInt(portRange.from, portRange.to)
    if (await isFree(port)) ports.add(port)
  }
  return [...ports]
}

const startLinkTo = (target: string): Promise<Link> =>
  startLink({ listen: '127.0.0.1:0', control: '127.0.0.1:0', target, delayMs: 0 })

const createOperators = (write: (key: string, value: unknown) => void, record: SoakRecord): Operators => {
  let version = 1
  const withdrawn = new Set<string>()
  const writeConfiguration = () => write('op/config', {
    version,
    routes: routes.map(route => ({
      ...route,
      service,
      timeoutMs: 1500,
      targetLatencyMs: 1000,
      priority: 1,
      maxStalenessMs: route.routeType === 'primary' ? 0 : maxStalenessMs
    })),
    services: [{ name: service, maxConns: maxConnections }],
    limits: { txIdleMs: 1500 },
    tenants: workspaces.map(name => ({
      name, apiKeys: withdrawn.has(name) ? [] : [keyOf(name)], ratePerS: 2000, burstSize: 2000
    }))
  })
  const changeConfiguration = () => {
    version += versionStep
    writeConfiguration()
  }
  return {
    writeConfiguration,
    changeConfiguration,
    isWithdrawn: (workspace: string) => withdrawn.has(workspace),
    withdrawKey: () => {
      // The first workspace keeps its key for the whole run.
      const nextWorkspace = workspaces.slice(1).find(workspace => !withdrawn.has(workspace))
      if (nextWorkspace === undefined) return
      withdrawn.add(nextWorkspace)
      changeConfiguration()
      record.keyWithdrawnAtMs.set(nextWorkspace, performance.now())
    }
  }
}

/** Options for gateways with free ports, distributed over the data centres. */
export const allocateGateways = async (count: number, storeAddress: string): Promise<GatewayOptions[]> => {
  const ports = await freePorts(count * portsPerGateway)
  return Array.from({ length: count }, (_, index) => {
    const [callerPort, readinessPort, relayPort, metricsPort] = ports.slice(index * portsPerGateway)
    return {
      name: `vm-${index + 1}`,
      dataCentre: dataCentres[index % dataCentres.length],
      regionByDataCentre,
      callerPort,
      readinessPort,
      relayPort,
      metricsPort,
      storeAddress,
      failoverAddress: storeAddress
    }
  })
}

/** Starts the gateways. Each reaches the store over its own link, but sends failover calls directly. */
const startGateways = async (count: number, storeAddress: string, folder: string) => {
  const links = await Promise.all(Array.from({ length: count }, () => startLinkTo(storeAddress)))
  const gatewayOptions = await allocateGateways(count, storeAddress)
  const gateways = gatewayOptions.map((options, index) => {
    const log = createWriteStream(join(folder, `${options.name}.log`))
    return startGatewayProcess({ ...options, storeAddress: links[index].address }, folder, line => { log.write(line) })
  })
  return { links, gateways }
}

const waitUntilInRotation = async (gateways: readonly GatewayProcess[]) => {
  const deadlineMs = performance.now() + startTimeoutMs
  while (!gateways.every(gateway => gateway.isInRotation()) && performance.now() < deadlineMs) await sleepMs(50)
}

/** Starts stand-ins, links and gateways; resolves when all gateways are in rotation, or after the start timeout. */
export const startSoakEnvironment = async (
  { gateways: count, folder, record, random }: SoakEnvironmentOptions
): Promise<SoakEnvironment> => {
  const databases = await startSoakDatabases({
    service, dataCentres, record, random, lagMs: () => random.integer(2, 30)
  })
  const store = await startStoreStandin({ pageSize: 500, onFailover: databases.promote })
  const databaseLinks = await Promise.all(databases.databases.map(({ port }) => startLinkTo(`127.0.0.1:${port}`)))

  const register = (database: SoakDatabase) => store.write(`servers/${database.id}`, {
    service,
    address: databaseLinks[databases.databases.indexOf(database)].address,
    zone: database.dataCentre,
    version: '1',
    slots: slotsPerDatabase,
    state: 'ready',
    coldRemainingMs: 0,
    seqNum: 1,
    dbRole: database.role,
    born: database.startedAtMs
  })
  const operators = createOperators(store.write, record)
  operators.writeConfiguration()
  for (const database of databases.databases) register(database)
  const { links, gateways } = await startGateways(count, store.address, folder)
  await waitUntilInRotation(gateways)

  const closeGateways = async () => { await Promise.all(gateways.map(gateway => gateway.close())) }
  return {
    store,
    databases,
    databaseLinks,
    storeLinks: links,
    gateways,
    operators,
    register,
    unregister: database => store.write(`servers/${database.id}`, undefined),
    closeGateways,
    close: async () => {
      await closeGateways()
      await Promise.all([...links, ...databaseLinks].map(link => link.close()))
      await store.close()
      databases.close()
    }
  }
}
