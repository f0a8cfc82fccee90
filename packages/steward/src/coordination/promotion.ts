/**
 * One attempt to promote a new primary of a group. The README of this package lists the steps and explains why no
 * confirmed write is lost and why no write of a replaced primary is confirmed.
 *
 * Each attempt owns a new term, which it obtains by storing the term's fencing record with compare-and-swap.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import type { Result, TypedError } from '@egretyoke/common'
import { maxLineageLength } from '@egretyoke/config'
import type { GroupRecord, Roster } from '@egretyoke/config'
import { combineSignals } from './combined-signal.js'
import { fenceMembers } from './fence-members.js'
import { promoteMember, waitForMajorityAdoption } from './install-primary.js'
import { byMostAdvanced } from './most-advanced.js'
import type { PromotionStep, PromotionTask, StoredGroup } from './promotion-calls.js'
import { stopConfirmingOnAllEntries } from './stop-confirming.js'
import { waitForSuccessor } from './successor.js'

const platformRetryDelayMs = 100

/** Result of a completed promotion. `revision`: store revision of the active record. */
export type Promotion = { term: number, primary: string, startPosition: number, revision: number }

/**
 * Why an attempt failed. `unsettled`: the platform did not reply to the fencing swap, so its result is unknown;
 * `superseded`: another steward has changed the record or fenced a member at a higher term; `unfinished`: too few
 * entries or members replied in time.
 */
export type PromotionFailure = TypedError<'unsettled' | 'superseded' | 'unfinished'>

const failure = (reason: PromotionFailure['reason'], message: string) => Err(typedError(reason, message))

type FencingRecord = { record: GroupRecord, revision: number }
type InstalledPrimary = { primary: string, startPosition: number }

/**
 * Stores the fencing record of the next term. If the swap gets no reply, this steward does not own the term, and the
 * caller must start a new attempt.
 */
const startTerm = async (
  task: PromotionTask,
  stored: StoredGroup
): Promise<Result<FencingRecord, PromotionFailure>> => {
  if (!stored.value) return failure('superseded', 'the group has no stored record')
  const record: GroupRecord = { ...stored.value, term: stored.value.term + 1, primary: '', phase: 'fencing' }
  const swap = await task.calls.swapGroup(stored.revision, record)
  if (!swap.ok) return failure('unsettled', swap.val.message)
  if (!swap.val.swapped) return failure('superseded', 'another steward changed the group record')
  return Ok({ record, revision: swap.val.current.revision })
}

const readRosterWithRetry = async (task: PromotionTask, signal: AbortSignal): Promise<Roster | undefined> => {
  while (!signal.aborted) {
    const roster = await task.calls.readRoster()
    if (roster.ok) return roster.val
    await task.calls.sleepMs(platformRetryDelayMs, signal)
  }
  return undefined
}

const stopEntries = async (task: PromotionTask, fencing: FencingRecord, signal: AbortSignal): Promise<boolean> => {
  // Read after the fencing swap, because an entry that joins later reads the fencing record with the roster.
  const roster = await readRosterWithRetry(task, signal)
  if (!roster) return false
  const request = { group: task.group, term: fencing.record.term, revision: fencing.revision }
  return stopConfirmingOnAllEntries(task, roster, request, signal)
}

const installFailure = (kind: 'superseded' | 'unanswered', message: string) =>
  failure(kind === 'superseded' ? 'superseded' : 'unfinished', message)

const installCandidate = async (
  task: PromotionTask,
  record: GroupRecord,
  reportStep: (name: PromotionStep) => Promise<void>,
  signal: AbortSignal
): Promise<Result<InstalledPrimary, PromotionFailure>> => {
  const { term } = record
  const fenceResult = await fenceMembers(task, term, signal)
  if (fenceResult.kind === 'superseded') return failure('superseded', 'a member is fenced at a higher term')
  if (fenceResult.kind === 'aborted') return failure('unfinished', 'too few members were fenced in time')
  await reportStep('fenced')
  const [mostAdvanced, ...others] = fenceResult.members.sort(byMostAdvanced(record.lineage))
  const candidate = task.members.find(member => member.name === mostAdvanced.name)!
  task.onCandidateChosen?.({
    candidate: mostAdvanced.name,
    passedOver: others.map(other => `${other.name}@${other.state.lastEntryTerm}/${other.state.receivedPosition}`)
  })
  const promoted = await promoteMember(task, candidate, term, signal)
  if (promoted.kind !== 'done') return installFailure(promoted.kind, `${mostAdvanced.name} was not promoted`)
  await reportStep('promoted')
  const { lineage, receivedPosition } = promoted.value
  const termStart = { term, startPosition: startPositionOf(lineage, term) ?? receivedPosition }
  const adopted = await waitForMajorityAdoption(task, candidate, termStart, signal)
  if (adopted.kind !== 'done') return installFailure(adopted.kind, 'too few members adopted the new term')
  await reportStep('adopted')
  return Ok({ primary: mostAdvanced.name, startPosition: termStart.startPosition })
}

const startPositionOf = (lineage: GroupRecord['lineage'], term: number): number | undefined =>
  lineage.find(start => start.term === term)?.startPosition

/**
 * Stores the active record. Retries while the platform does not reply, because the conditions for activation cannot
 * become false again.
 */
const activate = async (
  task: PromotionTask,
  fencing: FencingRecord,
  installed: InstalledPrimary
): Promise<Result<Promotion, PromotionFailure>> => {
  const { term, lineage } = fencing.record
  const { primary, startPosition } = installed
  const record: GroupRecord = {
    term, primary, phase: 'active', lineage: [...lineage, { term, startPosition }].slice(-maxLineageLength)
  }
  const swap = await task.calls.swapGroup(fencing.revision, record)
  let stored = swap.ok ? swap.val.current : undefined
  while (!stored && !task.signal.aborted) {
    await task.calls.sleepMs(platformRetryDelayMs, task.signal)
    const read = await task.calls.readGroup()
    if (!read.ok) continue
    if (read.val.revision === fencing.revision) return activate(task, fencing, installed)
    stored = read.val
  }
  // Only the owner of a term stores its active record, so this steward has stored any active record of this term.
  if (stored?.value?.term !== term || stored.value.phase !== 'active') {
    return failure('superseded', 'another steward changed the group record before the term became active')
  }
  return Ok({ term, primary, startPosition, revision: stored.revision })
}

/** Runs one promotion attempt, starting from the last known group record (in phase active or fencing). */
export const promote = async (
  task: PromotionTask,
  stored: StoredGroup
): Promise<Result<Promotion, PromotionFailure>> => {
  const fencing = await startTerm(task, stored)
  if (!fencing.ok) return fencing
  const { record } = fencing.val
  const reportStep = async (name: PromotionStep) => task.afterStep?.(name, record.term)
  await reportStep('fencing')
  const attemptAbort = new AbortController()
  const signal = combineSignals(task.signal, attemptAbort.signal)
  task.calls.sleepMs(task.timeouts.attemptTimeoutMs, signal).then(hasExpired => hasExpired && attemptAbort.abort())

  const stopAllEntries = async () => {
    const isStopped = await stopEntries(task, fencing.val, signal)
    if (isStopped) await reportStep('stopped')
    else attemptAbort.abort()
    return isStopped
  }
  const installPrimary = async () => {
    const installed = await installCandidate(task, record, reportStep, signal)
    if (!installed.ok) attemptAbort.abort()
    return installed
  }
  const entriesStopped = stopAllEntries()
  if (task.outgoingPrimary !== undefined) {
    await entriesStopped
    await waitForSuccessor(task, task.outgoingPrimary, signal)
  }
  const [isStopped, installed] = await Promise.all([entriesStopped, installPrimary()])
  attemptAbort.abort()
  if (!installed.ok) return installed
  if (!isStopped) return failure('unfinished', 'the entries were not stopped before the attempt ended')
  const promotion = await activate(task, fencing.val, installed.val)
  if (promotion.ok) await reportStep('active')
  return promotion
}
