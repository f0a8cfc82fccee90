/**
 * Holders that have no contact with the store or no lease, and when they are tried again.
 *
 * Load pattern: the store refuses a part of the gateways, or cannot be reached from them. Such a holder may not use any
 * primary, and every statement that is sent to it for one is an attempt in vain. After `noContact` it gets no statement
 * that needs a primary, of whichever database, until a trial has shown that it has contact again. Trials are single
 * statements at increasing intervals. Reads at replicas need no lease and are not affected.
 */
import type { StatementOutcome } from '../sessions/statement.js'

/** Holders by the name of their process. Times are readings of one monotonic clock. */
export type HolderTrials = {
  /** True if the holder may be sent a statement that needs a primary, if only as a trial. */
  isOpen: (holder: string, nowMs: number) => boolean
  /** Records that such a statement is sent; while it is a trial, no other one is due. */
  start: (holder: string, nowMs: number) => void
  /** Records the outcome of such a statement; returns what has changed for the holder. */
  record: (
    holder: string, outcome: Pick<StatementOutcome, 'status' | 'reason'>, startedAtMs: number, nowMs: number
  ) => 'lost' | 'regained' | undefined
}

/** Delay of the first trial; each failed one doubles it up to the maximum. */
const firstDelayMs = 200
const maxDelayMs = 1600
/** Delays are spread by this fraction, so that the gateways do not try a holder at the same time. */
const delaySpread = 0.25
/** Processes without contact that are remembered; the least recently added one is forgotten beyond this. */
const maxHolders = 1024

type Blocked = { failedTrials: number, sinceMs: number, nextTrialMs: number }

/** Creates a table without blocked holders; `random` returns numbers from 0 to 1. */
export const createHolderTrials = (random: () => number = Math.random): HolderTrials => {
  const blocked = new Map<string, Blocked>()

  const delayMs = (failedTrials: number) =>
    Math.min(maxDelayMs, firstDelayMs * 2 ** failedTrials) * (1 + delaySpread * (2 * random() - 1))

  const isOpen = (holder: string, nowMs: number) => nowMs >= (blocked.get(holder)?.nextTrialMs ?? -Infinity)

  const start = (holder: string, nowMs: number) => {
    const entry = blocked.get(holder)
    if (entry !== undefined) entry.nextTrialMs = nowMs + delayMs(entry.failedTrials)
  }

  const block = (holder: string, startedAtMs: number, nowMs: number) => {
    const previous = blocked.get(holder)
    // Statements that were sent before the first such reply are no trials.
    if (previous !== undefined && startedAtMs < previous.sinceMs) return undefined
    const failedTrials = previous === undefined ? 0 : previous.failedTrials + 1
    blocked.set(holder, { failedTrials, sinceMs: nowMs, nextTrialMs: nowMs + delayMs(failedTrials) })
    const [oldest] = blocked.keys()
    if (blocked.size > maxHolders && oldest !== undefined) blocked.delete(oldest)
    return previous === undefined ? 'lost' as const : undefined
  }

  const record: HolderTrials['record'] = (holder, { status, reason }, startedAtMs, nowMs) => {
    if (reason === 'noContact') return block(holder, startedAtMs, nowMs)
    const entry = blocked.get(holder)
    // A silent holder has not shown that it has contact, and neither has a reply to an earlier statement.
    if (entry === undefined || reason === 'holderSilent') return undefined
    if (status !== 'DONE' && startedAtMs < entry.sinceMs) return undefined
    blocked.delete(holder)
    return 'regained'
  }

  return { isOpen, start, record }
}
