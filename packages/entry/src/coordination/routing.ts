/**
 * Routing: selects the endpoint for a request. Cached positions only guide the selection; every answer is checked.
 */
import type { GroupRecord } from '@egretyoke/config'
import type { LogPosition } from '../state/session-positions.js'

/** State of an endpoint that routing depends on. */
export type EndpointCandidate = {
  name: string
  isRecordPrimary: boolean
  reachable: boolean
  /** True if the endpoint is leaving, or its data centre is out of service. */
  isOutOfService: boolean
  term: number
  appliedPosition: number
  /** True if a connection can be acquired now. */
  hasCapacity: () => boolean
  inUse: number
  latencyMs: number
}

/** Freshness that a read requires of the endpoint that serves it. */
export type ReadRequirement = {
  /** The session's log position in the group; undefined if it has none. */
  sessionPosition: LogPosition | undefined
  /** Smallest position that is fresh enough; undefined if any position is. */
  minPosition: number | undefined
}

/** An endpoint that may not serve a read, as `NAME: REASON`. */
export type RejectedEndpoint = string

/** Endpoints that may serve a read, best first, and those that may not. */
export type ReadRoute = {
  eligible: EndpointCandidate[]
  rejected: RejectedEndpoint[]
}

/**
 * Last position of a term that is part of the group's log: the start position of the next term in the record's
 * lineage. Undefined if the lineage has no later term.
 */
export const endOfTerm = (record: GroupRecord, term: number): number | undefined =>
  record.lineage.find(start => start.term > term)?.startPosition

/** True if data at one log position includes all data up to another. Positions increase across terms. */
export const includesPosition = (data: LogPosition, sessionPosition: LogPosition): boolean =>
  data.position >= sessionPosition.position && data.term >= sessionPosition.term

/** True if a log position is part of the log that the group record describes. */
export const isInLineage = (record: GroupRecord, data: LogPosition): boolean => {
  const end = endOfTerm(record, data.term)
  return data.term <= record.term && (end === undefined || data.position <= end)
}

const rejectionReason = (candidate: EndpointCandidate, requirement: ReadRequirement): string | undefined => {
  if (candidate.isRecordPrimary) return 'primary'
  if (candidate.isOutOfService) return 'out'
  if (!candidate.reachable) return 'unreachable'
  if (requirement.sessionPosition &&
    candidate.appliedPosition < requirement.sessionPosition.position) return 'behindSession'
  if (requirement.sessionPosition && candidate.term < requirement.sessionPosition.term) return 'behindTerm'
  if (requirement.minPosition !== undefined && candidate.appliedPosition < requirement.minPosition) return 'tooOld'
  return undefined
}

const byLoad = (left: EndpointCandidate, right: EndpointCandidate): number =>
  left.inUse - right.inUse || left.latencyMs - right.latencyMs

/** Selects the replicas for a read, ordered by connections in use, then by latency. */
export const routeRead = (candidates: readonly EndpointCandidate[], requirement: ReadRequirement): ReadRoute => {
  const eligible: EndpointCandidate[] = []
  const rejected: RejectedEndpoint[] = []
  for (const candidate of candidates) {
    const reason = rejectionReason(candidate, requirement)
    if (reason) rejected.push(`${candidate.name}: ${reason}`)
    else eligible.push(candidate)
  }
  return { eligible: eligible.sort(byLoad), rejected }
}

/** Finds the primary according to the group record. */
export const findPrimary = (candidates: readonly EndpointCandidate[]): EndpointCandidate | undefined =>
  candidates.find(candidate => candidate.isRecordPrimary)
