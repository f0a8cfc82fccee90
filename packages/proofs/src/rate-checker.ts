/**
 * Checks a fleet's admissions, as callers observed them, against a rate limit over every interval. A request counts
 * for an interval only when it was sent and answered within it, so that the check reports no false violations.
 */

/** Send and answer times of an admitted request, in milliseconds on the same monotonic clock. */
export type Admission = { sentMs: number, receivedMs: number }

/** Requests admitted beyond `burst + rate * T` in the worst interval; 0 when the limit held. */
export const excessOverLimit = (
  admissions: readonly Admission[],
  limit: { ratePerSec: number, burst: number }
): number => {
  const byReceived = [...admissions].sort((left, right) => left.receivedMs - right.receivedMs)
  let worst = 0
  for (const { sentMs: fromMs } of admissions) {
    let count = 0
    for (const { sentMs, receivedMs } of byReceived) {
      if (sentMs < fromMs) continue
      count++
      worst = Math.max(worst, count - limit.burst - limit.ratePerSec * (receivedMs - fromMs) / 1_000)
    }
  }
  return Math.floor(worst + 1e-6)
}
