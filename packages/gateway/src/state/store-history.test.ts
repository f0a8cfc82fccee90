/**
 * Store changes that a gateway keeps for others that follow the store through it.
 */
import test from 'ava'
import { createStoreHistory } from './store-history.js'

const change = (key: string, revision: number, value = Buffer.from(`${revision}`)) =>
  ({ key, value, revision, deleted: false, valueLeftOut: false })

test('only changes after the listing are returned', t => {
  const history = createStoreHistory()
  t.is(history.changesSince(3), undefined)
  history.reset(5)
  history.record({ entries: [change('a', 6), change('b', 7)], revision: 7 })
  t.is(history.changesSince(4), undefined)
  t.deepEqual(history.changesSince(6), { entries: [change('b', 7)], revision: 7 })
  t.deepEqual(history.changesSince(9), { entries: [], revision: 7 })
})

test('only the newest change of each key is kept', t => {
  const history = createStoreHistory()
  history.reset(0)
  history.record({ entries: [change('a', 1), change('b', 2), change('a', 3)], revision: 3 })
  t.deepEqual(history.changesSince(0)?.entries.map(({ revision }) => revision), [2, 3])
})

test('a request from before the oldest retained change returns undefined', t => {
  const history = createStoreHistory()
  history.reset(0)
  const entries = Array.from({ length: 5000 }, (_, index) => change(`key-${index}`, index + 1))
  history.record({ entries, revision: 5000 })
  t.is(history.changesSince(0), undefined)
  t.is(history.changesSince(1000)?.entries.length, 4000)
})

test('a long value is left out, and all values together are bounded', t => {
  const history = createStoreHistory()
  history.reset(0)
  history.record({ entries: [change('a', 1, Buffer.alloc(1024 * 1024))], revision: 1 })
  t.deepEqual(history.changesSince(0)?.entries, [{ ...change('a', 1, Buffer.alloc(0)), valueLeftOut: true }])
  const value = Buffer.alloc(32 * 1024)
  for (let revision = 2; revision < 2000; revision++) {
    history.record({ entries: [change(`key-${revision}`, revision, value)], revision })
  }
  t.is(history.changesSince(1400), undefined)
  const kept = history.changesSince(1900)?.entries ?? []
  t.is(kept.length, 99)
  t.false(kept.some(({ valueLeftOut }) => valueLeftOut))
})

test('a waiter resolves on a change, and on its timeout', async t => {
  const history = createStoreHistory()
  history.reset(0)
  const woken = history.waitForChange(60_000)
  history.record({ entries: [], revision: 0 })
  await woken
  const startedAtMs = performance.now()
  await history.waitForChange(30)
  t.true(performance.now() - startedAtMs >= 25)
})
