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
export type Demand = {
  count: (arrivals?: number) => void
  /** Arrivals per second. */
  perSec: () => number
}

/** Creates an estimate of 0. */
export const createDemand = (clock: Clock): Demand => {
  let decayed = 0
  let lastMs = clock()
  let startMs = lastMs

  const decay = () => {
    if (decayed === 0) return
    const nowMs = clock()
    decayed *= Math.exp((lastMs - nowMs) / decayMs)
    lastMs = nowMs
    if (decayed < negligibleCount) decayed = 0
  }

  const count = (arrivals = 1) => {
    decay()
    if (decayed === 0) startMs = lastMs = clock()
    decayed += arrivals
  }

  const perSec = () => {
    decay()
    if (decayed === 0) return 0
    const spanMs = Math.max(minSpanMs, lastMs - startMs)
    return decayed * 1000 / (decayMs * (1 - Math.exp(-spanMs / decayMs)))
  }

  return { count, perSec }
}
