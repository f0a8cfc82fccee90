/**
 * A clock that stands still while this process is stalled: it counts at most `maxGapMs` between two ticks.
 *
 * Load pattern: a VM without processor time for a second. Replies that arrived meanwhile have not been read yet, and
 * the silence of the peers is this process's own delay.
 */

/** Time during which this process ran. */
export type AwakeClock = {
  /** Records that the process runs now; call it at regular intervals. */
  tick: (nowMs: number) => void
  /** The awake time at a moment of the monotonic clock that is not before the last tick. */
  awakeMs: (nowMs: number) => number
}

/** Creates the clock; `maxGapMs` is the longest time between ticks that does not count as a stall. */
export const createAwakeClock = (maxGapMs: number): AwakeClock => {
  let lastTickMs: number | undefined
  let stalledMs = 0
  return {
    tick: nowMs => {
      if (lastTickMs !== undefined) stalledMs += Math.max(0, nowMs - lastTickMs - maxGapMs)
      lastTickMs = nowMs
    },
    awakeMs: nowMs => nowMs - stalledMs
  }
}
