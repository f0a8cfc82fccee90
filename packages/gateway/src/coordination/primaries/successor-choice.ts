/**
 * Chooses the database that takes over from a primary: it must have every confirmed commit. While too few databases
 * answer to prove it, none is chosen.
 */
import type { Logger } from '@egretyoke/common'
import { events } from '../../events.js'
import type { FleetState } from '../../state/fleet-state.js'
import { comparePositions, laterPosition } from '../../state/position.js'
import type { GroupRecord } from '../../state/stored-records.js'
import type { ControlCommands } from '../connections/control-commands.js'
import { hasAllCommits, requiredReplies } from './commit-proof.js'
import { copiesWithoutEntry, logRepliesOf, mergeCopies } from './log-copies.js'
import type { CopyStatus } from './log-copies.js'
import type { Candidate } from './primary-evidence.js'

const copyTimeoutMs = 350

/** The choice among the databases of one group. */
export type SuccessorChoice = {
  /** The most advanced of the eligible databases. */
  best: (candidates: readonly Candidate[]) => Candidate | undefined
  /** The most advanced of the eligible databases, if the replies prove that it has every confirmed commit. */
  proved: (candidates: readonly Candidate[]) => Promise<Candidate | undefined>
  /**
   * True if the replies prove that the database has every commit that any primary may have confirmed, also one of a
   * later term that no record names.
   */
  hasEveryCommit: (chosen: Candidate, candidates: readonly Candidate[]) => boolean
  /** A process that replaced the old primary at its address, with its log and term, under a new id. */
  atPrimaryAddress: (candidates: readonly Candidate[]) => Candidate | undefined
}

/** Dependencies of the choice. */
export type SuccessorChoiceOptions = {
  group: string
  /** Record of the primary that is replaced. */
  record: GroupRecord
  fleetState: FleetState
  control: Pick<ControlCommands, 'run'>
  log: Logger
}

/** Creates the choice of a successor to the primary that a record names. */
export const createSuccessorChoice = (
  { group, record, fleetState, control, log }: SuccessorChoiceOptions
): SuccessorChoice => {
  const syncReplicas = () => fleetState.configuration()?.groups.get(group)?.syncReplicas ?? 0

  const isEligible = ({ database }: Candidate) => database.id !== record.primary && !database.draining &&
    !fleetState.evacuated().has(database.dataCentre)

  const received = ({ status }: Candidate) => status.receivedPosition

  const best = (candidates: readonly Candidate[]) => candidates
    .filter(isEligible)
    .sort((one, other) => comparePositions(received(other), received(one)))[0]

  /** Status of the recorded databases that answer although they have no entry; none of them may become the primary. */
  const pollWithoutEntry = async (): Promise<CopyStatus[]> => {
    const copies = copiesWithoutEntry(record.copies, fleetState.databasesOf(group))
    const statuses = await Promise.all(copies.map(async copy => {
      const status = await control.run({ ...copy, group }, { kind: 'status' }, copyTimeoutMs)
      return status.ok ? [{ copy, status: status.val }] : []
    }))
    return statuses.flat()
  }

  const proved = async (candidates: readonly Candidate[]) => {
    const chosen = best(candidates)
    if (chosen === undefined || syncReplicas() === 0) return chosen
    const statuses = [
      ...candidates.map(({ database, status }) => ({ copy: database, status })), ...await pollWithoutEntry()
    ]
    const replies = logRepliesOf(record, fleetState.databasesOf(group), statuses, syncReplicas())
    if (hasAllCommits(received(chosen), replies)) return chosen
    log(events.successorUnproved, {
      group,
      database: chosen.database.id,
      received: received(chosen),
      answered: replies.replicaPositions.length,
      required: requiredReplies(replies),
      replicas: replies.replicaCount
    })
    return undefined
  }

  const hasEveryCommit = (chosen: Candidate, candidates: readonly Candidate[]) => {
    if (syncReplicas() === 0) return true
    const databaseCount = mergeCopies(record.copies, fleetState.databasesOf(group)).length
    const newest = candidates.map(received).reduce(laterPosition)
    // Beside an unknown primary that is silent, so many of its replicas include one with each confirmed commit.
    return candidates.length >= databaseCount - syncReplicas() && comparePositions(received(chosen), newest) >= 0
  }

  return {
    best,
    proved,
    hasEveryCommit,
    atPrimaryAddress: candidates => candidates.find(candidate =>
      isEligible(candidate) && candidate.status.role === 'primary' && candidate.status.term === record.term)
  }
}
