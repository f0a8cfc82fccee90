/**
 * A token bucket that is empty at a given time, because tokens that an earlier allocator of the limit may have granted
 * until then count as spent.
 */
import { monotonicMs } from '@egretyoke/common'
import type { Clock } from '@egretyoke/common'

/** Refill rate and depth of a bucket. */
export type BucketLimits = { ratePerSec: number, burst: number }

/** A token bucket. */
export type TokenBucket = {
  /** Removes up to `requested` whole tokens; returns how many. */
  acquire: (requested: number) => number
  /** Time in milliseconds until the next whole token; 0 if there is one, Infinity with a rate of 0. */
  nextTokenMs: () => number
  /** Adds tokens, limited by the depth. */
  add: (tokens: number) => void
  /** Changes rate and depth; tokens beyond the new depth are discarded. */
  setLimits: (limits: BucketLimits) => void
}

/** Creates a bucket that was empty at `emptyAtMs` on the clock, by default now. */
export const createTokenBucket = (
  initial: BucketLimits, clock: Clock = monotonicMs, emptyAtMs: number = clock()
): TokenBucket => {
  let limits = initial
  let tokens = 0
  let filledAtMs = emptyAtMs

  /** At least one token for a non-zero rate, because with a burst below 1 the bucket would never hold a whole token. */
  const depth = () => Math.max(limits.ratePerSec > 0 ? 1 : 0, limits.burst)

  const fill = () => {
    const nowMs = clock()
    tokens = Math.min(depth(), tokens + (nowMs - filledAtMs) / 1000 * limits.ratePerSec)
    filledAtMs = nowMs
  }

  return {
    acquire: requested => {
      fill()
      const acquired = Math.min(requested, Math.floor(tokens))
      tokens -= acquired
      return acquired
    },
    nextTokenMs: () => {
      fill()
      return tokens >= 1 ? 0 : (1 - tokens) * 1000 / limits.ratePerSec
    },
    add: added => {
      fill()
      tokens = Math.min(depth(), tokens + added)
    },
    setLimits: next => {
      fill()
      limits = next
      tokens = Math.min(tokens, depth())
    }
  }
}
