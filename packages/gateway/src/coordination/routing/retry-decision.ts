/**
 * Decides what follows an attempt at which a statement did not run.
 *
 * Load patterns: a primary that has just failed or is being replaced, and a group whose databases are all full. In the
 * first, every statement that needs the primary fails within milliseconds, and a refusal would use up the caller's few
 * retries before the next primary is active; waiting here costs the databases nothing, so the statement waits for the
 * primary within its own timeout. In the second, more attempts would multiply the load, so a budget bounds them, as it
 * does attempts at other databases after a failure and repeated ones at the same primary.
 */
import { causeOf } from './attempt-budget.js'
import type { AttemptCause } from './attempt-budget.js'
import { isMovedReason } from '../sessions/statement.js'
import type { StatementReason } from '../sessions/statement.js'

/** Next step for a statement that has not run. */
export type RetryDecision = { kind: 'giveUp' } | { kind: 'tryOther' } | { kind: 'wait', ms: number }

/** State of a statement after an attempt, or before the first one if there is no eligible database. */
export type RetryState = {
  /** Reason of the last attempt; undefined before the first one. */
  reason: StatementReason | undefined
  /** False if the last attempt was not made, because no holder of the database may be sent the statement. */
  wasSent: boolean
  needsPrimary: boolean
  /** False while the group's primary is being changed. */
  isPrimaryActive: boolean
  /** Whether another eligible database has not been tried. */
  hasOther: boolean
  /** True if the next attempt would be at a primary that was tried already and has not been replaced since. */
  isRepetition: boolean
  /** False if all holders of the primary have lost contact with the store, as far as is known. */
  hasOpenHolder: boolean
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
/**
 * Waits, without attempts, for a holder to have contact again. Their sum is below a quarter of usual target latencies,
 * within which a statement may be held without being offered to a database.
 */
const maxClosedWaits = 2
/** With less time left, another attempt would only end in a time-out. */
const minAttemptMs = 40

/** Reasons that mean that the primary or its holder may have failed, or has lost its role. */
const primaryLostReasons: ReadonlySet<StatementReason> = new Set(['unreachable', 'holderSilent', 'readOnly'])

/** Reasons that mean that the database is overloaded. */
const overloadReasons: ReadonlySet<StatementReason> = new Set(['busy', 'queuedTooLong'])

const retryableAtOtherDatabase: ReadonlySet<StatementReason> =
  new Set([...primaryLostReasons, ...overloadReasons, 'lagging', 'silent'])

/** Waits for the primary if it may still run the statement, and gives up otherwise. */
const decideWait = (state: RetryState): RetryDecision => {
  const { reason, isPrimaryActive, hasOpenHolder, refusedWaits, remainingMs } = state
  if (!isPrimaryActive) return { kind: 'wait', ms: changePollMs }
  if (reason === undefined) return { kind: 'giveUp' }
  const maxWaits = reason === 'noContact' && !hasOpenHolder ? maxClosedWaits : maxRefusedWaits
  if (isMovedReason(reason) && refusedWaits < maxWaits) return { kind: 'wait', ms: refusedDelayMs }
  if (!primaryLostReasons.has(reason)) return { kind: 'giveUp' }
  return { kind: 'wait', ms: Math.min(failedPrimaryDelayMs, remainingMs) }
}

/** The next step; `budget` pays for attempts after the first one. */
export const decideRetry = (
  state: RetryState, budget: { tryAttempt: (cause: AttemptCause) => boolean }
): RetryDecision => {
  const { reason, wasSent, needsPrimary, hasOther, isRepetition, hasOpenHolder, remainingMs } = state
  if (remainingMs < minAttemptMs) return { kind: 'giveUp' }
  if (reason !== undefined && !isMovedReason(reason) && !retryableAtOtherDatabase.has(reason)) return { kind: 'giveUp' }
  if (hasOther) {
    const isFree = reason === undefined || !wasSent || (needsPrimary && !(isRepetition && hasOpenHolder))
    if (isFree || budget.tryAttempt(causeOf(reason))) return { kind: 'tryOther' }
  }
  return needsPrimary ? decideWait(state) : { kind: 'giveUp' }
}
