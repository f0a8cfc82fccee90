/**
 * Checks rate limits: no interval contains more admitted requests than rate and burst allow, and no request within
 * rate and burst is refused.
 */
import { isRateRefusal } from '../history.js'
import type { Operation } from '../history.js'

/** Token bucket parameters of a workspace. */
export type RateLimit = { ratePerSec: number, burst: number }

/** Segment tree over interval starts: adds 1 to a prefix, and returns the maximum over all prefixes added to so far. */
const createPrefixAddTree = (initialValues: number[]) => {
  let size = 1
  while (size < initialValues.length) size *= 2
  const maxima = new Float64Array(2 * size).fill(-Infinity)
  const pending = new Float64Array(2 * size)
  let activeCount = 0

  const activate = (index: number) => {
    let node = size + index
    maxima[node] = initialValues[index]
    for (node >>= 1; node > 0; node >>= 1) {
      maxima[node] = pending[node] + Math.max(maxima[2 * node], maxima[2 * node + 1])
    }
  }

  const add = (count: number, node = 1, from = 0, to = size) => {
    if (count <= from) return
    if (count >= to) {
      maxima[node] += 1
      pending[node] += 1
      return
    }
    const middle = (from + to) / 2
    add(count, 2 * node, from, middle)
    add(count, 2 * node + 1, middle, to)
    maxima[node] = pending[node] + Math.max(maxima[2 * node], maxima[2 * node + 1])
  }

  const addToPrefix = (count: number) => {
    for (; activeCount < count; activeCount++) activate(activeCount)
    add(count)
  }

  return { addToPrefix, max: () => maxima[1] }
}

const mayHaveRun = (operation: Operation): boolean =>
  operation.kind === 'done' || operation.kind === 'failed' || operation.kind === 'outcomeUnknown'

/**
 * Returns the largest excess of admitted requests over burst + rate * T in any interval of length T; 0 when there is
 * none. A request is admitted between its sending and its response, so it counts for intervals that contain both.
 */
export const excessAdmitted = (operations: Operation[], limit: RateLimit): number => {
  const admitted = operations.filter(mayHaveRun)
  if (admitted.length === 0) return 0
  const starts = admitted.map(operation => operation.sentMs).sort((left, right) => left - right)
  const ratePerMs = limit.ratePerSec / 1_000
  const tree = createPrefixAddTree(starts.map(startMs => ratePerMs * startMs))
  const upperBound = (startMs: number): number => {
    let low = 0
    let high = starts.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (starts[middle] <= startMs) low = middle + 1
      else high = middle
    }
    return low
  }
  let worst = 0
  for (const operation of admitted.sort((left, right) => left.receivedMs - right.receivedMs)) {
    tree.addToPrefix(upperBound(operation.sentMs))
    worst = Math.max(worst, tree.max() - ratePerMs * operation.receivedMs - limit.burst)
  }
  return Math.floor(worst + 1e-6)
}

/** Requests of a workspace, compared with a reference token bucket for the whole fleet. */
export type RateCheckResult = {
  /** Requests for which the reference bucket had a token. */
  within: Operation[]
  /** Rate refusals although the reference bucket had a token for every request since it was last full. */
  wrongfulRefusals: number
}

/** Compares the requests of one workspace, in any order, with the reference token bucket. */
export const checkRateRefusals = (operations: Operation[], limit: RateLimit): RateCheckResult => {
  const sent = [...operations].sort((left, right) => left.sentMs - right.sentMs)
  const result: RateCheckResult = { within: [], wrongfulRefusals: 0 }
  let tokens = limit.burst
  let lastMs = sent[0]?.sentMs ?? 0
  let isWithinSinceFull = true
  for (const operation of sent) {
    tokens = Math.min(limit.burst, tokens + (operation.sentMs - lastMs) * limit.ratePerSec / 1_000)
    lastMs = operation.sentMs
    if (tokens >= limit.burst) isWithinSinceFull = true
    if (tokens < 1) {
      isWithinSinceFull = false
      continue
    }
    tokens--
    result.within.push(operation)
    if (isWithinSinceFull && isRateRefusal(operation)) result.wrongfulRefusals++
  }
  return result
}
