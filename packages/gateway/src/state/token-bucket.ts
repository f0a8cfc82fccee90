/**
 * A token bucket that is empty at a given time: what an earlier keeper of the limit may have handed out until then
 * counts as spent.
 */
import { monotonicMs } from '@egretyoke/common'
import type { Clock } from '@egretyoke/common'

/** Rate and depth of a bucket. */
export type BucketTerms = { ratePerSec: number, burst: number }

/** A token bucket. */
export type TokenBucket = {
  /** Takes up to `wanted` whole tokens. */
  take: (wanted: number) => number
  /** Adds tokens, up to the depth. */
  add: (tokens: number) => void
  /** Changes the terms; tokens beyond the new depth are lost. */
  setTerms: (terms: BucketTerms) => void
}

/** Creates a bucket that was empty at `emptyAtMs` on the clock; now, unless it is given. */
export const createTokenBucket = (
  initial: BucketTerms, clock: Clock = monotonicMs, emptyAtMs: number = clock()
): TokenBucket => {
  let terms = initial
  let tokens = 0
  let filledAtMs = emptyAtMs

  /** Whoever has a rate gets a whole token at some time. */
  const depth = () => Math.max(terms.ratePerSec > 0 ? 1 : 0, terms.burst)

  const fill = () => {
    const nowMs = clock()
    tokens = Math.min(depth(), tokens + (nowMs - filledAtMs) / 1000 * terms.ratePerSec)
    filledAtMs = nowMs
  }

  return {
    take: wanted => {
      fill()
      const taken = Math.min(wanted, Math.floor(tokens))
      tokens -= taken
      return taken
    },
    add: added => {
      fill()
      tokens = Math.min(depth(), tokens + added)
    },
    setTerms: next => {
      fill()
      terms = next
      tokens = Math.min(tokens, depth())
    }
  }
}
