/**
 * Statements that did not run, while a primary has failed and while a group is full.
 */
import { createRetryBudget } from '@egretyoke/limits'
import test from 'ava'
import { decideRetry } from './retry-decision.js'
import type { RetryState } from './retry-decision.js'
import type { StatementReason } from '../sessions/statement.js'

const state: RetryState = {
  reason: 'unreachable', needsPrimary: true, isPrimaryActive: true, hasOther: false, refusedWaits: 0, remainingMs: 800
}
const unlimited = { tryRetry: () => true }

/** Time in milliseconds after which a statement with this timeout is given up, if every attempt ends alike at once. */
const givenUpAfterMs = (timeoutMs: number, overrides: Partial<RetryState>) => {
  for (let elapsedMs = 0, refusedWaits = 0; ; refusedWaits++) {
    const now = { ...state, refusedWaits, ...overrides, remainingMs: timeoutMs - elapsedMs }
    const decision = decideRetry(now, unlimited)
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
  const budget = createRetryBudget()
  let retries = 0
  for (let statement = 0; statement < 1000; statement++) {
    budget.recordRequest()
    const full = { ...state, reason: 'busy' as const, needsPrimary: false, hasOther: true }
    if (decideRetry(full, budget).kind === 'tryOther') retries++
  }
  t.true(retries < 150, `${retries} retries`)
})

test('a read is tried elsewhere after a failure, whatever the budget', t => {
  const exhausted = { tryRetry: () => false }
  for (const reason of ['unreachable', 'lagging', 'silent'] as StatementReason[]) {
    t.is(decideRetry({ ...state, reason, needsPrimary: false, hasOther: true }, exhausted).kind, 'tryOther')
  }
})
