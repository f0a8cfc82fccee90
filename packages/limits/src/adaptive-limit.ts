/**
 * Adaptive limit on the statements that a VM has in flight at one endpoint. The endpoint has fewer slots than the fleet
 * has VMs and does not report how many are free, so the limit is estimated: it increases slowly while statements
 * succeed, and decreases when the endpoint declines a statement or when statements take much longer than the fastest of
 * their own kind, which means that they queue. Latencies are compared within a kind, because slow statements would
 * otherwise look like queueing. Where the times of one kind differ among themselves, the caller supplies the usual
 * time of a kind, since the fastest statement says little about the others.
 */
import type { Clock } from '@egretyoke/common'
import { monotonicMs } from '@egretyoke/common'

/** Additive increase: each answered statement adds this divided by the limit, about one per full round of answers. */
const additiveIncrease = 1

/** Multiplicative decrease of the limit when the endpoint declines a statement, and when statements queue. */
const declineFactor = 0.7
const queueingFactor = 0.85

/** Weight of a new sample in the moving averages of latency. */
const latencyWeight = 0.1

/** Extra latency above this multiple of the latency without queueing, plus the slack, counts as queueing. */
const queueingRatio = 1
const queueingSlackMs = 5

/** Maximum number of statement kinds with their own lowest latency; further kinds share one. */
const maxKinds = 1_000
const otherKinds = ''

/** Length of a period for lowest latencies, in milliseconds; the lowest of the current and previous period is used. */
const lowestPeriodMs = 10_000

/** Outcome of a statement at an endpoint, as a signal of the endpoint's load. */
export type FlightOutcome =
  /** The endpoint answered. */
  | 'answered'
  /** The endpoint declined because it was busy. */
  | 'declined'
  /** Ended without information on load, for instance because the caller disconnected. */
  | 'ignored'

/** Options of an adaptive limit. */
export type AdaptiveLimitOptions = {
  /** Initial limit, in statements in flight. */
  initial: number
  /** Maximum limit: the number of connections that this VM may open. */
  max: number
  clock?: Clock
  /**
   * Latency of a kind of statement without queueing, in place of the lowest one; undefined if it is not known, which
   * counts as no queueing.
   */
  usualMs?: (kind: string) => number | undefined
  /** Weight of a new sample in the moving averages of latency, in place of 0.1. */
  latencyWeight?: number
}

/** Limit on the statements in flight at one endpoint. */
export type AdaptiveLimit = {
  /** Counts one more statement in flight; false when the limit is reached. */
  tryAcquire: () => boolean
  /** Counts one more statement in flight even if the limit is reached, for one that must not wait. */
  acquire: () => void
  /** Ends an acquired statement. Statements of one kind, such as those of one route, take about the same time. */
  release: (outcome: FlightOutcome, latencyMs: number, kind?: string) => void
  limit: () => number
  inFlight: () => number
  /** Sets the limit and forgets the latencies, because the endpoint's capacity may have changed. */
  restart: (limit: number) => void
  /** Changes the maximum limit, for instance because the VM's share of connections has changed. */
  setMax: (max: number) => void
}

/** Tracks the lowest value of the current and the previous period. */
const createLowestTracker = (clock: Clock) => {
  let periodEndMs = clock() + lowestPeriodMs
  let previous = Infinity
  let current = Infinity

  const add = (value: number) => {
    if (clock() >= periodEndMs) {
      previous = current
      current = Infinity
      periodEndMs = clock() + lowestPeriodMs
    }
    current = Math.min(current, value)
  }

  return { add, lowest: () => Math.min(previous, current) }
}

type LowestTracker = ReturnType<typeof createLowestTracker>

/** Creates a limit with no statements in flight. */
export const createAdaptiveLimit = (options: AdaptiveLimitOptions): AdaptiveLimit => {
  const { clock = monotonicMs, usualMs, latencyWeight: weight = latencyWeight } = options
  const lowestByKind = new Map<string, LowestTracker>()
  let max = Math.max(1, options.max)
  let limit = Math.min(max, Math.max(1, options.initial))
  let inFlight = 0
  let latencyMs: number | undefined
  let unqueuedLatencyMs = 0
  let nextDecreaseMs = -Infinity

  // At most one decrease per average latency, because statements in flight were sent under the previous limit.
  const decrease = (factor: number) => {
    if (clock() < nextDecreaseMs) return
    limit = Math.max(1, limit * factor)
    nextDecreaseMs = clock() + (latencyMs ?? 0)
  }

  const isQueueing = () =>
    latencyMs !== undefined && latencyMs - unqueuedLatencyMs > unqueuedLatencyMs * queueingRatio + queueingSlackMs

  const lowestOf = (kind: string): LowestTracker => {
    const trackedKind = lowestByKind.has(kind) || lowestByKind.size < maxKinds ? kind : otherKinds
    const existing = lowestByKind.get(trackedKind) ?? createLowestTracker(clock)
    lowestByKind.set(trackedKind, existing)
    return existing
  }

  const movingAverage = (average: number, next: number) => average + (next - average) * weight

  const recordAgainstUsual = (measuredMs: number, usual: number) => {
    latencyMs = movingAverage(latencyMs ?? usual, measuredMs)
    unqueuedLatencyMs = unqueuedLatencyMs === 0 ? usual : movingAverage(unqueuedLatencyMs, usual)
  }

  const recordAgainstLowest = (measuredMs: number, kind: string) => {
    const lowest = lowestOf(kind)
    lowest.add(measuredMs)
    const isFirst = latencyMs === undefined
    latencyMs = isFirst ? measuredMs : movingAverage(latencyMs!, measuredMs)
    unqueuedLatencyMs = isFirst ? lowest.lowest() : movingAverage(unqueuedLatencyMs, lowest.lowest())
  }

  const recordLatency = (measuredMs: number, kind: string) =>
    usualMs === undefined
      ? recordAgainstLowest(measuredMs, kind)
      : recordAgainstUsual(measuredMs, usualMs(kind) ?? measuredMs)

  // Increases only a limit that was reached, because a higher one is otherwise untested.
  const increase = (wasFull: boolean) => {
    if (wasFull) limit = Math.min(max, limit + additiveIncrease / limit)
  }

  const release = (outcome: FlightOutcome, measuredMs: number, kind = otherKinds) => {
    const wasFull = inFlight >= Math.floor(limit)
    inFlight = Math.max(0, inFlight - 1)
    if (outcome === 'ignored') return
    if (outcome === 'declined') return decrease(declineFactor)
    recordLatency(measuredMs, kind)
    if (isQueueing()) decrease(queueingFactor)
    else increase(wasFull)
  }

  const tryAcquire = () => {
    if (inFlight >= Math.floor(limit)) return false
    inFlight++
    return true
  }

  const restart = (next: number) => {
    limit = Math.min(max, Math.max(1, next))
    latencyMs = undefined
    unqueuedLatencyMs = 0
    nextDecreaseMs = -Infinity
  }

  const setMax = (next: number) => {
    max = Math.max(1, next)
    limit = Math.min(limit, max)
  }

  const acquire = () => { inFlight++ }

  return { tryAcquire, acquire, restart, release, limit: () => Math.floor(limit), inFlight: () => inFlight, setMax }
}
