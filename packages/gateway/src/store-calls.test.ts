/**
 * Calls that gateways make to the store while it refuses them, after it lost its history, and at a start. All calls are
 * charged, also those that are refused.
 */
import { sleepMs } from '@egretyoke/common'
import test from 'ava'
import type { FleetGateway, MemoryFleet } from './testing/memory-fleet.js'
import { closeMemoryFleets, openTestSession, startMemoryFleet, waitUntil, write } from './testing/memory-fleet.js'

test.after.always(closeMemoryFleets)

/** The gateway that made the most watch calls to the store within `forMs`. */
const findWatcher = async (fleet: MemoryFleet, forMs: number): Promise<FleetGateway> => {
  const before = fleet.gateways.map(gateway => gateway.watchCalls())
  await sleepMs(forMs)
  const calls = fleet.gateways.map((gateway, index) => gateway.watchCalls() - before[index]!)
  return fleet.gateways[calls.indexOf(Math.max(...calls))]!
}

// Guards against loops that call a store that refuses them at a fixed short interval.
test('a gateway makes at most 24 calls to a store that refuses it for 5 s, and is ready soon after', async t => {
  const fleet = await startMemoryFleet(1)
  const [gateway] = fleet.gateways
  const session = openTestSession(gateway!, 'slots')
  gateway!.setStoreMode('refusing')
  const before = gateway!.storeCalls()
  const untilMs = performance.now() + 5000
  while (performance.now() < untilMs) {
    await Promise.race([session.send(write('a')), sleepMs(50)])
    await sleepMs(20)
  }
  const calls = gateway!.storeCalls() - before
  t.true(calls <= 24, `${calls} calls`)
  gateway!.setStoreMode('serving')
  await waitUntil(() => gateway!.gateway.isReady(), 2500)
  await fleet.close()
})

// Guards against followers that all call the store at once when their watcher has no confirmation, and against a
// gateway that loses contact because the store refuses it, although its peers have contact.
test('when the store refuses one or two of eight gateways, one of the others polls the store for all', async t => {
  const fleet = await startMemoryFleet(1)
  for (let index = 2; index <= 8; index++) await fleet.start(`vm-${index}`, 'dc-1')
  await waitUntil(() => fleet.gateways.every(({ gateway }) => gateway.isReady()))
  await sleepMs(1500)
  const refused: FleetGateway[] = []
  for (const round of [1, 2]) {
    const watcher = await findWatcher(fleet, 2500)
    watcher.setStoreMode('refusing')
    refused.push(watcher)
    const serving = fleet.gateways.filter(gateway => !refused.includes(gateway))
    const before = serving.map(gateway => gateway.watchCalls())
    let wereReady = true
    const readinessPoll = setInterval(() => {
      wereReady &&= fleet.gateways.every(({ gateway }) => gateway.isReady())
    }, 20)
    await sleepMs(5000)
    clearInterval(readinessPoll)
    const calls = serving.map((gateway, index) => gateway.watchCalls() - before[index]!)
    t.true(calls.reduce((sum, count) => sum + count, 0) <= 14, `round ${round}: ${calls.join()}`)
    t.true(wereReady)
  }
  await fleet.close()
})

/** Calls of one kind to the store by all gateways, as they count them. */
const countCalls = async (fleet: MemoryFleet, call: string): Promise<number> => {
  const counts = await Promise.all(fleet.gateways.map(async ({ gateway }) => {
    const metric = await gateway.registry.getSingleMetric('egretyoke_store_calls_total')!.get()
    return metric.values.filter(({ labels }) => labels.call === call).reduce((sum, { value }) => sum + value, 0)
  }))
  return counts.reduce((sum, count) => sum + count, 0)
}

// Guards against a listing of the whole store by each gateway after the store lost its history.
test('after a lost history one gateway lists the store, and the others take the state from it', async t => {
  const fleet = await startMemoryFleet(1)
  for (let index = 2; index <= 6; index++) await fleet.start(`vm-${index}`, 'dc-1')
  await waitUntil(() => fleet.gateways.every(({ gateway }) => gateway.isReady()))
  for (let index = 0; index < 50; index++) fleet.store.put(`other/${index}`, 'x'.repeat(30_000))
  fleet.store.put('out/dc-3', {})
  await sleepMs(2500)
  const before = await countCalls(fleet, 'list')
  fleet.store.remove('out/dc-3')
  fleet.configure({})
  fleet.store.compact()
  const countSeen = (name: string, field: string, value: unknown) => new Set(fleet.events.filter(event =>
    event.name === name && event.fields[field] === value).map(({ gateway }) => gateway)).size
  await waitUntil(() => countSeen('configurationInForce', 'version', 2) === 6, 2500)
  t.is(await countCalls(fleet, 'list') - before, 1)
  t.is(countSeen('evacuationKnown', 'evacuated', false), 6)
  t.is(countSeen('storeStateFromPeer', 'revision', fleet.events.findLast(
    ({ name }) => name === 'storeStateFromPeer')?.fields.revision), 5)
  await fleet.close()
})

// Guards against a listing of the whole store, and polls of it, by each VM that is restarted.
test('a gateway that starts beside others takes the state from one of them, and follows it at once', async t => {
  const fleet = await startMemoryFleet(1)
  for (let index = 2; index <= 4; index++) await fleet.start(`vm-${index}`, 'dc-1')
  await waitUntil(() => fleet.gateways.every(({ gateway }) => gateway.isReady()))
  await sleepMs(2500)
  const before = await countCalls(fleet, 'list')
  const started: FleetGateway[] = []
  for (const name of ['vm-5', 'vm-6']) {
    const gateway = await fleet.start(name, 'dc-1')
    await waitUntil(() => gateway.gateway.isReady())
    started.push(gateway)
  }
  t.is(await countCalls(fleet, 'list'), before)
  t.true(started.reduce((sum, gateway) => sum + gateway.watchCalls(), 0) <= 1)
  const fromPeers = fleet.events.filter(({ name, gateway }) => name === 'storeStateFromPeer' && gateway >= 'vm-5')
  t.is(fromPeers.length, 2)
  t.is((await openTestSession(started[1]!, 'slots').send(write('1'))).error, undefined)
  await fleet.close()
})

test('a gateway whose peers have no contact lists the store', async t => {
  const fleet = await startMemoryFleet(1)
  await fleet.start('vm-2', 'dc-1')
  await waitUntil(() => fleet.gateways.every(({ gateway }) => gateway.isReady()))
  for (const gateway of fleet.gateways) gateway.setStoreMode('silent')
  await waitUntil(() => fleet.gateways.every(({ gateway }) => !gateway.isReady()))
  const started = await fleet.start('vm-3', 'dc-1')
  await waitUntil(() => started.gateway.isReady(), 2500)
  t.true(fleet.events.every(({ name, gateway }) => name !== 'storeStateFromPeer' || gateway !== 'vm-3'))
  await fleet.close()
})
