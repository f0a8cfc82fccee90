/**
 * Gateways as processes before one database that records what it runs, for tests of sessions without faults.
 */
import { createWriteStream, mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { sleepMs } from '@egretyoke/common'
import { startStoreStandin } from '@egretyoke/platform/testing'
import { openCallerConnection } from './caller-connection.js'
import type { CallerConnection } from './caller-connection.js'
import { startGatewayProcess } from './gateway-process.js'
import type { GatewayProcess } from './gateway-process.js'
import { startPlainDatabase } from './plain-database.js'
import type { PlainDatabase } from './plain-database.js'
import { allocateGateways, keyOf } from './soak-environment.js'

const service = 'bookings'
/** Name that callers connect to. */
export const sessionDatabase = 'slots'
/** Workspaces; each has connections of its own to the database. */
export const sessionWorkspaces = Array.from({ length: 40 }, (_, index) => `yard-${index}`)
const gatewayCount = 2
const startTimeoutMs = 20_000
const maxConnections = 22

const configuration = {
  version: 1,
  routes: [{
    database: sessionDatabase,
    routeType: 'primary',
    service,
    timeoutMs: 1500,
    targetLatencyMs: 1000,
    priority: 1,
    maxStalenessMs: 0
  }],
  services: [{ name: service, maxConns: maxConnections }],
  limits: { txIdleMs: 10_000 },
  tenants: sessionWorkspaces.map(name => ({ name, apiKeys: [keyOf(name)], ratePerS: 100_000, burstSize: 100_000 }))
}

/** Gateways and the database behind them. */
export type SessionEnvironment = {
  database: PlainDatabase
  gateways: readonly GatewayProcess[]
  /** Opens a session at a gateway; only one of the gateways holds connections to the database. */
  openCaller: (gateway: number, workspace: string) => Promise<CallerConnection>
  close: () => Promise<void>
}

/**
 * Starts the environment; resolves when statements are run through each gateway. The given fields are added to the
 * settings of the gateways.
 */
export const startSessionEnvironment = async (
  moreSettings: Readonly<Record<string, unknown>> = {}
): Promise<SessionEnvironment> => {
  const folder = mkdtempSync(join(tmpdir(), 'egretyoke-sessions-'))
  const database = await startPlainDatabase()
  const store = await startStoreStandin({ pageSize: 500 })
  store.write('op/config', configuration)
  store.write('servers/i-plain', {
    service,
    address: database.address,
    zone: 'quay',
    version: '1',
    slots: 3,
    state: 'ready',
    coldRemainingMs: 0,
    seqNum: 1,
    dbRole: 'primary',
    born: Date.now()
  })
  const gateways = (await allocateGateways(gatewayCount, store.address)).map(options => {
    const log = createWriteStream(join(folder, `${options.name}.log`))
    return startGatewayProcess({ ...options, moreSettings }, folder, line => { log.write(line) })
  })

  const openCaller = async (gateway: number, workspace: string) => {
    const caller = await openCallerConnection(gateways[gateway].callerPort, sessionDatabase, keyOf(workspace))
    if (caller === undefined) throw new Error(`no session at gateway ${gateway}`)
    return caller
  }
  const runsStatements = async (gateway: number) => {
    const caller = await openCaller(gateway, sessionWorkspaces[0]).catch(() => undefined)
    const reply = await caller?.send(`QUERY ready-${gateway} READ a`)
    caller?.close()
    return reply?.error === ''
  }
  const deadlineMs = performance.now() + startTimeoutMs
  for (let gateway = 0; gateway < gatewayCount; gateway++) {
    while (!await runsStatements(gateway)) {
      if (performance.now() > deadlineMs) throw new Error(`gateway ${gateway} runs no statement`)
      await sleepMs(50)
    }
  }

  return {
    database,
    gateways,
    openCaller,
    close: async () => {
      await Promise.all(gateways.map(gateway => gateway.close()))
      database.close()
      await store.close()
      rmSync(folder, { recursive: true })
    }
  }
}
