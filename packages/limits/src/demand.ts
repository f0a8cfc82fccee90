/**
 * Estimates the recent arrival rate with an exponentially decaying counter.
 */
import type { Clock } from '@egretyoke/common'

/** Time constant of the decay, in milliseconds. */
const decayMs = 1000

/** Minimum period over which the first arrivals are averaged, in milliseconds. */
const minSpanMs = 100

/** Count below which the estimate is reset to 0. */
const negligibleCount = 0.01

/** Estimate of the recent arrival rate. */
export type DemandEstimate = {
  record: (arrivals?: number) => void
  /** Arrivals per second. */
  perSec: () => number
}

/** Creates an estimate of 0. */
export const createDemandEstimate = (clock: Clock): DemandEstimate => {
  let decayedCount = 0
  let lastMs = clock()
  let startMs = lastMs

  const decay = () => {
    if (decayedCount === 0) return
    const nowMs = clock()
    decayedCount *= Math.exp((lastMs - nowMs) / decayMs)
    lastMs = nowMs
    if (decayedCount < negligibleCount) decayedCount = 0
  }

  const record = (arrivals = 1) => {
    decay()
    if (decayedCount === 0) startMs = lastMs = clock()
    decayedCount += arrivals
  }

  const perSec = () => {
    decay()
    if (decayedCount === 0) return 0
    const spanMs = Math.max(minSpanMs, lastMs - startMs)
    return decayedCount * 1000 / (decayMs * (1 - Math.exp(-spanMs / decayMs)))
  }

  return { record, perSec }
}
