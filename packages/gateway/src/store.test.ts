/**
 * The gateway and the store: loss of contact, a full listing after missed changes, unreadable entries and draining.
 */
import { sleepMs } from '@egretyoke/common'
import test from 'ava'
import {
  closeMemoryFleets, openTestSession, read, standardConfiguration, startMemoryFleet, waitUntil, write
} from './testing/memory-fleet.js'

test.after.always(closeMemoryFleets)

const emptyWorkspace = { name: 'yard-a', ratePerSec: 0, burst: 0, homeRegions: [], keys: ['key-a'] }

test('without the store a gateway loses readiness, then refuses within the key withdrawal time', async t => {
  const fleet = await startMemoryFleet(1)
  const [only] = fleet.gateways
  const session = openTestSession(only, 'boards')
  only.setStoreMode('silent')
  await waitUntil(() => !only.gateway.isReady(), 4000)
  await waitUntil(() => typeof only.gateway.openSession('boards', 'key-a') === 'string', 5000)
  t.is((await session.send(write('1'))).error, 'refused')
  only.setStoreMode('serving')
  await waitUntil(() => only.gateway.isReady())
  t.is((await session.send(write('1'))).error, undefined)
  await fleet.close()
})

test('a gateway whose store calls are refused releases idle sessions while another gateway is ready', async t => {
  const fleet = await startMemoryFleet(2)
  const [one, other] = fleet.gateways
  await Promise.all([one, other].map(gateway => openTestSession(gateway, 'slots').send(write('1'))))
  one.setStoreMode('refusing')
  t.false(one.gateway.shouldCloseIdleSessions())
  await waitUntil(() => one.gateway.shouldCloseIdleSessions() || !one.gateway.isReady())
  await sleepMs(2500)
  t.false(one.gateway.isReady())
  t.true(other.gateway.isReady())
  await fleet.close()
})

test('statements reach a gateway with contact although the first ones in rank have lost the store', async t => {
  const fleet = await startMemoryFleet(6)
  const nearPrimary = fleet.gateways.filter(({ name }) => ['vm-1', 'vm-4'].includes(name))
  await Promise.all(nearPrimary.map(gateway => openTestSession(gateway, 'slots').send(write('1'))))
  for (const gateway of nearPrimary) gateway.setStoreMode('refusing')
  await sleepMs(2700)
  for (const gateway of fleet.gateways) {
    t.is((await openTestSession(gateway, 'slots').send(write('2'))).error, undefined, gateway.name)
  }
  await fleet.close()
})

test('a write that no gateway may run without the store is refused at once, not at its timeout', async t => {
  const fleet = await startMemoryFleet(2)
  const session = openTestSession(fleet.gateways[0], 'slots')
  await session.send(write('1'))
  for (const gateway of fleet.gateways) gateway.setStoreMode('silent')
  await sleepMs(3200)
  const startedAtMs = performance.now()
  t.is((await session.send(write('2'))).error, 'refused')
  t.true(performance.now() - startedAtMs < 1000)
  await fleet.close()
})

test('a refusal by the rate limit is logged with the request id', async t => {
  const fleet = await startMemoryFleet(1, { ...standardConfiguration, workspaces: [emptyWorkspace] })
  const session = openTestSession(fleet.gateways[0], 'slots')
  t.is((await session.send(write('1'))).error, 'refused')
  const line = fleet.events.find(
    ({ name, fields }) => name === 'limitRefused' && fields.request === session.lastRequest()
  )
  t.is(line?.fields.workspace, 'yard-a')
  await fleet.close()
})

test('after a gap in the change history the whole store is listed again', async t => {
  const fleet = await startMemoryFleet(1)
  const [only] = fleet.gateways
  only.setStoreMode('silent')
  await sleepMs(1500)
  fleet.configure({ routes: [] })
  fleet.store.compact()
  only.setStoreMode('serving')
  await waitUntil(() => only.gateway.openSession('slots', 'key-a') === 'noSuchDatabase')
  t.true(fleet.events.some(({ name }) => name === 'historyMissed' || name === 'storeRegained'))
  await fleet.close()
})

test('an entry that is deleted during a gap is removed after the listing', async t => {
  const fleet = await startMemoryFleet(1)
  const [only] = fleet.gateways
  fleet.store.put('out/dc-3', {})
  await waitUntil(() => fleet.events.some(({ name }) => name === 'evacuationKnown'))
  only.setStoreMode('silent')
  await sleepMs(1500)
  fleet.store.remove('out/dc-3')
  fleet.store.put('other', {})
  fleet.store.compact()
  only.setStoreMode('serving')
  await waitUntil(
    () => fleet.events.some(({ name, fields }) => name === 'evacuationKnown' && fields.evacuated === false)
  )
  t.pass()
  await fleet.close()
})

test('an unreadable entry does not affect other entries', async t => {
  const fleet = await startMemoryFleet(1)
  fleet.store.put('egretyoke/vm/strange', 'not a member')
  fleet.store.put('egretyoke/group/strange', { primary: 7 })
  await waitUntil(() => fleet.events.filter(({ name }) => name === 'recordUnreadable').length === 2)
  t.is((await openTestSession(fleet.gateways[0], 'slots').send(write('1'))).error, undefined)
  await fleet.close()
})

// Guards against statements that begin when there may be no time left to answer them.
test('in the second half of its grace period a gateway refuses new statements, but ends transactions', async t => {
  const fleet = await startMemoryFleet(2)
  const [stopping] = fleet.gateways
  const [idle, committing, reading] = ['slots', 'slots', 'slots'].map(name => openTestSession(stopping, name))
  const drained = stopping.gateway.drain()
  t.is((await idle.send(read('1'))).error, undefined)
  // Later than the start of the drain, because transactions that are idle for a second end.
  await sleepMs(500)
  for (const session of [committing, reading]) {
    await session.send({ kind: 'begin', readOnly: false })
    t.is((await session.send(write('1'))).error, undefined)
  }
  await waitUntil(() => stopping.gateway.drainPhase() === 'finishing')
  t.like(await idle.send(read('1')), { error: 'refused', endsSession: true })
  t.like(await reading.send(read('1')), { error: 'aborted', endsSession: true, transaction: 'none' })
  t.is((await committing.send({ kind: 'commit' })).error, undefined)
  t.is(stopping.gateway.openSession('slots', 'key-a'), 'refused')
  await drained
  await fleet.close()
})

test('a draining gateway gets no statements from other gateways, and its record is deleted', async t => {
  const fleet = await startMemoryFleet(3)
  await openTestSession(fleet.gateways[1], 'slots').send(write('1'))
  const [leaving, ...others] = fleet.gateways
  await leaving.gateway.drain()
  t.false(leaving.gateway.isReady())
  await leaving.gateway.close()
  t.is(fleet.store.read(`egretyoke/vm/${leaving.name}`), undefined)
  for (const other of others) t.is((await openTestSession(other, 'slots').send(write('2'))).error, undefined)
  fleet.gateways.shift()
  await fleet.close()
})
