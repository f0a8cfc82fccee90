/**
 * Decides what follows an attempt at which a statement did not run.
 *
 * Load patterns: a primary that has just failed or is being replaced, and a group whose databases are all full. In the
 * first, every statement that needs the primary fails within milliseconds, and a refusal would use up the caller's few
 * retries before the next primary is active; waiting here costs the databases nothing, so the statement waits for the
 * primary within its own timeout. In the second, more attempts would multiply the load, so a budget bounds them.
 */
import type { RetryBudget } from '@egretyoke/limits'
import { isMovedReason } from '../sessions/statement.js'
import type { StatementReason } from '../sessions/statement.js'

/** Next step for a statement that has not run. */
export type RetryDecision = { kind: 'giveUp' } | { kind: 'tryOther' } | { kind: 'wait', ms: number }

/** State of a statement after an attempt, or before the first one if there is no eligible database. */
export type RetryState = {
  /** Reason of the last attempt; undefined before the first one. */
  reason: StatementReason | undefined
  needsPrimary: boolean
  /** False while the group's primary is being changed. */
  isPrimaryActive: boolean
  /** Whether another eligible database has not been tried. */
  hasOther: boolean
  /** Waits so far at an active primary that no holder was permitted to use. */
  refusedWaits: number
  /** Time until the statement's timeout, in milliseconds. */
  remainingMs: number
}

/** Poll interval while the primary is being changed; a poll reads this gateway's own state only. */
const changePollMs = 25
/** Delay before the next attempt at a primary that failed but is not being replaced yet. */
const failedPrimaryDelayMs = 100
/**
 * Waits at an active primary that no holder is permitted to use. The holders may know a newer group record, which
 * reaches this gateway within this time; otherwise none of them has contact with the store, and nothing can run.
 */
const maxRefusedWaits = 3
const refusedDelayMs = 60
/** With less time left, another attempt would only end in a time-out. */
const minAttemptMs = 40

/** Reasons that mean that the primary or its holder may have failed, or has lost its role. */
const primaryLostReasons: ReadonlySet<StatementReason> = new Set(['unreachable', 'holderSilent', 'readOnly'])

/** Reasons that mean that the database is overloaded. */
const overloadReasons: ReadonlySet<StatementReason> = new Set(['busy', 'queuedTooLong'])

const retryableAtOtherDatabase: ReadonlySet<StatementReason> =
  new Set([...primaryLostReasons, ...overloadReasons, 'lagging', 'silent'])

/** The next step; `budget` pays for attempts at other databases that follow an overload. */
export const decideRetry = (state: RetryState, budget: Pick<RetryBudget, 'tryRetry'>): RetryDecision => {
  const { reason, needsPrimary, isPrimaryActive, hasOther, refusedWaits, remainingMs } = state
  if (remainingMs < minAttemptMs) return { kind: 'giveUp' }
  const isMoved = reason !== undefined && isMovedReason(reason)
  if (reason !== undefined && !isMoved && !retryableAtOtherDatabase.has(reason)) return { kind: 'giveUp' }
  if (hasOther) {
    const isPaidFor = reason === undefined || !overloadReasons.has(reason) || budget.tryRetry()
    return { kind: isPaidFor ? 'tryOther' : 'giveUp' }
  }
  if (!needsPrimary) return { kind: 'giveUp' }
  if (!isPrimaryActive) return { kind: 'wait', ms: changePollMs }
  if (isMoved && refusedWaits < maxRefusedWaits) return { kind: 'wait', ms: refusedDelayMs }
  const isPrimaryLost = reason !== undefined && primaryLostReasons.has(reason)
  return isPrimaryLost ? { kind: 'wait', ms: Math.min(failedPrimaryDelayMs, remainingMs) } : { kind: 'giveUp' }
}
