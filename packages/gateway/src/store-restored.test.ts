/**
 * A fleet whose store comes back from a copy that is some changes old: what rested on the lost changes is not used, and
 * nothing has to be done by hand.
 */
import { sleepMs } from '@egretyoke/common'
import test from 'ava'
import {
  closeMemoryFleets, openTestSession, read, standardConfiguration, startMemoryFleet, waitUntil, write
} from './testing/memory-fleet.js'
import type { FleetGateway, MemoryFleet } from './testing/memory-fleet.js'
import type { GroupRecord } from './state/stored-records.js'

test.after.always(closeMemoryFleets)

const recordOf = (fleet: MemoryFleet) => fleet.store.read('egretyoke/group/bookings') as GroupRecord

const isServing = (fleet: MemoryFleet, primary: string, epoch: number) => () => {
  const record = recordOf(fleet)
  return record.phase === 'serving' && record.primary === primary && record.epoch === epoch
}

/** Writes until the signal aborts, at a gateway that may not be ready yet. */
const keepWriting = async (gateway: FleetGateway, signal: AbortSignal) => {
  let done = 0
  while (!signal.aborted) {
    const session = gateway.gateway.openSession('slots', 'key-a')
    if (typeof session !== 'string') {
      const { error } = await session.handle(`${gateway.name}-${done}-${performance.now()}`, write('after'))
      if (error === undefined) done++
      session.close()
    }
    await sleepMs(5)
  }
  return done
}

/** Restores the store to the copy; the databases write their entries again. */
const restore = (fleet: MemoryFleet, copy: ReturnType<MemoryFleet['store']['copy']>) => {
  fleet.store.restore(copy)
  for (const { description } of fleet.group.databases.values()) {
    fleet.store.put(`database/${description.id}`, description)
  }
}

/** A fleet with a copy of its store from before another primary took over from one that is in the given state now. */
const startWithOldCopy = async (state: 'dark' | 'dead', stored = standardConfiguration) => {
  const fleet = await startMemoryFleet(2, stored)
  await openTestSession(fleet.gateways[0], 'slots').send(write('1'))
  if (stored.syncReplicas) await waitUntil(() => recordOf(fleet).copies.length === fleet.group.databases.size)
  const copy = fleet.store.copy()
  const former = fleet.group.databases.get('db-1')!
  former.state = state
  await waitUntil(() => recordOf(fleet).phase === 'serving' && recordOf(fleet).primary !== 'db-1')
  return { fleet, copy, former, ...recordOf(fleet) }
}

// Guards against writes that are confirmed at a former primary which a restored record names again.
test('a former primary that a restored record names is not used, by old and new processes', async t => {
  const { fleet, copy, former, primary, term } = await startWithOldCopy('dark')
  await openTestSession(fleet.gateways[0], 'slots').send(write('2'))
  former.state = 'alive'
  fleet.group.isReplicationPaused = true
  const formerLog = former.log.length
  restore(fleet, copy)
  await fleet.start('vm-9', 'dc-3')
  const writing = new AbortController()
  const written = fleet.gateways.map(gateway => keepWriting(gateway, writing.signal))
  await waitUntil(isServing(fleet, primary, 2))
  t.is(recordOf(fleet).term, term)
  await sleepMs(500)
  writing.abort()
  for (const count of await Promise.all(written)) t.true(count > 0)
  t.is(former.log.length, formerLog)
  t.is(former.role, 'replica')
  const { fencingTokens } = fleet.group
  t.deepEqual(fencingTokens, fencingTokens.toSorted((one, other) => one - other))
  t.true(fleet.events.some(({ name }) => name === 'storeRestored'))
  await fleet.close()
})

// Guards against old values on primary routes, read at a former primary that is a replica by now.
test('reads on primary routes miss no commit after the restore of a record of a former primary', async t => {
  const { fleet, copy, former, primary } = await startWithOldCopy('dead')
  Object.assign(former, { state: 'alive', role: 'replica' })
  fleet.group.isReplicationPaused = true
  restore(fleet, copy)
  fleet.group.executed.length = 0
  const deadlineMs = performance.now() + 6000
  let answered = 0
  while (performance.now() < deadlineMs && answered < 20) {
    for (const gateway of fleet.gateways) {
      if (!gateway.gateway.isReady()) continue
      if ((await openTestSession(gateway, 'slots').send(read('1'))).error === undefined) answered++
    }
    await sleepMs(10)
  }
  t.true(answered >= 20)
  t.deepEqual([...new Set(fleet.group.executed.map(({ database }) => database))], [primary])
  await fleet.close()
})

// Guards against a group without a primary after a crash that follows a restore.
test('a primary that crashes after a restore is replaced', async t => {
  const { fleet, copy, primary: second } = await startWithOldCopy('dead')
  restore(fleet, copy)
  await sleepMs(300)
  fleet.group.databases.get(second)!.state = 'dead'
  await waitUntil(() => isServing(fleet, second === 'db-2' ? 'db-3' : 'db-2', 2)(), 12_000)
  t.is((await openTestSession(fleet.gateways[0], 'slots').send(write('2'))).error, undefined)
  await fleet.close()
})

// Guards against the loss of confirmed commits that only silent databases have received.
test('with synchronous replicas, a former primary is not recorded while others may have more commits', async t => {
  const { fleet, copy, former, primary } =
    await startWithOldCopy('dark', { ...standardConfiguration, syncReplicas: 1 })
  await openTestSession(fleet.gateways[0], 'slots').send(write('2'))
  const others = ['db-2', 'db-3'].map(id => fleet.group.databases.get(id)!)
  for (const database of others) database.state = 'dark'
  former.state = 'alive'
  const promotions = fleet.group.fencingTokens.length
  restore(fleet, copy)
  await sleepMs(5500)
  t.is(fleet.group.fencingTokens.length, promotions)
  t.not(recordOf(fleet).epoch, 2)
  for (const database of others) database.state = 'alive'
  await waitUntil(isServing(fleet, primary, 2))
  t.is(fleet.group.databases.get(primary)!.log.length, 2)
  await fleet.close()
})

// Guards against a configuration whose revision is below the one that was known before the restore.
test('a configuration that is written after a restore applies, and an older one in the copy does not', async t => {
  const fleet = await startMemoryFleet(1)
  const copy = fleet.store.copy()
  for (let version = 0; version < 30; version++) fleet.configure({})
  const [only] = fleet.gateways
  fleet.configure({ workspaces: [] })
  await waitUntil(() => only.gateway.openSession('slots', 'key-a') === 'keyUnknown')
  restore(fleet, copy)
  await waitUntil(() => fleet.events.some(({ name }) => name === 'storeRestored'))
  t.is(only.gateway.openSession('slots', 'key-a'), 'keyUnknown')
  fleet.configure({ workspaces: [{ name: 'yard-c', ratePerSec: 1000, burst: 1000, homeRegions: [], keys: ['key-c'] }] })
  await waitUntil(() => typeof only.gateway.openSession('slots', 'key-c') !== 'string')
  t.is(only.gateway.openSession('slots', 'key-a'), 'keyUnknown')
  await fleet.close()
})
