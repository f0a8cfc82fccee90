/**
 * Attempts after the first one while several causes act at once.
 */
import test from 'ava'
import { causeOf, createAttemptBudget } from './attempt-budget.js'
import type { AttemptCause } from './attempt-budget.js'
import type { StatementReason } from '../sessions/statement.js'

const causes: readonly AttemptCause[] = ['overload', 'moved', 'holderSilent', 'lagging', 'failed']

/** Attempts paid for while each of the statements asks for `wanted` attempts of each cause. */
const paidAttempts = (statements: number, intervalMs: number, wanted: number) => {
  const budget = createAttemptBudget()
  const paid = new Map<AttemptCause, number>(causes.map(cause => [cause, 0]))
  for (let statement = 0; statement < statements; statement++) {
    const nowMs = statement * intervalMs
    budget.recordStatement('group', nowMs)
    for (const cause of causes) {
      for (let attempt = 0; attempt < wanted; attempt++) {
        if (budget.tryAttempt('group', cause, nowMs)) paid.set(cause, paid.get(cause)! + 1)
      }
    }
  }
  return paid
}

// Guards against attempts that multiply: a third of the holders without lease, lagging replicas and full databases.
test('the attempts of each cause are a part of the statements, however many are wanted', t => {
  const paid = paidAttempts(6000, 5, 4)
  t.true(paid.get('overload')! < 0.15 * 6000, `${paid.get('overload')} after overload`)
  for (const cause of causes) t.true(paid.get(cause)! < 0.35 * 6000, `${paid.get(cause)} ${cause}`)
})

test('the statements in flight at a holder that ends are all tried once more', t => {
  const budget = createAttemptBudget()
  for (let nowMs = 0; nowMs < 10_000; nowMs += 10) budget.recordStatement('group', nowMs)
  const inFlight = Array.from({ length: 50 }, () => budget.tryAttempt('group', 'holderSilent', 10_000))
  t.true(inFlight.every(isPaid => isPaid))
})

test('a cause or group that has used up its budget takes nothing from another one', t => {
  const budget = createAttemptBudget()
  while (budget.tryAttempt('one', 'moved', 0));
  t.false(budget.tryAttempt('one', 'moved', 0))
  t.true(budget.tryAttempt('one', 'lagging', 0))
  t.true(budget.tryAttempt('other', 'moved', 0))
})

test('a budget that was used up is available again after some seconds', t => {
  const budget = createAttemptBudget()
  while (budget.tryAttempt('group', 'failed', 0));
  t.true(budget.tryAttempt('group', 'failed', 5000))
})

test('each reason after which a statement may be tried elsewhere has its cause', t => {
  const expected: Array<[StatementReason, AttemptCause]> = [
    ['busy', 'overload'], ['queuedTooLong', 'overload'], ['moved', 'moved'], ['noContact', 'moved'],
    ['notPrimary', 'moved'], ['closed', 'moved'], ['holderSilent', 'holderSilent'], ['lagging', 'lagging'],
    ['unreachable', 'failed'], ['silent', 'failed'], ['readOnly', 'failed'], ['failed', 'failed']
  ]
  for (const [reason, cause] of expected) t.is(causeOf(reason), cause, reason)
})
