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

// Guards against followers that each list the store after it lost its history.
test('the state of a listing and the changes after it is given in parts by key', t => {
  const history = createStoreHistory()
  t.is(history.statePart('', 1000), undefined)
  const listed = ['d', 'b', 'a', 'c'].map(key => change(key, 4, Buffer.alloc(400)))
  history.reset(5, listed)
  history.record({ entries: [{ ...change('b', 6, Buffer.alloc(0)), deleted: true }, change('e', 7)], revision: 7 })
  const first = history.statePart('', 1000)
  t.deepEqual(first?.entries.map(({ key, revision }) => [key, revision]), [['a', 4], ['c', 4]])
  t.deepEqual([first?.revision, first?.continuesAfter], [7, 'c'])
  const second = history.statePart('c', 1000)
  t.deepEqual(second?.entries.map(({ key }) => key), ['d', 'e'])
  t.is(second?.continuesAfter, '')
})

test('an entry that is larger than a part is a part of its own', t => {
  const history = createStoreHistory()
  history.reset(5, [change('a', 4, Buffer.alloc(4000)), change('b', 5)])
  t.deepEqual(history.statePart('', 1000)?.entries.map(({ key }) => key), ['a'])
  t.is(history.statePart('', 1000)?.continuesAfter, 'a')
})

test('a state over the bounds is not kept, but its changes are', t => {
  const history = createStoreHistory()
  const value = Buffer.alloc(32 * 1024)
  history.reset(600, Array.from({ length: 600 }, (_, index) => change(`key-${index}`, index, value)))
  t.is(history.statePart('', 1000), undefined)
  history.record({ entries: [change('a', 601)], revision: 601 })
  t.is(history.statePart('', 1000), undefined)
  t.is(history.changesSince(600)?.entries.length, 1)
})

// Guards against an empty value that is passed on as if it were the stored one.
test('a value that was left out where it was received from stays left out', t => {
  const history = createStoreHistory()
  history.reset(5, [{ ...change('a', 4, Buffer.alloc(0)), valueLeftOut: true }])
  t.true(history.statePart('', 1000)?.entries[0]?.valueLeftOut)
})
