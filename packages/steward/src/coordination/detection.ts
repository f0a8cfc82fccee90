/**
 * Failure detection: an unreachable primary counts as failed only if both the steward and several entries observe it.
 */
import type { Clock } from '@egretyoke/common'
import type { GroupRecord, Roster } from '@egretyoke/config'
import type { MemberState } from '@egretyoke/fleet'
import type { EntryPeers, EntryStatus, Sighting } from './entry-peers.js'
import { majorityOf } from './promotion-calls.js'

/** Result of polling the entries about a primary. */
export type EntryPollResult = {
  isGone: boolean
  answered: number
  /** Number of replying entries that monitor the primary, and how many of them report it as unreachable. */
  watching: number
  agreeing: number
  rosterSize: number
}

/** True if the member reports itself as primary in the record's term. */
export const isActivePrimary = (state: MemberState | undefined, record: GroupRecord): boolean =>
  state !== undefined && state.isPrimary && state.term === record.term

/** Creates a timer that measures how long a condition has been true without interruption. */
export const createConditionTimer = (clock: Clock) => {
  let sinceMs: number | undefined
  return {
    /** Updates the condition; returns how long it has been true, in milliseconds, or 0 if it is false. */
    update: (isTrue: boolean): number => {
      if (!isTrue) sinceMs = undefined
      else sinceMs ??= clock()
      return sinceMs === undefined ? 0 : clock() - sinceMs
    }
  }
}

/** Age from which an entry's last reply from the primary counts as a failure report, in milliseconds. */
const staleSightingMs = 2_500

const reportsUnreachable = (sighting: Sighting): boolean => !sighting.reachable || sighting.ageMs >= staleSightingMs

/**
 * Why the steward suspects the primary. `unreachable` may be a fault on the steward's side, so the entries must confirm
 * it; `notLeading` is reported by the member itself and does not change for the rest of the term.
 */
export type SuspicionCause = 'unreachable' | 'notLeading'

/**
 * Polls the entries about the primary. A majority of the roster must reply in any case, because the promotion needs
 * their acknowledgement. For the suspicion `unreachable`, a majority of the replying entries that monitor the primary
 * must also report it as unreachable.
 */
export const pollEntries = async (
  entries: EntryPeers,
  roster: Roster,
  record: GroupRecord,
  suspicion: SuspicionCause
): Promise<EntryPollResult> => {
  const replies = await Promise.all(roster.members.map(entry => entries.observe(entry)))
  const validReplies = replies.filter((reply): reply is EntryStatus => reply !== undefined)
  const sightings = validReplies.flatMap(reply =>
    reply.sightings.filter(sighting => sighting.endpoint === record.primary))
  const agreeing = sightings.filter(reportsUnreachable).length
  const isConfirmed = suspicion === 'notLeading' || agreeing >= majorityOf(sightings.length)
  return {
    isGone: validReplies.length >= majorityOf(roster.members.length) && isConfirmed,
    answered: validReplies.length,
    watching: sightings.length,
    agreeing,
    rosterSize: roster.members.length
  }
}
