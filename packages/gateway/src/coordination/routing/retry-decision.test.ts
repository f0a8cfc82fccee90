/**
 * Statements that did not run, while a primary has failed and while a group is full.
 */
import test from 'ava'
import { createAttemptBudget } from './attempt-budget.js'
import type { AttemptCause } from './attempt-budget.js'
import { decideRetry } from './retry-decision.js'
import type { RetryState } from './retry-decision.js'
import type { StatementReason } from '../sessions/statement.js'

const state: RetryState = {
  reason: 'unreachable',
  wasSent: true,
  needsPrimary: true,
  isPrimaryActive: true,
  hasOther: false,
  isRepetition: false,
  hasOpenHolder: true,
  refusedWaits: 0,
  remainingMs: 800
}
const unlimited = { tryAttempt: () => true }
const exhausted = { tryAttempt: () => false }

/** Time in milliseconds after which a statement with this timeout is given up, if every attempt ends alike at once. */
const givenUpAfterMs = (timeoutMs: number, overrides: Partial<RetryState>, budget = unlimited) => {
  for (let elapsedMs = 0, refusedWaits = 0; ; refusedWaits++) {
    const now = { ...state, refusedWaits, ...overrides, remainingMs: timeoutMs - elapsedMs }
    const decision = decideRetry(now, budget)
    if (decision.kind !== 'wait') return elapsedMs
    elapsedMs += decision.ms
  }
}

test('a statement waits for a failed primary to be replaced, for as long as its timeout allows', t => {
  for (const reason of ['unreachable', 'holderSilent', 'readOnly'] as StatementReason[]) {
    t.true(givenUpAfterMs(800, { reason }) >= 700, reason)
  }
  t.true(givenUpAfterMs(800, { reason: undefined, isPrimaryActive: false }) >= 700)
})

test('a statement that no primary can run is given up at once', t => {
  t.is(givenUpAfterMs(800, { reason: undefined }), 0)
  t.is(givenUpAfterMs(800, { reason: 'failed' }), 0)
  t.is(givenUpAfterMs(800, { reason: 'transactionGone' }), 0)
})

test('a statement that no holder may run without the store is given up long before its timeout', t => {
  const elapsedMs = givenUpAfterMs(2000, { reason: 'moved' })
  t.true(elapsedMs > 100 && elapsedMs < 300, `${elapsedMs} ms`)
})

test('a statement at a full primary is given up at once', t => {
  t.is(givenUpAfterMs(800, { reason: 'busy' }), 0)
  t.is(givenUpAfterMs(800, { reason: 'queuedTooLong' }), 0)
})

test('when all databases are full, attempts at other databases are a small part of the statements', t => {
  const budget = createAttemptBudget()
  let retries = 0
  for (let statement = 0; statement < 1000; statement++) {
    budget.recordStatement('group', 0)
    const full = { ...state, reason: 'busy' as const, needsPrimary: false, hasOther: true }
    const tryAttempt = (cause: AttemptCause) => budget.tryAttempt('group', cause, 0)
    if (decideRetry(full, { tryAttempt }).kind === 'tryOther') retries++
  }
  t.true(retries < 150, `${retries} retries`)
})

test('a read is tried elsewhere after a failure, also when the attempts after an overload are used up', t => {
  const withoutOverload = { tryAttempt: (cause: AttemptCause) => cause !== 'overload' }
  for (const reason of ['unreachable', 'lagging', 'silent'] as StatementReason[]) {
    t.is(decideRetry({ ...state, reason, needsPrimary: false, hasOther: true }, withoutOverload).kind, 'tryOther')
  }
})

// Guards against reads that fail everywhere and are tried at each database.
test('a read is given up after a failure when the attempts after failures are used up', t => {
  for (const reason of ['unreachable', 'lagging', 'silent', 'noContact'] as StatementReason[]) {
    t.is(decideRetry({ ...state, reason, needsPrimary: false, hasOther: true }, exhausted).kind, 'giveUp')
  }
})

// Guards against attempts every 100 ms, at three holders each, at a primary that has failed.
test('a statement that waits for a failed primary repeats its attempts only as far as they are paid for', t => {
  const repetition = { hasOther: true, isRepetition: true }
  for (const reason of ['unreachable', 'holderSilent', 'readOnly'] as StatementReason[]) {
    t.true(givenUpAfterMs(800, { ...repetition, reason }, exhausted) >= 700, reason)
    t.is(decideRetry({ ...state, ...repetition, reason }, unlimited).kind, 'tryOther')
    // The next primary has not been tried, so that the first attempt there is not bounded.
    t.is(decideRetry({ ...state, reason, hasOther: true, isRepetition: false }, exhausted).kind, 'tryOther')
  }
})

// Guards against statements that are held although no gateway may use the primary.
test('a statement is given up within 125 ms when all holders of the primary have lost contact', t => {
  const closedMs = givenUpAfterMs(800, { reason: 'noContact', hasOpenHolder: false })
  t.true(closedMs >= 100 && closedMs <= 125, `${closedMs} ms`)
  const elapsedMs = givenUpAfterMs(800, { reason: 'noContact' })
  t.true(elapsedMs > 100 && elapsedMs < 300, `${elapsedMs} ms`)
  t.true(givenUpAfterMs(800, { reason: 'noContact', hasOpenHolder: false, isPrimaryActive: false }) >= 700)
})

test('a database that no holder may be sent a statement for costs no attempt', t => {
  const read = { ...state, reason: 'noContact' as const, needsPrimary: false, hasOther: true }
  t.is(decideRetry({ ...read, wasSent: false }, exhausted).kind, 'tryOther')
})
