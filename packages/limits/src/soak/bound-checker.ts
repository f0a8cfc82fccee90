/**
 * Checks admissions against `admitted <= burst + ratePerSec * T` over every interval T.
 *
 * The admissions in excess of the rate are tracked in a leaky bucket: its level drains at the rate but not below 0, so
 * that it is the maximum over all intervals that end now. When limits change, an interval is bounded by the highest
 * rate active at each time and the highest burst active within the interval, so there is one bucket for the intervals
 * that start in each period of constant limits.
 */

/** Tolerance for floating-point rounding before an excess is reported, in requests. */
const toleranceRequests = 1e-4

/** Active rate and burst; the maximum of each while VMs apply different versions. */
export type ActiveBound = { ratePerSec: number, burst: number }

/** The end of an interval with more admissions than the bound, and by how many. */
export type BoundExcess = { atMs: number, excessRequests: number, burst: number }

type Bucket = { level: number, burst: number }

/** Checks the admissions of one limit, which are reported in chronological order. */
export type BoundChecker = {
  /** Sets the rate and burst that are active from the given time on. */
  setBound: (atMs: number, bound: ActiveBound) => void
  admit: (atMs: number) => void
  /** The first detected excess. */
  excess: () => BoundExcess | undefined
}

/** Creates a checker without admissions. */
export const createBoundChecker = (initial: ActiveBound): BoundChecker => {
  const buckets: Bucket[] = [{ level: 0, burst: initial.burst }]
  let bound = initial
  let lastMs = 0
  let firstExcess: BoundExcess | undefined

  const drainTo = (atMs: number) => {
    const drained = bound.ratePerSec * Math.max(0, atMs - lastMs) / 1000
    for (const bucket of buckets) bucket.level = Math.max(0, bucket.level - drained)
    lastMs = Math.max(lastMs, atMs)
  }

  const setBound = (atMs: number, next: ActiveBound) => {
    drainTo(atMs)
    if (next.ratePerSec === bound.ratePerSec && next.burst === bound.burst) return
    bound = next
    for (const bucket of buckets) bucket.burst = Math.max(bucket.burst, next.burst)
    buckets.push({ level: 0, burst: next.burst })
  }

  const admit = (atMs: number) => {
    drainTo(atMs)
    for (const bucket of buckets) {
      bucket.level += 1
      const excessRequests = bucket.level - bucket.burst
      if (excessRequests > toleranceRequests) firstExcess ??= { atMs, excessRequests, burst: bucket.burst }
    }
  }

  return { setBound, admit, excess: () => firstExcess }
}
