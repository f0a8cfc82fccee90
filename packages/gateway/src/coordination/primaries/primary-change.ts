/**
 * Replaces a group's primary.
 *
 * First, a compare-and-swap sets the group record's phase to `changing`; the record's revision is the fencing token of
 * all subsequent steps. Then every gateway that may use the old primary must stop: it confirms that it has, its process
 * has ended, or the time has passed after which it stops by itself. Only then is another database promoted, so that no
 * later write at the old primary can be confirmed, and no read at it can miss a commit that the new primary confirmed.
 * The other database must have every confirmed commit; while too few databases answer to prove it, none is promoted.
 *
 * Another gateway may have requested promotions that this one does not know of: of a change that it has not finished,
 * or whose record was lost. A primary of a later term that this gateway has not promoted itself is therefore promoted
 * once more before it is recorded: that changes nothing at the newest primary, and gives any other one a newer term.
 */
import { sleepMs } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import { events } from '../../events.js'
import type { Contact } from '../../state/contact.js'
import type { FleetState, Versioned } from '../../state/fleet-state.js'
import { comparePositions } from '../../state/position.js'
import type { GroupRecord } from '../../state/stored-records.js'
import { epochOf } from '../../state/store-revision.js'
import type { ControlCommands } from '../connections/control-commands.js'
import { isConfirmed } from './group-records.js'
import type { GroupRecords } from './group-records.js'
import { mergeCopies } from './log-copies.js'
import { newestPrimary, newestTermOf } from './primary-evidence.js'
import type { Candidate } from './primary-evidence.js'
import { createPrimaryUsers } from './primary-users.js'
import { promoteAndWait, promoteTimeoutMs, promotionEffectMs } from './promotion.js'
import type { PromoteDatabase } from './promotion.js'
import { pollDatabases, statusOf } from './status-poll.js'
import { createSuccessorChoice } from './successor-choice.js'
import type { RelayCalls } from '../routing/relay-calls.js'

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

/**
 * Why a primary is replaced. `superseded`: a database's reply shows a later term, or that the primary is a replica.
 * `unfinished`: a change of the primary was begun and not completed. `unconfirmed`: the store was restored from a copy,
 * and the record may be older than the last change of the primary; it may also be right.
 */
export type ChangeReason = 'failed' | 'draining' | 'evacuated' | 'gone' | 'superseded' | 'unfinished' | 'unconfirmed'

const controlTimeoutMs = 350
const failedPrimaryTimeoutMs = 120
/** Time for a successor to receive the log up to the old primary's last position. */
const catchUpTimeoutMs = 600
const pollMs = 50
const attemptIntervalMs = 150
/** A change that has not completed within this time is abandoned; the next check of the group starts again. */
const changeTimeoutMs = 8000
/** No promotion is requested if the last contact with the store is older. */
const promoteContactMs = 1500

/** Reasons for which other gateways may have requested promotions that are not recorded. */
const reasonsWithUnknownPromotions: ReadonlySet<ChangeReason> =
  new Set(['superseded', 'unfinished', 'unconfirmed'])

/** Replaces the primary of the group; true if the change ended with an active primary. */
export const changePrimary = async (
  options: PrimaryChangeOptions, group: string, current: Versioned<GroupRecord>, reason: ChangeReason
): Promise<boolean> => {
  const { self, fleetState, records, contact, control, relay, log } = options
  const oldRecord = current.record
  const isPlanned = reason === 'draining' || reason === 'evacuated'
  const mayHaveUnknownPromotions = reasonsWithUnknownPromotions.has(reason)
  const firstTerm = reason === 'unconfirmed' ? oldRecord.term : oldRecord.term + 1
  const changeDeadlineMs = performance.now() + changeTimeoutMs
  const users = createPrimaryUsers({ group, users: oldRecord.users, fleetState, relay, log })
  const successors = createSuccessorChoice({ group, record: oldRecord, fleetState, control, log })
  /** The database whose promotion this change has requested last; the promotion may take effect late. */
  let requested: string | undefined

  const syncReplicas = () => fleetState.configuration()?.groups.get(group)?.syncReplicas ?? 0

  /** Status of all databases that answer. A primary that failed is waited for only briefly, in case it is back. */
  const poll = async (): Promise<Candidate[]> => await pollDatabases(control, fleetState.databasesOf(group), ({ id }) =>
    reason === 'failed' && id === oldRecord.primary ? failedPrimaryTimeoutMs : controlTimeoutMs)

  const waitForCatchUp = async (position: string) => {
    const deadlineMs = performance.now() + catchUpTimeoutMs
    while (performance.now() < deadlineMs) {
      const best = successors.best(await poll())
      if (best !== undefined && comparePositions(best.status.receivedPosition, position) >= 0) return
      await sleepMs(pollMs)
    }
  }

  /** True if no other gateway can take the change over before a call for a promotion has ended. */
  const ownsChange = (revision: number) => fleetState.group(group)?.revision === revision &&
    contact.ageMs() < promoteContactMs && options.isLeaseHeld(promoteTimeoutMs)

  const activatePrimary = async ({ database, status }: Candidate, revision: number): Promise<boolean> => {
    const { term } = status
    const primary = database.id
    const copies = syncReplicas() === 0 ? [] : mergeCopies(oldRecord.copies, fleetState.databasesOf(group))
    const epoch = epochOf(revision)
    const record: GroupRecord = { primary, term, phase: 'serving', users: [], keeper: self, copies, epoch }
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

  /** The database to be promoted, in the order of preference; one that may lack confirmed commits is left out. */
  const choose = async (candidates: readonly Candidate[], newestTerm: number): Promise<Candidate | undefined> => {
    const hasEveryCommit = (candidate: Candidate) =>
      isConfirmed(current, fleetState) || successors.hasEveryCommit(candidate, candidates)
    const leading = newestPrimary(candidates, Math.max(firstTerm, newestTerm))
    const replacement = newestTerm === oldRecord.term ? successors.atPrimaryAddress(candidates) : undefined
    const successor = leading === undefined && replacement === undefined
      ? await successors.proved(candidates)
      : undefined
    return [leading, replacement, successor, healthyFormer(candidates, newestTerm)]
      .find(candidate => candidate !== undefined && hasEveryCommit(candidate))
  }

  const healthyFormer = (candidates: readonly Candidate[], newestTerm: number): Candidate | undefined =>
    candidates.find(({ database, status }) =>
      database.id === oldRecord.primary && status.role === 'primary' && status.term === newestTerm)

  const promote = async (chosen: Candidate, newestTerm: number, haveAllAnswered: boolean, fence: number) => {
    const isOnlyPromotion = !mayHaveUnknownPromotions && requested === undefined
    const { isRequested, primary } = await promoteAndWait(options, {
      group,
      chosen,
      newestTerm,
      fence,
      unchangedAfterMs: isAnswered => {
        if (isOnlyPromotion) return 0
        // Without an answer, a silent database may be the primary of a newer term.
        return isAnswered || haveAllAnswered ? promotionEffectMs : Infinity
      }
    })
    if (isRequested) requested = chosen.database.id
    return primary
  }

  const attempt = async (revision: number): Promise<boolean> => {
    const candidates = await poll()
    const newestTerm = newestTermOf(candidates, oldRecord.term)
    const leading = newestPrimary(candidates, Math.max(firstTerm, newestTerm))
    if (leading !== undefined && leading.database.id === requested) return await activatePrimary(leading, revision)
    const former = healthyFormer(candidates, newestTerm)
    if (former !== undefined && reason === 'failed' && requested === undefined) {
      return await activatePrimary(former, revision)
    }
    const chosen = await choose(candidates, newestTerm)
    if (chosen === undefined || !ownsChange(revision)) return false
    const haveAllAnswered = candidates.length === fleetState.databasesOf(group).length
    const primary = await promote(chosen, newestTerm, haveAllAnswered, revision)
    return primary !== undefined && await activatePrimary(primary, revision)
  }

  if (isPlanned && await successors.proved(await poll()) === undefined) {
    log(events.noSuccessor, { group, primary: oldRecord.primary, reason })
    return false
  }
  if (isPlanned) await users.drain()
  const changing = await records.store(group, { ...oldRecord, phase: 'changing', keeper: self }, current.revision)
  if (changing === undefined) return false
  const begunAtMs = performance.now()
  log(events.primaryChangeBegun, {
    group, primary: oldRecord.primary, term: oldRecord.term, reason, fence: changing.revision
  })
  await users.stop(changing.revision)
  // A promotion that another gateway has requested must not take effect after the choice.
  if (reason === 'unfinished' || reason === 'unconfirmed') {
    await sleepMs(Math.max(0, begunAtMs + promotionEffectMs - performance.now()))
  }
  if (isPlanned) {
    const former = fleetState.databases().get(oldRecord.primary)
    const last = former === undefined ? undefined : await statusOf(control, former, controlTimeoutMs)
    if (last !== undefined) await waitForCatchUp(last.status.appliedPosition)
  }
  while (performance.now() < changeDeadlineMs && fleetState.group(group)?.revision === changing.revision) {
    if (await attempt(changing.revision)) return true
    await sleepMs(attemptIntervalMs)
  }
  log(events.primaryChangeLeft, { group, reason, fence: changing.revision })
  return false
}
