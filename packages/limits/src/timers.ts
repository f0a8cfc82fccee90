/**
 * One-shot timers, passed as a function so that tests can run on simulated time.
 */

/** Calls `run` after a delay in milliseconds; the returned function cancels the timer. */
export type After = (delayMs: number, run: () => void) => () => void

/** Timers of Node.js; a pending timer does not keep the process alive. */
export const afterMs: After = (delayMs, run) => {
  const timer = setTimeout(run, delayMs)
  timer.unref()
  return () => clearTimeout(timer)
}
