/**
 * One gateway of a data centre watches the store for the others, so that the store gets few watch calls. Guards against
 * gateways that miss changes or lose readiness when the watcher stops or the store refuses its calls.
 */
import { sleepMs } from '@egretyoke/common'
import test from 'ava'
import { closeMemoryFleets, startMemoryFleet, waitUntil } from './testing/memory-fleet.js'
import type { FleetGateway, MemoryFleet } from './testing/memory-fleet.js'

test.after.always(closeMemoryFleets)

/** A fleet whose gateways are all in one data centre. */
const startDataCentre = async (size: number): Promise<MemoryFleet> => {
  const fleet = await startMemoryFleet(1)
  for (let index = 2; index <= size; index++) await fleet.start(`vm-${index}`, 'dc-1')
  await waitUntil(() => fleet.gateways.every(({ gateway }) => gateway.isReady()))
  // Waits until the gateways have connected to each other.
  await sleepMs(1200)
  return fleet
}

const hasVersion = (fleet: MemoryFleet, { name }: FleetGateway, version: number) => fleet.events.some(event =>
  event.gateway === name && event.name === 'configurationInForce' && event.fields.version === version)

/** The gateway that made the most watch calls to the store within `forMs`, and the calls of each gateway. */
const findWatcher = async (fleet: MemoryFleet, forMs: number) => {
  const before = fleet.gateways.map(gateway => gateway.watchCalls())
  await sleepMs(forMs)
  const calls = fleet.gateways.map((gateway, index) => gateway.watchCalls() - before[index])
  return { calls, watcher: fleet.gateways[calls.indexOf(Math.max(...calls))] }
}

test('one gateway of a data centre watches the store, and all receive a change', async t => {
  const fleet = await startDataCentre(4)
  const { calls } = await findWatcher(fleet, 3000)
  t.is(calls.filter(count => count > 0).length, 1, calls.join())
  fleet.configure({})
  await waitUntil(() => fleet.gateways.every(gateway => hasVersion(fleet, gateway, 2)), 1000)
  t.pass()
  await fleet.close()
})

test('a value that is too long to be forwarded between gateways reaches all of them', async t => {
  const fleet = await startDataCentre(3)
  fleet.configure({
    workspaces: [{
      name: 'y'.repeat(40_000), ratePerSec: 1, burst: 1, homeRegions: [], keys: ['key-long']
    }]
  })
  await waitUntil(() => fleet.gateways.every(gateway => hasVersion(fleet, gateway, 2)), 1500)
  t.true(fleet.gateways.every(({ gateway }) => typeof gateway.openSession('slots', 'key-long') !== 'string'))
  await fleet.close()
})

test('when the watcher stops, the others stay ready and still receive changes', async t => {
  const fleet = await startDataCentre(4)
  const { watcher } = await findWatcher(fleet, 2000)
  const others = fleet.gateways.filter(gateway => gateway !== watcher)
  let wereReady = true
  const readinessPoll = setInterval(() => { wereReady &&= others.every(({ gateway }) => gateway.isReady()) }, 20)
  await watcher.gateway.close()
  fleet.configure({})
  await waitUntil(() => others.every(gateway => hasVersion(fleet, gateway, 2)), 3000)
  await sleepMs(2000)
  clearInterval(readinessPoll)
  t.true(wereReady)
  const sources = fleet.events.filter(({ name }) => name === 'storeSourceChanged').map(({ fields }) => fields.source)
  t.true(sources.includes(watcher.name) && sources.includes('store'), sources.join())
  fleet.gateways.splice(fleet.gateways.indexOf(watcher), 1)
  await fleet.close()
})

test('when the store refuses the watcher\'s calls, all gateways stay ready and still receive changes', async t => {
  const fleet = await startDataCentre(3)
  const { watcher } = await findWatcher(fleet, 2000)
  watcher.setStoreMode('refusing')
  let wereReady = true
  const readinessPoll = setInterval(() => {
    wereReady &&= fleet.gateways.every(({ gateway }) => gateway.isReady())
  }, 20)
  await sleepMs(2000)
  fleet.configure({})
  await waitUntil(() => fleet.gateways.every(gateway => hasVersion(fleet, gateway, 2)), 2000)
  await sleepMs(2000)
  clearInterval(readinessPoll)
  t.true(wereReady)
  await fleet.close()
})
