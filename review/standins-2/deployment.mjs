/**
 * A small deployment: three databases of one service, a store, and gateways, one in each of the first zones. Figures of
 * routes are those of the arenal sheet.
 */
import { startDatabases } from './databases.mjs'
import { startStore } from './store.mjs'
import { sleep, startGateway } from './system.mjs'

export const zones = ['quay', 'yard', 'dock']
export const regions = { quay: 'north', yard: 'south', dock: 'west' }
export const service = 'bookings'

const route = (database, routeType, timeoutMs, targetLatencyMs, maxStalenessMs) =>
  ({ database, routeType, service, timeoutMs, targetLatencyMs, priority: 1, maxStalenessMs })

/** Keys by tenant; the sheets have eight tenants. */
export const keys = Object.fromEntries(
  ['alpha', 'beta', 'gamma', 'delta', 'epsilon', 'zeta', 'eta', 'theta'].map(name => [name, `key-${name}`])
)

/** A configuration; `withdrawn` are tenants without a key. */
export const configuration = (version, { withdrawn = [], maxConns = 22 } = {}) => ({
  version,
  routes: [
    route('slots', 'primary', 800, 600, 0),
    route('boards', 'bounded_staleness', 2000, 1000, 1500),
    route('ledger', 'read_your_writes', 800, 1000, 2500)
  ],
  services: [{ name: service, maxConns, syncReplicas: 0 }],
  limits: { txIdleMs: 3000 },
  tenants: Object.entries(keys).map(([name, key]) =>
    ({ name, apiKeys: withdrawn.includes(name) ? [] : [key], ratePerS: 1000, burstSize: 1000 }))
})

/** Starts stand-ins and gateways; resolves when all gateways are ready. */
export const startDeployment = async ({ record, folder, onEnd, gateways = 2, gatewayOptions = {}, ...options }) => {
  const store = await startStore({ record, onFailover: (_, id) => databases.promote(id) })
  onEnd(() => store.close())
  const writeEntry = database => store.write(`servers/${database.id}`, databases.entryOf(database))
  const databases = await startDatabases({ service, zones, record, ...options, onChange: writeEntry })
  onEnd(() => databases.close())
  const writeEntries = () => {
    for (const database of databases.databases) if (database.isAlive && !database.isDark) writeEntry(database)
  }
  store.write('op/config', configuration(1))
  writeEntries()
  const started = await Promise.all(zones.slice(0, gateways).map(async zone => {
    const gateway = await startGateway({
      name: `edge-${zone}-1`, zone, regions, storeAddress: store.address, folder, record, ...gatewayOptions
    })
    onEnd(() => gateway.close())
    return gateway
  }))
  return { store, databases, gateways: started, writeEntries }
}

/** Waits until the condition holds; throws after the time. */
export const waitFor = async (what, condition, timeoutMs) => {
  const deadlineMs = performance.now() + timeoutMs
  while (!await condition()) {
    if (performance.now() > deadlineMs) throw new Error(`${what}: not within ${timeoutMs} ms`)
    await sleep(50)
  }
}

/** The drill: the store is away for a moment and comes back from the copy; what others wrote is written again. */
export const playDrill = async ({ store, writeEntries, record, copy, config, awayMs = 1000 }) => {
  record('store', `drill begins at revision ${store.revision()}`)
  store.leave()
  await sleep(awayMs)
  store.restore(copy)
  record('store', `is back from the copy of revision ${copy.revision}`)
  store.write('op/config', config)
  writeEntries()
}
