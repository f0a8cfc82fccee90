/**
 * Spaces the calls of one process to the store while the store refuses them or does not answer.
 *
 * Load pattern: a store that is down, or that refuses some VMs, while every loop of every VM keeps calling it. All
 * calls are charged, refused ones too, and VMs that call at the same intervals reach a store that has just returned at
 * the same moments. After each failure the delay of that kind of call doubles; a random part of it spreads the VMs.
 */
import { monotonicMs, sleepMs } from '@egretyoke/common'
import type { Clock } from '@egretyoke/common'

/** Kinds of calls. Each has its own delay, so that one that keeps failing does not delay the others. */
export type StoreCallKind = 'contact' | 'value' | 'membership' | 'group' | 'usage' | 'other'

const firstDelayMs = 200
/** Keys, configurations and promotions depend on contact and group records, so these calls are retried sooner. */
const maxDelayMs: Record<StoreCallKind, number> = {
  contact: 1000, value: 1000, membership: 2000, group: 1000, usage: 2000, other: 2000
}
/** A delay is random between this fraction of its length and its whole length. */
const minDelayFraction = 0.5
/** Longest sleep of a waiting loop, so that it learns soon when another kind of call found the store returned. */
const maxSleepMs = 100

/** Delays of the calls of one process. */
export type StoreBackoff = {
  /** Time in milliseconds until a call of this kind may be made; 0: now. */
  delayMs: (kind: StoreCallKind) => number
  /** Records a reply. If it ends a series of failures, all other kinds may try once at once. */
  recordSuccess: (kind: StoreCallKind) => void
  /** Records a refusal or a time-out. The delay counts from the start of the call. */
  recordFailure: (kind: StoreCallKind, startedAtMs: number) => void
}

type Failures = { count: number, lastAtMs: number, dueAtMs: number }

/** Creates a backoff without failures. `random` returns a fraction. */
export const createStoreBackoff = (nowMs: Clock = monotonicMs, random: () => number = Math.random): StoreBackoff => {
  const failuresByKind = new Map<StoreCallKind, Failures>()

  const nextDelayMs = (kind: StoreCallKind, count: number) => {
    const wholeMs = Math.min(maxDelayMs[kind], firstDelayMs * 2 ** (count - 1))
    return wholeMs * (minDelayFraction + (1 - minDelayFraction) * random())
  }

  return {
    delayMs: kind => Math.max(0, (failuresByKind.get(kind)?.dueAtMs ?? 0) - nowMs()),
    recordSuccess: kind => {
      if (!failuresByKind.delete(kind)) return
      for (const failures of failuresByKind.values()) failures.dueAtMs = nowMs()
    },
    recordFailure: (kind, startedAtMs) => {
      const earlier = failuresByKind.get(kind)
      // Calls that were under way together fail for one reason.
      if (earlier !== undefined && startedAtMs < earlier.lastAtMs) return
      const count = (earlier?.count ?? 0) + 1
      failuresByKind.set(kind, { count, lastAtMs: nowMs(), dueAtMs: startedAtMs + nextDelayMs(kind, count) })
    }
  }
}

/** Sleeps until a call of this kind may be made, or the signal aborts. */
export const sleepUntilDue = async (
  backoff: StoreBackoff, kind: StoreCallKind, signal: AbortSignal
): Promise<void> => {
  for (let delayMs = backoff.delayMs(kind); delayMs > 0 && !signal.aborted; delayMs = backoff.delayMs(kind)) {
    await sleepMs(Math.min(delayMs, maxSleepMs), signal)
  }
}
