/**
 * Monotonic time, and detection of host pauses, in which the monotonic clock stops while wall time advances.
 */

/** Returns monotonic time in milliseconds. Passed as an argument wherever a test may replace the clock. */
export type Clock = () => number

/** The process's monotonic clock, in milliseconds. */
export const monotonicMs: Clock = () => performance.now()

/** Maximum drift between wall and monotonic time that does not count as a pause, in milliseconds. */
export const maxClockDriftMs = 500

/** `hasBeenPaused` returns true when the host and its monotonic clock were paused since the previous call. */
export type PauseDetector = { hasBeenPaused: () => boolean }

/** Creates a pause detector. Setting the wall clock also counts as a pause, which is safe. */
export const createPauseDetector = (
  monotonic: Clock = monotonicMs,
  wall: Clock = Date.now,
  driftMs: number = maxClockDriftMs
): PauseDetector => {
  let offsetMs = wall() - monotonic()
  const hasBeenPaused = () => {
    const nowOffsetMs = wall() - monotonic()
    const driftedMs = Math.abs(nowOffsetMs - offsetMs)
    offsetMs = nowOffsetMs
    return driftedMs > driftMs
  }
  return { hasBeenPaused }
}
