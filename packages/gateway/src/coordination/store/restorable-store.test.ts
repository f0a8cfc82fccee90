/**
 * Calls around a restore of the store, at which revisions and ids of leases are given out again.
 */
import test from 'ava'
import { createMemoryStore } from '../../testing/memory-store.js'
import { createRestorableStore } from './restorable-store.js'

const timeoutMs = 200
const value = Buffer.from('1')

/** A store with one entry; the later ones are gone after `restore`. */
const start = (firstEpoch?: number) => {
  const memory = createMemoryStore(firstEpoch)
  const client = memory.client()
  const store = createRestorableStore(client)
  const copy = memory.copy()
  return { memory, client, store, restore: () => memory.restore(copy) }
}

const swapOf = (key: string, expectedRevision = 0, leaseId = 0) => ({ key, expectedRevision, value, leaseId })

for (const firstEpoch of [undefined, 1]) {
  test(`a revision that is given out again satisfies no condition of before, first epoch ${firstEpoch}`, async t => {
    const { memory, store, restore } = start(firstEpoch)
    const { current } = (await store.compareAndSwap(swapOf('x'), timeoutMs)).unwrap()
    restore()
    memory.put('x', 'written again')
    await store.list('', timeoutMs)
    const late = (await store.compareAndSwap(swapOf('x', current!.revision), timeoutMs)).unwrap()
    t.false(late.swapped)
    t.true(late.current!.revision > current!.revision)
    t.true((await store.compareAndSwap(swapOf('x', late.current!.revision), timeoutMs)).unwrap().swapped)
  })
}

test('a write whose condition holds by chance before the restore is known has no answer', async t => {
  const { memory, store, restore } = start()
  const { current } = (await store.compareAndSwap(swapOf('x'), timeoutMs)).unwrap()
  restore()
  memory.put('x', 'written again')
  const late = await store.compareAndSwap(swapOf('x', current!.revision), timeoutMs)
  t.is(late.err && late.val.reason, 'noAnswer')
})

test('a lease of before has ended, although its id is given out again', async t => {
  const { client, store, restore } = start()
  const lease = (await store.grantLease(60_000, timeoutMs)).unwrap()
  restore()
  t.is((await client.grantLease(60_000, timeoutMs)).unwrap().value, 1)
  t.false((await store.keepAlive(lease, timeoutMs)).unwrap())
  const bound = await store.compareAndSwap(swapOf('x', 0, lease), timeoutMs)
  t.is(bound.err && bound.val.reason, 'noAnswer')
  t.false((await store.revokeLease(lease, timeoutMs)).unwrap())
  t.true((await client.keepAlive(1, timeoutMs)).unwrap().value)
})

test('the history after a revision of before is gone, also once the store has passed that revision', async t => {
  const { memory, store, restore } = start()
  const { current } = (await store.compareAndSwap(swapOf('x'), timeoutMs)).unwrap()
  restore()
  for (let version = 1; version < 5; version++) memory.put('y', version)
  const changes = await store.changes('', current!.revision, 50, timeoutMs)
  t.is(changes.err && changes.val.reason, 'historyGone')
  const listing = (await store.list('', timeoutMs)).unwrap()
  t.deepEqual((await store.changes('', listing.revision, 20, timeoutMs)).unwrap().entries, [])
})

test('an answer from before a restore that is already known is none', async t => {
  const { memory, client, store, restore } = start()
  const late = client.list('', timeoutMs)
  await late
  restore()
  memory.put('x', 1)
  await store.list('', timeoutMs)
  const delayed = createRestorableStore({ ...client, list: () => late })
  await delayed.get('x', timeoutMs)
  const listing = await delayed.list('', timeoutMs)
  t.is(listing.err && listing.val.reason, 'noAnswer')
})
