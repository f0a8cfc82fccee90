/**
 * Routing: selects the endpoint for a request. Cached positions only guide the selection; every answer is checked.
 */
import type { GroupRecord } from '@egretyoke/config'
import type { LogPlace } from '../state/session-positions.js'

/** State of an endpoint that routing depends on. */
export type EndpointView = {
  name: string
  isRecordPrimary: boolean
  reachable: boolean
  /** True if the endpoint is leaving, or its data centre is out of service. */
  isOut: boolean
  term: number
  appliedPosition: number
  /** True if a connection can be acquired now. */
  hasRoom: () => boolean
  inUse: number
  latencyMs: number
}

/** Freshness that a read requires of the endpoint that serves it. */
export type ReadNeed = {
  /** The session's log position in the group; undefined if it has none. */
  place: LogPlace | undefined
  /** Smallest position that is fresh enough; undefined if any position is. */
  minPosition: number | undefined
}

/** An endpoint that may not serve a read, as `NAME: REASON`. */
export type PassedOver = string

/** Endpoints that may serve a read, best first, and those that may not. */
export type ReadRoute = {
  eligible: EndpointView[]
  passedOver: PassedOver[]
}

/**
 * Last position of a term that is part of the group's log: the start position of the next term in the record's
 * lineage. Undefined if the lineage has no later term.
 */
export const endOfTerm = (record: GroupRecord, term: number): number | undefined =>
  record.lineage.find(start => start.term > term)?.startPosition

/** True if data at one log position includes all data up to another. Positions increase across terms. */
export const holdsPlace = (data: LogPlace, place: LogPlace): boolean =>
  data.position >= place.position && data.term >= place.term

/** True if a log position is part of the log that the group record describes. */
export const isInLineage = (record: GroupRecord, data: LogPlace): boolean => {
  const end = endOfTerm(record, data.term)
  return data.term <= record.term && (end === undefined || data.position <= end)
}

const reasonAgainst = (view: EndpointView, need: ReadNeed): string | undefined => {
  if (view.isRecordPrimary) return 'primary'
  if (view.isOut) return 'out'
  if (!view.reachable) return 'unreachable'
  if (need.place && view.appliedPosition < need.place.position) return 'behindSession'
  if (need.place && view.term < need.place.term) return 'behindTerm'
  if (need.minPosition !== undefined && view.appliedPosition < need.minPosition) return 'tooOld'
  return undefined
}

const byLoad = (left: EndpointView, right: EndpointView): number =>
  left.inUse - right.inUse || left.latencyMs - right.latencyMs

/** Selects the replicas for a read, ordered by connections in use, then by latency. */
export const routeRead = (views: readonly EndpointView[], need: ReadNeed): ReadRoute => {
  const eligible: EndpointView[] = []
  const passedOver: PassedOver[] = []
  for (const view of views) {
    const reason = reasonAgainst(view, need)
    if (reason) passedOver.push(`${view.name}: ${reason}`)
    else eligible.push(view)
  }
  return { eligible: eligible.sort(byLoad), passedOver }
}

/** Finds the primary according to the group record. */
export const findPrimary = (views: readonly EndpointView[]): EndpointView | undefined =>
  views.find(view => view.isRecordPrimary)
