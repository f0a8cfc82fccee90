/**
 * Tests the adaptive limit with an endpoint that has a fixed number of slots, and the retry budget.
 */
import test from 'ava'
import { createAdaptiveLimit } from './adaptive-limit.js'
import type { AdaptiveLimit } from './adaptive-limit.js'
import { createRetryBudget } from './retry-budget.js'

const fillTo = (limit: AdaptiveLimit) => {
  while (limit.tryAcquire()) { /* acquire until the limit is reached */ }
}

test('increases by one per full round up to the maximum', t => {
  const limit = createAdaptiveLimit({ initial: 1, max: 4, clock: () => 0 })
  for (let round = 0; round < 50; round++) {
    fillTo(limit)
    while (limit.inFlight() > 0) limit.release('answered', 10)
  }
  t.is(limit.limit(), 4)
})

test('does not increase while it is not reached', t => {
  const limit = createAdaptiveLimit({ initial: 3, max: 10, clock: () => 0 })
  for (let round = 0; round < 50; round++) {
    limit.tryAcquire()
    limit.release('answered', 10)
  }
  t.is(limit.limit(), 3)
})

test('decreases when the endpoint declines, at most once per round trip and not below one', t => {
  let nowMs = 0
  const limit = createAdaptiveLimit({ initial: 10, max: 10, clock: () => nowMs })
  fillTo(limit)
  limit.release('answered', 20)
  limit.release('declined', 1)
  limit.release('declined', 1)
  t.is(limit.limit(), 7)
  for (; nowMs < 1000; nowMs += 25) limit.release('declined', 1)
  t.is(limit.limit(), 1)
})

test('converges near the slot count of an endpoint that queues excess statements', t => {
  const slots = 3
  const serviceMs = 10
  let nowMs = 0
  const limit = createAdaptiveLimit({ initial: 1, max: 20, clock: () => nowMs })
  const seen: number[] = []
  for (let round = 0; round < 500; round++) {
    fillTo(limit)
    const latencyMs = serviceMs * Math.max(1, limit.inFlight() / slots)
    nowMs += latencyMs
    while (limit.inFlight() > 0) limit.release('answered', latencyMs)
    if (round > 100) seen.push(limit.limit())
  }
  t.true(Math.min(...seen) >= slots, `lowest ${Math.min(...seen)}`)
  t.true(Math.max(...seen) <= 4 * slots, `highest ${Math.max(...seen)}`)
})

test('slow statements of another kind do not count as queueing', t => {
  const slots = 3
  let nowMs = 0
  const limit = createAdaptiveLimit({ initial: slots, max: slots, clock: () => nowMs })
  for (let round = 0; round < 200; round++) {
    fillTo(limit)
    nowMs += 60
    limit.release('answered', 20, 'quick')
    while (limit.inFlight() > 0) limit.release('answered', 60, 'slow')
  }
  t.is(limit.limit(), slots)
})

// Guards against a limit of one because the times of one kind of statement differ among themselves.
test('with the usual time of a kind, differing statements of the kind do not count as queueing', t => {
  const times = [2, 30, 11, 6, 41, 8, 55, 3, 18, 26]
  const limit = createAdaptiveLimit({ initial: 1, max: 4, clock: () => 0, usualMs: () => 20 })
  for (let round = 0; round < 50; round++) {
    fillTo(limit)
    while (limit.inFlight() > 0) limit.release('answered', times[(round + limit.inFlight()) % times.length]!)
  }
  t.is(limit.limit(), 4)
})

test('falls when statements take much longer than is usual for their kind, and grows again after a restart', t => {
  let nowMs = 0
  const limit = createAdaptiveLimit({ initial: 4, max: 4, clock: () => nowMs, usualMs: () => 20 })
  for (let round = 0; round < 20; round++) {
    fillTo(limit)
    nowMs += 90
    while (limit.inFlight() > 0) limit.release('answered', 90)
  }
  t.is(limit.limit(), 1)
  limit.restart(2)
  t.is(limit.limit(), 2)
  for (let round = 0; round < 20; round++) {
    fillTo(limit)
    nowMs += 20
    while (limit.inFlight() > 0) limit.release('answered', 20)
  }
  t.is(limit.limit(), 4)
})

test('a statement that must not wait is counted beyond the limit', t => {
  const limit = createAdaptiveLimit({ initial: 1, max: 4, clock: () => 0 })
  limit.acquire()
  limit.acquire()
  t.is(limit.inFlight(), 2)
  t.false(limit.tryAcquire())
})

test('retries beyond the reserve are at most a tenth of the requests', t => {
  const budget = createRetryBudget()
  let retries = 0
  for (let request = 0; request < 1000; request++) {
    budget.recordRequest()
    while (budget.tryRetry()) retries++
  }
  t.true(retries >= 100 && retries <= 110, `${retries}`)
})
