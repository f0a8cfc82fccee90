/**
 * Calls to a store that refuses or does not answer, in simulated time.
 */
import { createRandom } from '@egretyoke/common'
import test from 'ava'
import { createStoreBackoff } from './store-backoff.js'
import type { StoreCallKind } from './store-backoff.js'

/** Calls as soon as the backoff permits until `untilMs`; each call fails after `answerMs`. Returns the start times. */
const callUntil = (kind: StoreCallKind, untilMs: number, answerMs: number, seed: number): number[] => {
  let nowMs = 0
  const backoff = createStoreBackoff(() => nowMs, createRandom(seed).fraction)
  const starts: number[] = []
  while (nowMs < untilMs) {
    const startedAtMs = nowMs
    starts.push(startedAtMs)
    nowMs += answerMs
    backoff.recordFailure(kind, startedAtMs)
    nowMs += backoff.delayMs(kind)
  }
  return [...starts, nowMs]
}

// Guards against a store that is called every 200 ms by each of the VMs that it refuses.
test('a store that refuses a VM for 9 s gets at most 20 calls for contact, and 12 for the membership', t => {
  for (let seed = 1; seed <= 50; seed++) {
    t.true(callUntil('contact', 9000, 4, seed).length <= 20)
    t.true(callUntil('membership', 9000, 4, seed).length <= 12)
  }
})

// Guards against promotions, keys and configurations that wait long for a store that has returned.
test('a call for contact is made within 1 s of the return of a store that refused calls', t => {
  for (let seed = 1; seed <= 50; seed++) {
    const starts = callUntil('contact', 20_000, 4, seed)
    const gaps = starts.slice(1).map((start, index) => start - (starts[index] ?? 0))
    t.true(Math.max(...gaps) <= 1000)
  }
})

test('a call for contact to a silent store is followed by the next one when it has timed out', t => {
  const starts = callUntil('contact', 20_000, 1200, 7)
  t.true(starts.slice(1).every((start, index) => start - (starts[index] ?? 0) === 1200))
})

// Guards against a contact that expires after a single lost reply.
test('the first three retries for contact are made within 1.4 s', t => {
  for (let seed = 1; seed <= 50; seed++) t.true((callUntil('contact', 3000, 4, seed)[3] ?? Infinity) <= 1400)
})

// Guards against many VMs that call at the same moments.
test('VMs that were refused at the same moment call at different ones', t => {
  const fifthCalls = Array.from({ length: 28 }, (_, seed) => callUntil('contact', 9000, 4, seed)[4] ?? 0)
  t.true(Math.max(...fifthCalls) - Math.min(...fifthCalls) > 300)
})

test('a success that ends failures lets the other kinds try once at once, and not more', t => {
  let nowMs = 0
  const backoff = createStoreBackoff(() => nowMs, () => 1)
  for (let count = 0; count < 6; count++) {
    nowMs += 10_000
    backoff.recordFailure('membership', nowMs)
    backoff.recordFailure('contact', nowMs)
  }
  t.is(backoff.delayMs('membership'), 2000)
  backoff.recordSuccess('contact')
  t.is(backoff.delayMs('contact'), 0)
  t.is(backoff.delayMs('membership'), 0)
  nowMs++
  backoff.recordFailure('membership', nowMs)
  t.is(backoff.delayMs('membership'), 2000)
  backoff.recordSuccess('contact')
  t.is(backoff.delayMs('membership'), 2000)
})

test('calls that were under way together count as one failure', t => {
  let nowMs = 100
  const backoff = createStoreBackoff(() => nowMs, () => 1)
  for (let call = 0; call < 6; call++) backoff.recordFailure('group', 50)
  t.is(backoff.delayMs('group'), 150)
  nowMs = 300
  backoff.recordFailure('group', 300)
  t.is(backoff.delayMs('group'), 400)
})
