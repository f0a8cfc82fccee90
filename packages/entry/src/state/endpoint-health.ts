/**
 * Health and replication position of one endpoint, as last reported by the endpoint. Cached positions only select an
 * endpoint; they never prove that an answer is valid.
 */

/** Last known state of an endpoint. Times are on this VM's monotonic clock. */
export type EndpointHealth = {
  reachable: boolean
  term: number
  appliedPosition: number
  isPrimary: boolean
  seenAtMs: number
  /** Moving average of the round trip, in milliseconds. */
  latencyMs: number
}

/** Mutable health state of one endpoint. */
export type HealthRecord = {
  current: () => Readonly<EndpointHealth>
  recordPosition: (term: number, position: number, isPrimary: boolean, nowMs: number) => void
  recordLatency: (latencyMs: number) => void
  /** Marks the endpoint as unreachable. Returns true if it was reachable before. */
  recordFailure: () => boolean
}

const latencyWeight = 0.1

/** Creates the health state of an endpoint that has not answered yet. */
export const createHealthRecord = (): HealthRecord => {
  const health: EndpointHealth = {
    reachable: false, term: 0, appliedPosition: 0, isPrimary: false, seenAtMs: -Infinity, latencyMs: 0
  }

  const recordPosition: HealthRecord['recordPosition'] = (term, position, isPrimary, nowMs) => {
    health.reachable = true
    health.seenAtMs = nowMs
    if (term < health.term) return
    health.appliedPosition = term > health.term ? position : Math.max(position, health.appliedPosition)
    health.term = term
    health.isPrimary = isPrimary
  }

  const recordLatency = (latencyMs: number) => {
    health.latencyMs += latencyWeight * (latencyMs - health.latencyMs)
  }

  const recordFailure = () => {
    const wasReachable = health.reachable
    health.reachable = false
    return wasReachable
  }

  return { current: () => health, recordPosition, recordLatency, recordFailure }
}
