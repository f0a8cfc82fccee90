/**
 * Bounds the attempts after a statement's first one, for each group and cause, to a part of the recent statements.
 *
 * Load pattern: several causes at once, such as a store that refuses a part of the gateways, lagging replicas and full
 * databases. Each cause alone justifies another attempt, and together they multiply the load of the holders and of the
 * databases that can still serve. Causes have separate budgets, so that one of them does not use up what another needs.
 */
import { isMovedReason } from '../sessions/statement.js'
import type { StatementReason } from '../sessions/statement.js'

/** Why a statement needs another attempt. */
export type AttemptCause = 'overload' | 'moved' | 'holderSilent' | 'lagging' | 'failed'

/** Budget of further attempts. Times are readings of one monotonic clock. */
export type AttemptBudget = {
  /** Records a statement, whose first attempt is not paid for. */
  recordStatement: (group: string, nowMs: number) => void
  /** Pays for one further attempt; false when the budget of the group and cause is used up. */
  tryAttempt: (group: string, cause: AttemptCause, nowMs: number) => boolean
}

/** Time over which statements and attempts are counted, with exponentially decreasing weight. */
const windowMs = 5000

/**
 * Attempts per statement in the window, and attempts that are always available. The attempts after an overload load the
 * very databases that are full; the statements in flight at a holder that ends need one attempt each.
 */
const bounds: Record<AttemptCause, { perStatement: number, reserve: number }> = {
  overload: { perStatement: 0.1, reserve: 3 },
  moved: { perStatement: 0.2, reserve: 5 },
  holderSilent: { perStatement: 0.3, reserve: 5 },
  lagging: { perStatement: 0.3, reserve: 5 },
  failed: { perStatement: 0.3, reserve: 5 }
}

/** Groups with a budget; the operators' configuration has far fewer. */
const maxGroups = 1024

/** The cause of an attempt that follows an outcome with this reason. */
export const causeOf = (reason: StatementReason): AttemptCause => {
  if (reason === 'busy' || reason === 'queuedTooLong') return 'overload'
  if (reason === 'holderSilent' || reason === 'lagging') return reason
  return isMovedReason(reason) ? 'moved' : 'failed'
}

type DecayingCount = { add: (nowMs: number) => void, value: (nowMs: number) => number }

const createDecayingCount = (): DecayingCount => {
  let count = 0
  let countedAtMs = 0
  const value = (nowMs: number) => count * Math.exp(-Math.max(0, nowMs - countedAtMs) / windowMs)
  const add = (nowMs: number) => {
    count = value(nowMs) + 1
    countedAtMs = nowMs
  }
  return { add, value }
}

/** Creates a budget without recorded statements. */
export const createAttemptBudget = (): AttemptBudget => {
  const counts = new Map<string, DecayingCount>()

  const countOf = (group: string, kind: AttemptCause | 'statements'): DecayingCount => {
    const key = `${kind} ${group}`
    const count = counts.get(key) ?? createDecayingCount()
    if (counts.size >= maxGroups * (Object.keys(bounds).length + 1)) counts.clear()
    counts.set(key, count)
    return count
  }

  const tryAttempt = (group: string, cause: AttemptCause, nowMs: number): boolean => {
    const attempts = countOf(group, cause)
    const { perStatement, reserve } = bounds[cause]
    const available = reserve + perStatement * countOf(group, 'statements').value(nowMs)
    if (attempts.value(nowMs) + 1 > available) return false
    attempts.add(nowMs)
    return true
  }

  return { recordStatement: (group, nowMs) => countOf(group, 'statements').add(nowMs), tryAttempt }
}
