/**
 * Gateways over an in-memory store and in-memory databases, connected to each other over loopback, for tests.
 */
import { randomInt } from 'node:crypto'
import { createServer } from 'node:net'
import { sleepMs } from '@egretyoke/common'
import type { EventDefinition, EventFields } from '@egretyoke/common'
import { startGateway } from '../gateway.js'
import type { Gateway } from '../gateway-types.js'
import type { Session } from '../coordination/sessions/session.js'
import type { SessionResponse, SessionStatement } from '../coordination/sessions/session-messages.js'
import type { UsageSettings } from '../coordination/usage/usage-reporter.js'
import type { ReportUsage } from '../coordination/usage/usage-sender.js'
import type { Configuration, Route, Workspace } from '../state/configuration.js'
import type { DecodePlatformEntry } from '../state/fleet-state.js'
import { createMemoryGroup } from './memory-group.js'
import type { MemoryGroup } from './memory-group.js'
import { createMemoryStore } from './memory-store.js'
import type { MemoryStore, StoreMode } from './memory-store.js'

/** An event that a gateway logged. */
export type LoggedEvent = { gateway: string, name: string, fields: EventFields }

/** A gateway of the fleet, with the fault mode of its store client and the numbers of its watch calls and all calls. */
export type FleetGateway = {
  name: string
  gateway: Gateway
  setStoreMode: (mode: StoreMode) => void
  watchCalls: () => number
  storeCalls: () => number
}

/** A small fleet of gateways that serves one database group. */
export type MemoryFleet = {
  store: MemoryStore
  group: MemoryGroup
  gateways: FleetGateway[]
  events: LoggedEvent[]
  configure: (change: Partial<StoredConfiguration>) => void
  start: (name: string, dataCentre: string) => Promise<FleetGateway>
  close: () => Promise<void>
}

/** Usage reports of a gateway; undefined for one that makes none. */
export type UsageOf = (gateway: string) => { settings: UsageSettings, report: ReportUsage } | undefined

/** The configuration as the tests store it. */
export type StoredConfiguration = {
  version: number, routes: Route[], workspaces: Array<Workspace & { keys: string[] }>, syncReplicas?: number
}

const groupName = 'bookings'

const routeOf = (database: string, kind: Route['kind']): Route => ({
  database,
  kind,
  group: groupName,
  timeoutMs: 2000,
  targetLatencyMs: 1000,
  priority: 1,
  maxStalenessMs: kind === 'primary' ? 0 : 1500,
  openToAll: false,
  homeRegions: []
})

/** Routes `slots` (primary), `boards` (bounded staleness) and `ledger` (read your writes), and two workspaces. */
export const standardConfiguration: StoredConfiguration = {
  version: 1,
  routes: [routeOf('slots', 'primary'), routeOf('boards', 'boundedStaleness'), routeOf('ledger', 'readYourWrites')],
  workspaces: [
    { name: 'yard-a', ratePerSec: 1000, burst: 1000, homeRegions: [], keys: ['key-a'] },
    { name: 'yard-b', ratePerSec: 1000, burst: 1000, homeRegions: [], keys: ['key-b'] }
  ]
}

const toConfiguration = (stored: StoredConfiguration): Configuration => ({
  version: stored.version,
  routes: new Map(stored.routes.map(route => [route.database, route])),
  groups: new Map([[groupName, { name: groupName, maxConnections: 10, syncReplicas: stored.syncReplicas ?? 0 }]]),
  workspaces: new Map(stored.workspaces.map(workspace => [workspace.name, workspace])),
  workspaceByKey: new Map(stored.workspaces.flatMap(workspace => workspace.keys.map(key => [key, workspace]))),
  transactionIdleMs: 1000
})

const decodePlatformEntry: DecodePlatformEntry = (key, value) => {
  if (key === 'configuration') {
    const configuration = value.length === 0 ? undefined : toConfiguration(JSON.parse(value.toString('utf8')))
    return { kind: 'configuration', configuration }
  }
  if (key.startsWith('out/')) return { kind: 'evacuation', dataCentre: key.slice('out/'.length) }
  if (!key.startsWith('database/')) return undefined
  const database = value.length === 0 ? undefined : JSON.parse(value.toString('utf8'))
  return { kind: 'database', id: key.slice('database/'.length), database }
}

/** Below the ephemeral port range, so that no outgoing connection occupies a port between its choice and its use. */
const portRange = { from: 12_000, to: 32_000 } as const

const isFreePort = (port: number) => new Promise<boolean>(resolve => {
  const server = createServer()
  server.once('error', () => resolve(false))
  server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
})

/** Ports that this process has tried; not tried again, because another fleet may be about to listen on one. */
const triedPorts = new Set<number>()

/** Resolves with a port that was free when it was tried. */
const findFreePort = async (): Promise<number> => {
  for (;;) {
    const port = randomInt(portRange.from, portRange.to)
    if (triedPorts.has(port)) continue
    triedPorts.add(port)
    if (await isFreePort(port)) return port
  }
}

/** Resolves when the condition holds; rejects after the timeout. */
export const waitUntil = async (isMet: () => boolean, timeoutMs = 10_000): Promise<void> => {
  const deadlineMs = performance.now() + timeoutMs
  while (!isMet()) {
    if (performance.now() > deadlineMs) throw new Error('condition not met before the timeout')
    await sleepMs(5)
  }
}

const openFleets = new Set<MemoryFleet>()

/** Closes the fleets that failed tests have left open; for `test.after.always`, so that the test process ends. */
export const closeMemoryFleets = async (): Promise<void> => {
  await Promise.all([...openFleets].map(fleet => fleet.close()))
}

/** Starts a fleet of gateways in data centres `dc-1`, `dc-2` and so on. */
export const startMemoryFleet = async (
  size: number, stored = standardConfiguration, usageOf: UsageOf = () => undefined
): Promise<MemoryFleet> => {
  const store = createMemoryStore()
  const group = createMemoryGroup(groupName)
  const events: LoggedEvent[] = []
  const gateways: FleetGateway[] = []
  let configuration = stored
  store.put('configuration', configuration)
  for (const { description } of group.databases.values()) store.put(`database/${description.id}`, description)

  const start = async (name: string, dataCentre: string): Promise<FleetGateway> => {
    const client = store.client()
    const log = (event: EventDefinition, fields: EventFields | (() => EventFields) = {}) => {
      events.push({ gateway: name, name: event.name, fields: typeof fields === 'function' ? fields() : fields })
    }
    const usage = usageOf(name)
    const gateway = await startGateway({
      ...usage && { usage: usage.settings },
      name,
      dataCentre,
      regionByDataCentre: new Map([['dc-1', 'north'], ['dc-2', 'south'], ['dc-3', 'west']]),
      relayAddress: `127.0.0.1:${await findFreePort()}`,
      channels: { allowPlainText: false },
      keyWithdrawalMs: 5000,
      graceMs: 2000,
      minMembersForPeerStart: 0
    }, {
      store: client,
      connect: group.connect,
      promote: group.promote,
      decodeEntry: decodePlatformEntry,
      ...usage && { reportUsage: usage.report }
    }, log)
    const started = {
      name, gateway, setStoreMode: client.setMode, watchCalls: client.watchCalls, storeCalls: client.calls
    }
    gateways.push(started)
    return started
  }

  for (let index = 1; index <= size; index++) await start(`vm-${index}`, `dc-${(index - 1) % 3 + 1}`)
  await waitUntil(
    () => gateways.every(({ gateway }) => gateway.isReady()) && store.read(`egretyoke/group/${groupName}`) !== undefined
  )

  const fleet: MemoryFleet = {
    store,
    group,
    gateways,
    events,
    configure: change => {
      configuration = { ...configuration, version: configuration.version + 1, ...change }
      store.put('configuration', configuration)
    },
    start,
    close: async () => {
      openFleets.delete(fleet)
      await Promise.all(gateways.map(({ gateway }) => gateway.close()))
    }
  }
  openFleets.add(fleet)
  return fleet
}

/** A session that numbers its requests. */
export type TestSession = Session & {
  send: (statement: SessionStatement) => Promise<SessionResponse>, lastRequest: () => string
}

let sessionCount = 0

/** Opens a session; throws when the gateway refuses it. */
export const openTestSession = ({ gateway }: FleetGateway, database: string, key = 'key-a'): TestSession => {
  const session = gateway.openSession(database, key)
  if (typeof session === 'string') throw new Error(`refused: ${session}`)
  const number = ++sessionCount
  let requests = 0
  return {
    ...session,
    send: statement => session.handle(`s${number}r${++requests}`, statement),
    lastRequest: () => `s${number}r${requests}`
  }
}

/** Statements that read or write one item. */
export const read = (item: string): SessionStatement => ({ kind: 'text', access: 'read', text: `READ ${item}` })
export const write = (item: string): SessionStatement => ({ kind: 'text', access: 'write', text: `WRITE ${item} x` })
