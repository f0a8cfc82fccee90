/**
 * Promotes the chosen member in the new term, and waits until a majority of the group has adopted the term's start.
 * After that, no later promotion can choose a member that lacks this start.
 */
import type { MemberState } from '@egretyoke/fleet'
import { combineSignals } from './combined-signal.js'
import { adoptedTerm } from './most-advanced.js'
import { majorityOf } from './promotion-calls.js'
import type { PromotionMember, PromotionTask } from './promotion-calls.js'

const maxPromoteAttempts = 4
const retryDelayMs = 50

/** Start of a term. `startPosition` is the position of the last entry of earlier terms that stays in the log. */
export type NewTermStart = { term: number, startPosition: number }

/**
 * Result of an installation step. `superseded`: a member refused because it is in, or fenced at, a higher term, so
 * another steward has started a newer term; `unanswered`: no success before the retries or the attempt ended.
 */
export type InstallResult<Value> = { kind: 'done', value: Value } | { kind: 'superseded' } | { kind: 'unanswered' }

/** Promotes the member, with retries. No other member is promoted in this term. */
export const promoteMember = async (
  task: PromotionTask,
  candidate: PromotionMember,
  term: number,
  signal: AbortSignal
): Promise<InstallResult<MemberState>> => {
  for (let attempt = 0; attempt < maxPromoteAttempts && !signal.aborted; attempt++) {
    const reply = await candidate.control.promote(term, task.timeouts.memberTimeoutMs)
    if (reply.ok) return reply.val.accepted ? { kind: 'done', value: reply.val.state } : { kind: 'superseded' }
    await task.calls.sleepMs(retryDelayMs, signal)
  }
  return { kind: 'unanswered' }
}

/** Sends follow requests to a member until it has adopted the term's start. */
const followUntilAdopted = async (
  task: PromotionTask,
  member: PromotionMember,
  candidate: PromotionMember,
  start: NewTermStart,
  signal: AbortSignal
): Promise<InstallResult<undefined>> => {
  const primary = { name: candidate.name, address: candidate.endpoint.address }
  while (!signal.aborted) {
    const reply = await member.control.follow(start.term, primary, task.timeouts.memberTimeoutMs)
    if (reply.ok && !reply.val.accepted) return { kind: 'superseded' }
    if (reply.ok && adoptedTerm(reply.val.state, [start]) === start.term) return { kind: 'done', value: undefined }
    await task.calls.sleepMs(retryDelayMs, signal)
  }
  return { kind: 'unanswered' }
}

/** Resolves once a majority of the group, including the primary, has adopted the term's start, or on abort. */
export const waitForMajorityAdoption = (
  task: PromotionTask,
  candidate: PromotionMember,
  start: NewTermStart,
  signal: AbortSignal
): Promise<InstallResult<undefined>> => new Promise(resolve => {
  const finished = new AbortController()
  const waitSignal = combineSignals(signal, finished.signal)
  let adoptedCount = 0
  const finish = (result: InstallResult<undefined>) => {
    finished.abort()
    resolve(result)
  }
  const countAdoption = () => {
    adoptedCount++
    if (adoptedCount >= majorityOf(task.members.length)) finish({ kind: 'done', value: undefined })
  }
  const follow = async (member: PromotionMember) => {
    const result = await followUntilAdopted(task, member, candidate, start, waitSignal)
    if (result.kind === 'done') countAdoption()
    if (result.kind === 'superseded') finish(result)
  }
  signal.addEventListener('abort', () => finish({ kind: 'unanswered' }), { once: true })
  countAdoption()
  for (const member of task.members) {
    if (member !== candidate) follow(member)
  }
})
