/**
 * State of a session: for each group, the term and log position that its reads must include.
 */
import { maxTokenGroups } from '@egretyoke/protocol'

/** A position in a group's log, with the term in which it was written. */
export type LogPosition = { term: number, position: number }

/** Log positions of a session, by group. */
export type SessionPositions = ReadonlyMap<string, LogPosition>

/**
 * Maximum number of groups in a session's state. When it is exceeded, the oldest group is dropped, and the session
 * reads that group at its primary.
 */
export const maxSessionGroups = maxTokenGroups

/** State of a session, as decoded from a request's token. */
export type SessionState = {
  positions: SessionPositions
  /** True if `positions` contains every group in which the session has written. */
  isComplete: boolean
  /** True if the outcome of the session's last write is unknown, so that its reads must go to primaries. */
  isUnsettled: boolean
}

/** A session whose state is unknown: its first read in each group goes to the primary. */
export const unknownSession: SessionState = { positions: new Map(), isComplete: false, isUnsettled: false }

/** A session that has not run any request yet. */
export const newSession: SessionState = { positions: new Map(), isComplete: true, isUnsettled: false }

/** True if a log position is equal to or after another one. */
export const isAtOrAfter = (logPosition: LogPosition, other: LogPosition): boolean =>
  logPosition.term > other.term || (logPosition.term === other.term && logPosition.position >= other.position)

/**
 * Returns the session after it has observed a log position: after a write, or after a read that had to go to the
 * primary.
 */
export const advanceSession = (session: SessionState, group: string, logPosition: LogPosition): SessionState => {
  if (!session.isUnsettled) {
    const positions = withLogPosition(session.positions, group, logPosition)
    const hasDroppedGroup = [...session.positions.keys()].some(known => !positions.has(known))
    return { ...session, positions, isComplete: session.isComplete && !hasDroppedGroup }
  }
  return { positions: withLogPosition(new Map(), group, logPosition), isComplete: false, isUnsettled: false }
}

/** Returns the positions with a group's position advanced. A position never moves backwards. */
export const withLogPosition = (
  positions: SessionPositions,
  group: string,
  logPosition: LogPosition
): SessionPositions => {
  const current = positions.get(group)
  if (current && isAtOrAfter(current, logPosition)) return positions
  const advanced = new Map(positions)
  advanced.delete(group)
  advanced.set(group, logPosition)
  if (advanced.size > maxSessionGroups) advanced.delete(advanced.keys().next().value!)
  return advanced
}
