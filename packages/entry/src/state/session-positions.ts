/**
 * State of a session: for each group, the term and log position that its reads must include.
 */
import { maxTokenGroups } from '@egretyoke/protocol'

/** A position in a group's log, with the term in which it was written. */
export type LogPlace = { term: number, position: number }

/** Log positions of a session, by group. */
export type SessionPositions = ReadonlyMap<string, LogPlace>

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
export const isAtOrPast = (place: LogPlace, other: LogPlace): boolean =>
  place.term > other.term || (place.term === other.term && place.position >= other.position)

/**
 * Returns the session after it has observed a log position: after a write, or after a read that had to go to the
 * primary.
 */
export const sessionAfter = (session: SessionState, group: string, place: LogPlace): SessionState => {
  if (!session.isUnsettled) {
    const positions = withPlace(session.positions, group, place)
    const hasDropped = [...session.positions.keys()].some(known => !positions.has(known))
    return { ...session, positions, isComplete: session.isComplete && !hasDropped }
  }
  return { positions: withPlace(new Map(), group, place), isComplete: false, isUnsettled: false }
}

/** Returns the positions with a group's position advanced. A position never moves backwards. */
export const withPlace = (positions: SessionPositions, group: string, place: LogPlace): SessionPositions => {
  const known = positions.get(group)
  if (known && isAtOrPast(known, place)) return positions
  const moved = new Map(positions)
  moved.delete(group)
  moved.set(group, place)
  if (moved.size > maxSessionGroups) moved.delete(moved.keys().next().value!)
  return moved
}
