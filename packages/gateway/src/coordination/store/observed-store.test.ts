/**
 * Calls that are counted, and calls that are not made after failures.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import test from 'ava'
import { createObservedStore } from './observed-store.js'
import type { SharedStore } from './shared-store.js'
import { createStoreBackoff } from './store-backoff.js'

const createStore = () => {
  const time = { nowMs: 0, isServing: false }
  const counted: string[] = []
  const answer = <T>(value: T) => async () => time.isServing ? Ok(value) : Err(typedError('noAnswer' as const, 'down'))
  const store = createObservedStore({
    list: answer({ entries: [], revision: 1 }),
    changes: async () => Err(typedError('historyGone' as const, 'gone')),
    compareAndSwap: answer({ swapped: false, current: undefined, storeRevision: 1 }),
    grantLease: answer(7)
  } as unknown as SharedStore, {
    backoff: createStoreBackoff(() => time.nowMs, () => 1),
    count: (call, result) => counted.push(`${call} ${result}`),
    nowMs: () => time.nowMs
  })
  return { store, counted, time }
}

const swap = (key: string) => ({ key, value: Buffer.from('x'), expectedRevision: 0 })

// Guards against a write for each statement that needs a primary while the store does not answer.
test('500 statements in 5 s make at most 8 attempts to write a group record that the store refuses', async t => {
  const { store, counted, time } = createStore()
  for (let statement = 0; statement < 500; statement++) {
    time.nowMs += 10
    t.true((await store.compareAndSwap(swap('egretyoke/group/bookings'), 900)).err)
  }
  t.true(counted.length <= 8, `${counted.length} calls`)
})

test('failed claims of limits do not delay the write of a group record', async t => {
  const { store, counted } = createStore()
  await store.compareAndSwap(swap('egretyoke/limit/3'), 900)
  await store.compareAndSwap(swap('egretyoke/limit/4'), 900)
  await store.compareAndSwap(swap('egretyoke/group/bookings'), 900)
  t.is(counted.length, 2)
})

// Guards against rate limit tokens that nobody grants because the store declines the record of usage reports.
test('a failed write of the usage record does not delay the claim of a limit', async t => {
  const { store, counted } = createStore()
  await store.compareAndSwap(swap('egretyoke/usage'), 900)
  await store.compareAndSwap(swap('egretyoke/limit/3'), 900)
  t.is(counted.length, 2)
})

test('calls are counted by kind and result', async t => {
  const { store, counted, time } = createStore()
  await store.grantLease(3000, 900)
  time.isServing = true
  await store.list('', 900)
  await store.changes('', 1, 1000, 900)
  await store.compareAndSwap(swap('egretyoke/vm/vm-1'), 900)
  t.deepEqual(counted, ['grantLease noAnswer', 'list ok', 'changes historyGone', 'compareAndSwap conflict'])
})
