/**
 * Replaces a group's primary.
 *
 * First, a compare-and-swap sets the group record's phase to `changing`; the record's revision is the fencing token of
 * all subsequent steps. Then every gateway that may use the old primary must stop: it confirms that it has, its process
 * has ended, or the time has passed after which it stops by itself. Only then is another database promoted, so that no
 * later write at the old primary can be confirmed, and no read at it can miss a commit that the new primary confirmed.
 * The other database must have every confirmed commit; while too few databases answer to prove it, none is promoted.
 */
import { sleepMs } from '@egretyoke/common'
import type { Logger, Result, TypedError } from '@egretyoke/common'
import { events } from '../../events.js'
import type { Database } from '../../state/configuration.js'
import type { Contact } from '../../state/contact.js'
import type { FleetState, Versioned } from '../../state/fleet-state.js'
import { comparePositions } from '../../state/position.js'
import { splitProcessName } from '../../state/stored-records.js'
import type { GroupRecord, Member } from '../../state/stored-records.js'
import type { DatabaseStatus } from '../connections/database-connection.js'
import type { ControlCommands } from '../connections/control-commands.js'
import { activeUsers, maxPrimaryContactAgeMs } from './group-records.js'
import type { GroupRecords } from './group-records.js'
import { hasAllCommits, requiredReplies } from './commit-proof.js'
import { copiesWithoutEntry, logRepliesOf, mergeCopies } from './log-copies.js'
import type { CopyStatus } from './log-copies.js'
import type { RelayCalls } from '../routing/relay-calls.js'

/** Requests the promotion of a database from the platform. `declined`: the database is not running. */
export type PromoteDatabase = (
  group: string, database: string, fence: number, timeoutMs: number
) => Promise<Result<void, TypedError<'declined' | 'refused' | 'noAnswer'>>>

/** Dependencies of a primary change. */
export type PrimaryChangeOptions = {
  /** NAME/INCARNATION of this process. */
  self: string
  fleetState: FleetState
  records: GroupRecords
  contact: Contact
  isLeaseHeld: (forMs?: number) => boolean
  control: ControlCommands
  relay: RelayCalls
  promote: PromoteDatabase
  log: Logger
}

/** Why a primary is replaced. */
export type ChangeReason = 'failed' | 'draining' | 'evacuated' | 'gone' | 'unfinished'

const controlTimeoutMs = 350
const failedPrimaryTimeoutMs = 120
const promoteTimeoutMs = 900
/** During a planned handover, running work at the old primary may finish within this time. */
const drainTimeoutMs = 900
/** Time for a successor to receive the log up to the old primary's last position. */
const catchUpTimeoutMs = 600
/** Time for a database to report the primary role after its promotion was requested. */
const becomePrimaryTimeoutMs = 3000
const pollMs = 50
const attemptIntervalMs = 150
/** A change that has not completed within this time is abandoned; the next check of the group starts again. */
const changeTimeoutMs = 8000
/** No promotion is requested if the last contact with the store is older. */
const promoteContactMs = 1500

type Candidate = { database: Database, status: DatabaseStatus }

/** Replaces the primary of the group; true if the change ended with an active primary. */
export const changePrimary = async (
  options: PrimaryChangeOptions, group: string, current: Versioned<GroupRecord>, reason: ChangeReason
): Promise<boolean> => {
  const { self, fleetState, records, contact, control, relay, promote, log } = options
  const oldRecord = current.record
  const isPlanned = reason === 'draining' || reason === 'evacuated'
  const changeDeadlineMs = performance.now() + changeTimeoutMs
  // A requested promotion may take effect late; the old primary must then not be reactivated without a new promotion.
  let hasRequestedPromotion = false

  const memberOf = (user: string): Member | undefined => fleetState.members().get(splitProcessName(user).name)

  const stopUser = async (user: string, revision: number, finish: boolean): Promise<boolean> => {
    const member = memberOf(user)
    if (member === undefined) return false
    const reply = await relay.call(member, {
      stopPrimary: { group, revision, finish }
    }, controlTimeoutMs + (finish ? drainTimeoutMs : 0))
    return reply.ok && reply.val.primaryStopped?.stopped === true
  }

  const drainUsers = async () => {
    await Promise.all(activeUsers(oldRecord.users, fleetState).map(user => stopUser(user, 0, true)))
  }

  /** Resolves once no gateway uses the old primary: each user has stopped, ended, or lost its contact by time-out. */
  const stopUsers = async (revision: number) => {
    const startedAtMs = performance.now()
    const remaining = new Set(activeUsers(oldRecord.users, fleetState))
    while (remaining.size > 0 && performance.now() - startedAtMs < maxPrimaryContactAgeMs) {
      await Promise.all([...remaining].map(async user => {
        if (await stopUser(user, revision, false)) remaining.delete(user)
      }))
      const active = activeUsers([...remaining], fleetState)
      for (const user of remaining) if (!active.includes(user)) remaining.delete(user)
      if (remaining.size > 0) await sleepMs(pollMs)
    }
    log(events.primaryUsersStopped, {
      group,
      revision,
      users: oldRecord.users,
      unanswered: [...remaining],
      tookMs: Math.round(performance.now() - startedAtMs)
    })
  }

  const statusOf = async (database: Database, timeoutMs = controlTimeoutMs): Promise<Candidate | undefined> => {
    const status = await control.run(database, { kind: 'status' }, timeoutMs)
    return status.ok ? { database, status: status.val } : undefined
  }

  /** Status of all databases that answer. A primary that failed is waited for only briefly, in case it is back. */
  const pollDatabases = async (): Promise<Candidate[]> => {
    const candidates = await Promise.all(fleetState.databasesOf(group).map(async database => {
      const isFailedPrimary = reason === 'failed' && database.id === oldRecord.primary
      return await statusOf(database, isFailedPrimary ? failedPrimaryTimeoutMs : controlTimeoutMs)
    }))
    return candidates.flatMap(candidate => candidate ?? [])
  }

  /** Status of the recorded databases that answer although they have no entry; none of them may become the primary. */
  const pollWithoutEntry = async (): Promise<CopyStatus[]> => {
    const copies = copiesWithoutEntry(oldRecord.copies, fleetState.databasesOf(group))
    const statuses = await Promise.all(copies.map(async copy => {
      const status = await control.run({ ...copy, group }, { kind: 'status' }, controlTimeoutMs)
      return status.ok ? [{ copy, status: status.val }] : []
    }))
    return statuses.flat()
  }

  const syncReplicas = () => fleetState.configuration()?.groups.get(group)?.syncReplicas ?? 0

  const isEligible = ({ database }: Candidate) => database.id !== oldRecord.primary && !database.draining &&
    !fleetState.evacuated().has(database.dataCentre)

  const received = ({ status }: Candidate) => status.receivedPosition

  const bestOf = (candidates: readonly Candidate[]): Candidate | undefined => candidates
    .filter(isEligible)
    .sort((one, other) => comparePositions(received(other), received(one)))[0]

  /** The most advanced of the eligible databases, if the answers prove that it has every confirmed commit. */
  const successorOf = async (candidates: readonly Candidate[]): Promise<Candidate | undefined> => {
    const best = bestOf(candidates)
    if (best === undefined || syncReplicas() === 0) return best
    const statuses = [
      ...candidates.map(({ database, status }) => ({ copy: database, status })), ...await pollWithoutEntry()
    ]
    const replies = logRepliesOf(oldRecord, fleetState.databasesOf(group), statuses, syncReplicas())
    if (hasAllCommits(received(best), replies)) return best
    log(events.successorUnproved, {
      group,
      database: best.database.id,
      received: received(best),
      answered: replies.replicaPositions.length,
      required: requiredReplies(replies),
      replicas: replies.replicaCount
    })
    return undefined
  }

  /** A database that is already the primary of a later term, from an earlier change that was not completed. */
  const primaryOfLaterTerm = (candidates: readonly Candidate[]) =>
    candidates.find(({ status }) => status.role === 'primary' && status.term > oldRecord.term)

  /** A process that replaced the old primary at its address, with its log and term, under a new id. */
  const replacementAtAddress = (candidates: readonly Candidate[]) => candidates.find(candidate =>
    isEligible(candidate) && candidate.status.role === 'primary' && candidate.status.term === oldRecord.term)

  const waitForCatchUp = async (position: string) => {
    const deadlineMs = performance.now() + catchUpTimeoutMs
    while (performance.now() < deadlineMs) {
      const best = bestOf(await pollDatabases())
      if (best !== undefined && comparePositions(received(best), position) >= 0) return
      await sleepMs(pollMs)
    }
  }

  /** Waits until the database is the primary, in a new term unless it already was the primary when it was chosen. */
  const waitUntilPrimary = async ({ database, status }: Candidate): Promise<Candidate | undefined> => {
    const firstTerm = status.role === 'primary' ? oldRecord.term : oldRecord.term + 1
    const deadlineMs = performance.now() + becomePrimaryTimeoutMs
    while (performance.now() < deadlineMs) {
      const candidate = await statusOf(database)
      if (candidate?.status.role === 'primary' && candidate.status.term >= firstTerm) return candidate
      await sleepMs(pollMs)
    }
    return undefined
  }

  /** True if no other gateway can take the change over before a call for a promotion has ended. */
  const ownsChange = (revision: number) => fleetState.group(group)?.revision === revision &&
    contact.ageMs() < promoteContactMs && options.isLeaseHeld(promoteTimeoutMs)

  const activatePrimary = async (primary: string, term: number, revision: number): Promise<boolean> => {
    const copies = syncReplicas() === 0 ? [] : mergeCopies(oldRecord.copies, fleetState.databasesOf(group))
    const record: GroupRecord = { primary, term, phase: 'serving', users: [], keeper: self, copies }
    const stored = await records.store(group, record, revision)
    if (stored === undefined) return false
    log(events.primaryInForce, { group, primary, term, before: oldRecord.primary, reason })
    const former = fleetState.databases().get(oldRecord.primary)
    if (former !== undefined && primary !== oldRecord.primary) {
      control.run(
        former, { kind: 'demote', term }, controlTimeoutMs
      )
    }
    return true
  }

  const attempt = async (revision: number): Promise<boolean> => {
    const candidates = await pollDatabases()
    const leader = primaryOfLaterTerm(candidates)
    if (leader !== undefined) return await activatePrimary(leader.database.id, leader.status.term, revision)
    const former = candidates.find(({ database }) => database.id === oldRecord.primary)
    const isFormerHealthy = former?.status.role === 'primary' && former.status.term >= oldRecord.term
    if (isFormerHealthy && reason === 'failed' && !hasRequestedPromotion) {
      return await activatePrimary(oldRecord.primary, former.status.term, revision)
    }
    const chosen = replacementAtAddress(candidates) ?? await successorOf(candidates) ??
      (isFormerHealthy ? former : undefined)
    if (chosen === undefined || !ownsChange(revision)) return false
    hasRequestedPromotion = true
    const promotion = await promote(group, chosen.database.id, revision, promoteTimeoutMs)
    log(events.promotionAsked, {
      group,
      database: chosen.database.id,
      fence: revision,
      received: received(chosen),
      outcome: promotion.ok ? 'accepted' : promotion.val.reason
    })
    if (promotion.err && promotion.val.reason !== 'noAnswer') return false
    const newPrimary = await waitUntilPrimary(chosen)
    return newPrimary !== undefined && await activatePrimary(newPrimary.database.id, newPrimary.status.term, revision)
  }

  if (isPlanned && await successorOf(await pollDatabases()) === undefined) {
    log(events.noSuccessor, { group, primary: oldRecord.primary, reason })
    return false
  }
  if (isPlanned) await drainUsers()
  const changing = await records.store(group, { ...oldRecord, phase: 'changing', keeper: self }, current.revision)
  if (changing === undefined) return false
  log(events.primaryChangeBegun, {
    group, primary: oldRecord.primary, term: oldRecord.term, reason, fence: changing.revision
  })
  await stopUsers(changing.revision)
  if (isPlanned) {
    const former = fleetState.databases().get(oldRecord.primary)
    const lastStatus = former === undefined ? undefined : await statusOf(former)
    if (lastStatus !== undefined) await waitForCatchUp(lastStatus.status.appliedPosition)
  }
  while (performance.now() < changeDeadlineMs && fleetState.group(group)?.revision === changing.revision) {
    if (await attempt(changing.revision)) return true
    await sleepMs(attemptIntervalMs)
  }
  log(events.primaryChangeLeft, { group, reason, fence: changing.revision })
  return false
}
