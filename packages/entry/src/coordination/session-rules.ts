/**
 * Session consistency: the freshness that a session's reads require, and the session state after an answer.
 */
import type { LogPosition, SessionState } from '../state/session-positions.js'
import { advanceSession } from '../state/session-positions.js'
import type { AdmittedRequest } from './admission.js'
import { freshnessRequirement } from './answer-check.js'
import type { EntryContext, GroupContext } from './entry-context.js'
import { isInLineage } from './routing.js'
import type { ReadRequirement } from './routing.js'

/**
 * Returns the session state after an answer. A read changes the state only if it was served by the primary and the
 * positions of the session's own writes in the group are unknown.
 */
export const sessionAfterAnswer = (
  session: SessionState,
  isRead: boolean,
  group: string,
  isPrimary: boolean,
  answer: LogPosition
): SessionState => {
  const isKnown = !session.isUnsettled && (session.isComplete || session.positions.has(group))
  if (isRead && (isKnown || !isPrimary)) return session
  return advanceSession(session, group, { term: answer.term, position: answer.position })
}

/** Position of the session's last confirmed write in the group if a failover has lost it, otherwise undefined. */
export const lostPosition = (group: GroupContext, session: SessionState): LogPosition | undefined => {
  const sessionPosition = session.positions.get(group.name)
  const record = group.record()
  if (!sessionPosition || !record || sessionPosition.term >= record.term ||
    isInLineage(record, sessionPosition)) return undefined
  return sessionPosition
}

/** Returns the session state after a lost write was reported: it continues from the start of the newest term. */
export const sessionAfterLoss = (group: GroupContext, session: SessionState): SessionState => {
  const start = group.record()!.lineage.at(-1)!
  const positions = new Map(session.positions).set(group.name, { term: start.term, position: start.startPosition })
  return { ...session, positions }
}

/** Freshness that a request requires of a replica; undefined if only the primary may serve it. */
export const readRequirementOf = (
  context: EntryContext,
  group: GroupContext,
  admitted: AdmittedRequest,
  session: SessionState
): ReadRequirement | undefined => {
  if (admitted.route.access === 'write' || context.readPolicy === 'primaryOnly') return undefined
  const term = group.record()?.term ?? 0
  return freshnessRequirement(admitted.profile, session, group.name, group.endpoints.history, term, context.clock())
}
