/**
 * Checks an endpoint's answer against the current group record, before anything of it is sent to the caller.
 */
import type { GroupRecord, Profile } from '@egretyoke/config'
import type { PrimaryHistory } from '../state/primary-history.js'
import type { LogPosition, SessionState } from '../state/session-positions.js'
import { includesPosition, isInLineage } from './routing.js'
import type { ReadRequirement } from './routing.js'

/** Dependencies of the answer checks of one group. */
export type AnswerCheckerOptions = {
  record: () => GroupRecord | undefined
  /** Waits a short time for contact. Resolves to false if the VM is still not in contact. */
  waitForContact: () => Promise<boolean>
  /** Lowest term whose writes may be confirmed, as set by stewards that replace a primary. */
  minConfirmableTerm: () => number
}

/** Result of a check. */
export type CheckResult = 'good' | 'tooOld' | 'primaryReplaced' | 'outOfContact'

/** Checks the answers of one group's endpoints. */
export type AnswerChecker = {
  /** Checks that a write or read was answered by the current primary. */
  checkPrimary: (answer: LogPosition) => Promise<CheckResult>
  /** Checks that a replica's answer is based on the group's log and is fresh enough. */
  checkReplica: (answer: LogPosition, requirement: ReadRequirement) => Promise<CheckResult>
}

/** Creates the answer checks of one group. */
export const createAnswerChecker = (options: AnswerCheckerOptions): AnswerChecker => {
  const checkPrimary: AnswerChecker['checkPrimary'] = async answer => {
    if (!await options.waitForContact()) return 'outOfContact'
    const record = options.record()
    if (!record || record.phase !== 'active' || record.term !== answer.term) return 'primaryReplaced'
    if (answer.term < options.minConfirmableTerm()) return 'primaryReplaced'
    return 'good'
  }

  const checkReplica: AnswerChecker['checkReplica'] = async (answer, requirement) => {
    if (!await options.waitForContact()) return 'outOfContact'
    const record = options.record()
    if (!record || !isInLineage(record, answer)) return 'tooOld'
    if (requirement.sessionPosition && !includesPosition(answer, requirement.sessionPosition)) return 'tooOld'
    if (requirement.minPosition !== undefined && answer.position < requirement.minPosition) return 'tooOld'
    return 'good'
  }

  return { checkPrimary, checkReplica }
}

/** Freshness that a read with this profile requires of a replica; undefined if only the primary may serve it. */
export const freshnessRequirement = (
  profile: Profile,
  session: SessionState,
  group: string,
  history: PrimaryHistory,
  term: number,
  nowMs: number
): ReadRequirement | undefined => {
  const { freshness } = profile
  if (freshness.kind === 'primary') return undefined
  if (session.isUnsettled) return undefined
  const sessionPosition = session.positions.get(group)
  // The session may have written in this group at an unknown position.
  if (!sessionPosition && !session.isComplete) return undefined
  if (freshness.kind === 'session') return { sessionPosition, minPosition: undefined }
  const minPosition = history.positionAtAge(term, freshness.maxAgeMs, nowMs)
  return minPosition === undefined ? undefined : { sessionPosition, minPosition }
}
