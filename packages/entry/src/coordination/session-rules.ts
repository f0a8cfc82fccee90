/**
 * Session consistency: the freshness that a session's reads require, and the session state after an answer.
 */
import type { LogPlace, SessionState } from '../state/session-positions.js'
import { sessionAfter } from '../state/session-positions.js'
import type { Admitted } from './admission.js'
import { readNeedOf } from './answer-check.js'
import type { EntryContext, GroupContext } from './entry-context.js'
import { isInLineage } from './routing.js'
import type { ReadNeed } from './routing.js'

/**
 * Returns the session state after an answer. A read changes the state only if it was served by the primary and the
 * positions of the session's own writes in the group are unknown.
 */
export const sessionAfterAnswer = (
  session: SessionState,
  isRead: boolean,
  group: string,
  isPrimary: boolean,
  answer: LogPlace
): SessionState => {
  const isKnown = !session.isUnsettled && (session.isComplete || session.positions.has(group))
  if (isRead && (isKnown || !isPrimary)) return session
  return sessionAfter(session, group, { term: answer.term, position: answer.position })
}

/** Position of the session's last confirmed write in the group if a failover has lost it, otherwise undefined. */
export const lostPlace = (group: GroupContext, session: SessionState): LogPlace | undefined => {
  const place = session.positions.get(group.name)
  const record = group.record()
  if (!place || !record || place.term >= record.term || isInLineage(record, place)) return undefined
  return place
}

/** Returns the session state after a lost write was reported: it continues from the start of the newest term. */
export const sessionAfterLoss = (group: GroupContext, session: SessionState): SessionState => {
  const start = group.record()!.lineage.at(-1)!
  const kept = new Map(session.positions).set(group.name, { term: start.term, position: start.startPosition })
  return { ...session, positions: kept }
}

/** Freshness that a request requires of a replica; undefined if only the primary may serve it. */
export const readNeed = (
  context: EntryContext,
  group: GroupContext,
  admitted: Admitted,
  session: SessionState
): ReadNeed | undefined => {
  if (admitted.route.access === 'write' || context.readPolicy === 'primaryOnly') return undefined
  const term = group.record()?.term ?? 0
  return readNeedOf(admitted.profile, session, group.name, group.endpoints.history, term, context.clock())
}
