/**
 * True time of the fleet, for the windows of usage reports. The wall clock of a VM may jump or be wrong at a start, so
 * time advances with the monotonic clock, and its offset is corrected only by what most VMs agree on: the reporter
 * takes the median of all wall clocks, and the others follow the reporter.
 */
import { medianOf } from '@egretyoke/common'

/** A difference below this is left as it is; latency between data centres and short pauses cause as much. */
export const maxDeviationMs = 100
/** A difference above this is corrected at the first message; a smaller one may be the delay of that message. */
const certainDeviationMs = 1000
/** Clocks below which the median does not tell which one is wrong. */
const minClocks = 3
/** Times of the reporter that are compared; the least delayed of them is the most accurate one. */
const comparedTimes = 5

/** True time, corrected by the clocks of other VMs. */
export type FleetClock = {
  /** Milliseconds since the start of 1970. */
  nowMs: () => number
  /** The monotonic time at which the true time was or will be reached. */
  toMonotonicMs: (trueMs: number) => number
  /** True if the time was compared with that of other VMs. */
  isConfirmed: () => boolean
  /** Corrects the time by the median of the offsets of all wall clocks from the monotonic clock of this process. */
  correctByMedian: (offsetsMs: readonly number[]) => void
  /** Follows the time that the reporter sent; 0: the reporter has not compared its own. */
  followReporter: (reporterMs: number) => void
}

/** Creates the clock. `onCorrected` is called with the change of each correction, in milliseconds. */
export const createFleetClock = (
  monotonic: () => number, wall: () => number, onCorrected: (changeMs: number) => void = () => {}
): FleetClock => {
  let offsetMs = wall() - monotonic()
  let confirmed = false
  let reporterOffsetsMs: number[] = []

  const correct = (nextOffsetMs: number, thresholdMs: number) => {
    const changeMs = nextOffsetMs - offsetMs
    if (Math.abs(changeMs) <= thresholdMs) return
    offsetMs = nextOffsetMs
    onCorrected(changeMs)
  }

  return {
    nowMs: () => monotonic() + offsetMs,
    toMonotonicMs: trueMs => trueMs - offsetMs,
    isConfirmed: () => confirmed,
    correctByMedian: offsetsMs => {
      if (offsetsMs.length < minClocks) return
      confirmed = true
      reporterOffsetsMs = []
      correct(medianOf(offsetsMs), maxDeviationMs)
    },
    followReporter: reporterMs => {
      if (reporterMs === 0) return
      confirmed = true
      reporterOffsetsMs = [...reporterOffsetsMs, reporterMs - monotonic()].slice(-comparedTimes)
      const isSingle = reporterOffsetsMs.length === 1
      correct(Math.max(...reporterOffsetsMs), isSingle ? certainDeviationMs : maxDeviationMs)
    }
  }
}
