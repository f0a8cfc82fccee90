/**
 * Checks an endpoint's answer against the current group record, before anything of it is sent to the caller.
 */
import type { GroupRecord, Profile } from '@egretyoke/config'
import type { PrimaryHistory } from '../state/primary-history.js'
import type { LogPlace, SessionState } from '../state/session-positions.js'
import { holdsPlace, isInLineage } from './routing.js'
import type { ReadNeed } from './routing.js'

/** Dependencies of the answer checks of one group. */
export type AnswerCheckOptions = {
  record: () => GroupRecord | undefined
  /** Waits a short time for contact. Resolves to false if the VM is still not in contact. */
  waitForContact: () => Promise<boolean>
  /** Lowest term whose writes may be confirmed, as set by stewards that replace a primary. */
  stoppedBelow: () => number
}

/** Result of a check. */
export type CheckResult = 'good' | 'tooOld' | 'primaryReplaced' | 'outOfContact'

/** Checks the answers of one group's endpoints. */
export type AnswerCheck = {
  /** Checks that a write or read was answered by the current primary. */
  ofPrimary: (answer: LogPlace) => Promise<CheckResult>
  /** Checks that a replica's answer is based on the group's log and is fresh enough. */
  ofReplica: (answer: LogPlace, need: ReadNeed) => Promise<CheckResult>
}

/** Creates the answer checks of one group. */
export const createAnswerCheck = (options: AnswerCheckOptions): AnswerCheck => {
  const ofPrimary: AnswerCheck['ofPrimary'] = async answer => {
    if (!await options.waitForContact()) return 'outOfContact'
    const record = options.record()
    if (!record || record.phase !== 'active' || record.term !== answer.term) return 'primaryReplaced'
    if (answer.term < options.stoppedBelow()) return 'primaryReplaced'
    return 'good'
  }

  const ofReplica: AnswerCheck['ofReplica'] = async (answer, need) => {
    if (!await options.waitForContact()) return 'outOfContact'
    const record = options.record()
    if (!record || !isInLineage(record, answer)) return 'tooOld'
    if (need.place && !holdsPlace(answer, need.place)) return 'tooOld'
    if (need.minPosition !== undefined && answer.position < need.minPosition) return 'tooOld'
    return 'good'
  }

  return { ofPrimary, ofReplica }
}

/** Freshness that a read with this profile requires of a replica; undefined if only the primary may serve it. */
export const readNeedOf = (
  profile: Profile,
  session: SessionState,
  group: string,
  history: PrimaryHistory,
  term: number,
  nowMs: number
): ReadNeed | undefined => {
  const { freshness } = profile
  if (freshness.kind === 'primary') return undefined
  if (session.isUnsettled) return undefined
  const place = session.positions.get(group)
  // The session may have written in this group at an unknown position.
  if (!place && !session.isComplete) return undefined
  if (freshness.kind === 'session') return { place, minPosition: undefined }
  const minPosition = history.positionAtAge(term, freshness.maxAgeMs, nowMs)
  return minPosition === undefined ? undefined : { place, minPosition }
}
