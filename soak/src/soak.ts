/**
 * One run of the soak: gateways as processes of their own before stand-ins of the platform's store and of a database
 * group, callers, seeded faults, and the promises checked from what callers and databases saw.
 */
import { mkdtempSync, rmSync, createWriteStream } from 'node:fs'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createRandom, sleepMs } from '@egretyoke/common'
import { startLink } from '@egretyoke/standins'
import type { Link } from '@egretyoke/standins'
import { startStoreStandin } from '@egretyoke/platform/testing'
import { soakTimes, startGatewayProcess } from './gateway-process.js'
import type { GatewayProcess } from './gateway-process.js'
import { maxStalenessMs, startSoakCaller } from './soak-callers.js'
import type { SoakCaller } from './soak-callers.js'
import { slotsPerDatabase, startSoakDatabases } from './soak-databases.js'
import type { SoakDatabase } from './soak-databases.js'
import { playFaults } from './soak-faults.js'
import { checkSoakRecord, createSoakRecord } from './soak-record.js'
import type { Breach, SoakRecord } from './soak-record.js'

/** What a run is made of. */
export type SoakPlan = { seed: number, seconds: number, gateways: number, callers: number }

/** What a run showed. */
export type SoakResult = {
  breaches: Breach[]
  done: number
  refused: number
  unknown: number
  /** Folder with the log of each gateway and the faults; removed when nothing was broken. */
  logs: string
}

const service = 'bookings'
const dataCentres = ['quay', 'yard', 'dock']
const regionByDataCentre = { quay: 'north', yard: 'south', dock: 'west' }
const workspaces = ['yard-a', 'yard-b', 'yard-c', 'yard-d']
const routes = [
  { database: 'slots', routeType: 'primary' },
  { database: 'boards', routeType: 'bounded_staleness' },
  { database: 'ledger', routeType: 'read_your_writes' }
]
const startTimeoutMs = 20_000
const versionStep = 3
/** After the last fault everything has to be served again within this time, and for some time it is looked at. */
const recoveryMs = 12_000
const lookMs = 2000

const freePorts = async (count: number): Promise<number[]> => {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise<ReturnType<typeof createServer>>(
    resolve => { const server = createServer().listen(0, '127.0.0.1', () => resolve(server)) })))
  const ports = servers.map(server => (server.address() as AddressInfo).port)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}

const linkTo = (target: string): Promise<Link> =>
  startLink({ listen: '127.0.0.1:0', control: '127.0.0.1:0', target, delayMs: 0 })

const keyOf = (workspace: string) => `key-of-${workspace}`

/** The operators' side: configurations and withdrawn keys. */
const createOperators = (write: (key: string, value: unknown) => void, record: SoakRecord) => {
  let version = 1
  const withdrawn = new Set<string>()
  const store = () => write('op/config', {
    version,
    routes: routes.map(route => ({
      ...route,
      service,
      timeoutMs: 1500,
      targetLatencyMs: 1000,
      priority: 1,
      maxStalenessMs: route.routeType === 'primary' ? 0 : maxStalenessMs
    })),
    services: [{ name: service, maxConns: 22 }],
    limits: { txIdleMs: 1500 },
    tenants: workspaces.map(name => ({
      name, apiKeys: withdrawn.has(name) ? [] : [keyOf(name)], ratePerS: 2000, burstSize: 2000
    }))
  })
  const change = () => {
    version += versionStep
    store()
  }
  return {
    store,
    change,
    isWithdrawn: (workspace: string) => withdrawn.has(workspace),
    withdrawKey: () => {
      // One workspace keeps its key for the whole run.
      const next = workspaces.slice(1).find(workspace => !withdrawn.has(workspace))
      if (next === undefined) return
      withdrawn.add(next)
      change()
      record.withdrawnMs.set(next, performance.now())
    }
  }
}

const startFleet = async (plan: SoakPlan, storeAddress: string, folder: string) => {
  const links = await Promise.all(Array.from({ length: plan.gateways }, () => linkTo(storeAddress)))
  const ports = await freePorts(plan.gateways * 5)
  const gateways = links.map((link, index) => {
    const name = `vm-${index + 1}`
    const [callerPort, readinessPort, relayPort, metricsPort] = ports.slice(index * 5)
    const log = createWriteStream(join(folder, `${name}.log`))
    return startGatewayProcess({
      name,
      dataCentre: dataCentres[index % dataCentres.length],
      regionByDataCentre,
      callerPort,
      readinessPort,
      relayPort,
      metricsPort,
      storeAddress: link.address,
      failoverAddress: storeAddress
    }, folder, line => { log.write(line) })
  })
  return { links, gateways }
}

const waitUntilServed = async (gateways: readonly GatewayProcess[]) => {
  const endAtMs = performance.now() + startTimeoutMs
  while (!gateways.every(gateway => gateway.isInRotation()) && performance.now() < endAtMs) await sleepMs(50)
}

/** Callers of withdrawn workspaces are not served any more; all others have to be. */
const checkRecovery = async (
  callers: ReadonlyMap<SoakCaller, string>, isWithdrawn: (workspace: string) => boolean, record: SoakRecord
) => {
  await sleepMs(recoveryMs)
  const before = new Map([...callers.keys()].map(caller => [caller, caller.counts().done]))
  await sleepMs(lookMs)
  for (const [caller, workspace] of callers) {
    const hasDone = caller.counts().done > (before.get(caller) ?? 0)
    if (!hasDone && !isWithdrawn(workspace)) record.breach('recovery', `a caller of ${workspace} is not served`)
  }
}

/** Runs one soak. */
export const runSoakOnce = async (plan: SoakPlan, log: (line: string) => void): Promise<SoakResult> => {
  // The faults have a source of their own, so that a seed brings the same ones whatever the processes do meanwhile.
  const faultRandom = createRandom(plan.seed)
  const random = createRandom(plan.seed + 1)
  const record = createSoakRecord()
  const folder = mkdtempSync(join(tmpdir(), `egretyoke-soak-${plan.seed}-`))
  const faultLog = createWriteStream(join(folder, 'faults.log'))
  const databases = await startSoakDatabases({
    service, dataCentres, record, random, lagMs: () => random.integer(2, 30)
  })
  const store = await startStoreStandin({ pageSize: 500, onFailover: databases.promote })
  const databaseLinks = await Promise.all(databases.databases.map(({ port }) => linkTo(`127.0.0.1:${port}`)))

  const announce = (database: SoakDatabase) => store.write(`servers/${database.id}`, {
    service,
    address: databaseLinks[databases.databases.indexOf(database)].address,
    zone: database.dataCentre,
    version: '1',
    slots: slotsPerDatabase,
    state: 'ready',
    coldRemainingMs: 0,
    seqNum: 1,
    dbRole: database.role,
    born: database.bornMs
  })
  const operators = createOperators(store.write, record)
  operators.store()
  for (const database of databases.databases) announce(database)
  const { links, gateways } = await startFleet(plan, store.address, folder)
  await waitUntilServed(gateways)

  const choosePort = () => {
    const ready = gateways.filter(gateway => gateway.isInRotation())
    return ready.length === 0 ? undefined : random.pick(ready).callerPort
  }
  const callers = new Map(Array.from({ length: plan.callers }, (_, index) => {
    const workspace = workspaces[index % workspaces.length]
    const route = routes[index % routes.length].database
    const caller = startSoakCaller({
      name: `c${index}`,
      route,
      workspace,
      key: keyOf(workspace),
      choosePort,
      random: createRandom(plan.seed + 2 + index),
      record
    })
    return [caller, workspace] as const
  }))

  const startedMs = performance.now()
  const note = (line: string) => {
    const text = `${Math.round(performance.now() - startedMs)} ms: ${line}`
    faultLog.write(`${text}\n`)
    log(text)
  }
  await playFaults({
    store,
    storeLinks: links,
    databaseLinks,
    databases,
    gateways,
    announce,
    leave: database => store.write(`servers/${database.id}`, undefined),
    changeConfiguration: operators.change,
    withdrawKey: operators.withdrawKey,
    log: note
  }, faultRandom, plan.seconds * 1000)
  note('all faults taken back')
  await checkRecovery(callers, operators.isWithdrawn, record)

  await Promise.all([...callers.keys()].map(caller => caller.stop()))
  await Promise.all(gateways.map(gateway => gateway.close()))
  for (const gateway of gateways) for (const crash of gateway.crashes) record.breach('process', crash)
  checkSoakRecord(record, databases.finalLogs(), soakTimes.keyWithdrawalMs)
  await Promise.all([...links, ...databaseLinks].map(link => link.close()))
  await store.close()
  databases.close()
  faultLog.end()
  if (record.breaches.length === 0) rmSync(folder, { recursive: true })
  const counts = [...callers.keys()].map(caller => caller.counts())
  const sum = (name: 'done' | 'refused' | 'unknown') => counts.reduce((total, count) => total + count[name], 0)
  return {
    breaches: record.breaches,
    done: sum('done'),
    refused: sum('refused'),
    unknown: sum('unknown'),
    logs: folder
  }
}
