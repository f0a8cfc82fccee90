/**
 * A small deployment on loopback: the platform, one database group and some gateways, with a configuration.
 */
import { randomBytes } from 'node:crypto'
import { allocateAddresses } from './addresses.mjs'
import { entryOf, startDatabases } from './databases.mjs'
import { createGateways, waitUntilReady } from './gateways.mjs'
import { startFailoverService, startStore } from './platform.mjs'

const storePort = 8466
const failoverPort = 8467
const databasePort = 8400
const startTimeoutMs = 20_000
const heartbeatMs = 1200

export const randomName = prefix => prefix + randomBytes(4).toString('hex')

/** A configuration of one version in the operator's form. */
const configurationOf = ({ version, service, syncReplicas, routes, tenants }) => ({
  version,
  routes: routes.map(route => ({
    name: `r-${route.database}`,
    prefix: '/',
    timeoutMs: 800,
    targetLatencyMs: 500,
    priority: 1,
    service,
    maxAttempts: 2,
    maxStalenessMs: 0,
    authExempt: false,
    allowedRegions: [],
    ...route
  })),
  services: [{
    name: service,
    healthPath: '/health',
    maxConns: 32,
    protocol: 'h1',
    tls: false,
    coldStartS: 0,
    coldPerS: 0,
    syncReplicas
  }],
  limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000, txIdleMs: 3000 },
  tenants: tenants.map(tenant => ({ priority: 1, ratePerS: 1000, burstSize: 1000, allowedRegions: [], ...tenant }))
})

/**
 * Starts everything and waits until all gateways are ready; throws if they are not. `failoverAddressOf` may put a path
 * between a gateway and the failover service, `databaseAddressOf` one in front of a database.
 */
export const startEnvironment = async ({
  record, regions, machineZones, databaseZones, syncReplicas = 0, slots = 2, workMs = () => 3, replicationMs, routes,
  tenants, onRun = () => {}, onPromoted = () => {}, onFailover = () => {}, failoverAddressOf = address => address,
  databaseAddressOf = address => address
}) => {
  const nextAddress = await allocateAddresses()
  const service = randomName('huvo')
  const closers = []
  const store = await startStore(nextAddress(), storePort)
  closers.push(() => store.close())
  let version = 7

  const configure = changes => {
    version += 3
    const configuration = configurationOf({ version, service, syncReplicas, routes, tenants, ...changes })
    store.write('op/config', configuration)
    record.write(`operator: configuration ${version} acknowledged`)
  }
  const group = await startDatabases({
    service,
    zones: databaseZones,
    hosts: databaseZones.map(nextAddress),
    port: databasePort,
    slots,
    workMs,
    promoteMs: 300,
    syncReplicas,
    replicationMs,
    onRun,
    onPromoted: database => {
      record.write(`${database.id} leads term ${database.term}, log of ${database.log.length} commits`)
      onPromoted(database, group)
    }
  })
  closers.push(() => group.close())
  for (const database of group.databases) {
    database.address = await databaseAddressOf(database.address, database, nextAddress)
  }

  /** Each database that runs writes its entry; those that are silent for three intervals are removed. */
  const entries = new Map()
  const register = () => {
    for (const database of group.databases) {
      const [key, entry] = entryOf(database, service, slots)
      const known = entries.get(key)
      const nowMs = performance.now()
      if (database.state === 'alive') {
        const text = JSON.stringify(entry)
        if (known?.text !== text) store.write(key, entry)
        entries.set(key, { text, atMs: nowMs })
      } else if (known !== undefined && nowMs - known.atMs > 3 * heartbeatMs) {
        store.write(key, undefined)
        entries.delete(key)
      }
    }
  }
  configure()
  register()
  const heartbeat = setInterval(register, 100)
  closers.push(() => clearInterval(heartbeat))

  const failover = await startFailoverService(nextAddress(), failoverPort, group.promote, call => {
    record.write(`platform: failover of ${call.service} to ${call.id}, holder ${call.holder}, fence ${call.fence}`)
    onFailover(call)
  })
  closers.push(() => failover.close())
  const gateways = createGateways(record)
  closers.unshift(() => gateways.close())
  const machines = []
  const optionsByName = new Map()
  for (const [index, zone] of machineZones.entries()) {
    const machine = { name: `edge-${zone}-${index + 1}`, host: nextAddress(), zone }
    const failoverAddress = await failoverAddressOf(failover.address, machine, nextAddress)
    const options = { regions, storeAddress: store.address, failoverAddress }
    optionsByName.set(machine.name, options)
    machines.push(gateways.start(machine, options))
  }
  const close = async () => { for (const closer of closers) await closer() }
  if (!await waitUntilReady(machines, startTimeoutMs)) {
    await close()
    throw new Error('the gateways did not become ready')
  }
  record.write(`ready: ${machines.map(({ name }) => name).join(', ')}; service ${service}`)
  return {
    service,
    store,
    group,
    machines,
    configure,
    /** Starts the program again on a machine whose process has ended. */
    restart: ({ name, host, zone }) => gateways.start({ name, host, zone }, optionsByName.get(name)),
    close
  }
}

/** Runs a case and exits with its result: true if the rule held, false if it was broken. */
export const runCase = async run => {
  try {
    const held = await run()
    console.log(held ? 'the rule held' : 'the rule was broken')
    process.exit(held ? 0 : 1)
  } catch (error) {
    console.error(`the case could not run: ${error.stack}`)
    process.exit(2)
  }
}
