/**
 * Fences the members of a group and reads their log positions.
 */
import type { ControlAnswer } from '@egretyoke/fleet'
import type { FencedMember } from './most-advanced.js'
import { majorityOf } from './promotion-calls.js'
import type { PromotionMember, PromotionTask } from './promotion-calls.js'
import { combineSignals } from './shared-signal.js'

const retryDelayMs = 100
/** How long to wait for the remaining members after a majority has been fenced. */
const stragglerWaitMs = 150

/**
 * Result of fencing. `superseded`: a member is fenced at a higher term, so another steward has started a newer term;
 * `aborted`: the signal aborted before a majority was fenced.
 */
export type FenceResult = { kind: 'fenced', members: FencedMember[] } | { kind: 'superseded' } | { kind: 'aborted' }

/** Fences the members with retries. Resolves when all are fenced, or shortly after a majority is. */
export const fenceMembers = (task: PromotionTask, term: number, signal: AbortSignal): Promise<FenceResult> =>
  new Promise(resolve => {
    const { calls, members, timeouts: times } = task
    const fenced: FencedMember[] = []
    const finished = new AbortController()
    const until = combineSignals(signal, finished.signal)

    const finish = (outcome: FenceResult) => {
      finished.abort()
      resolve(outcome)
    }

    const finishWithMajority = async () => {
      if (await calls.sleepMs(stragglerWaitMs, until)) finish({ kind: 'fenced', members: [...fenced] })
    }

    const take = (member: PromotionMember, answer: ControlAnswer) => {
      if (finished.signal.aborted) return
      if (!answer.accepted) return finish({ kind: 'superseded' })
      fenced.push({ name: member.name, state: answer.state, canRemainPrimary: member.canRemainPrimary })
      if (fenced.length === members.length) return finish({ kind: 'fenced', members: fenced })
      if (fenced.length === majorityOf(members.length)) finishWithMajority()
    }

    const fenceUntilAnswered = async (member: PromotionMember) => {
      while (!until.aborted) {
        const answer = await member.control.fence(term, times.memberTimeoutMs)
        if (answer.ok) return take(member, answer.val)
        await calls.sleepMs(retryDelayMs, until)
      }
    }

    signal.addEventListener('abort', () => finish({ kind: 'aborted' }), { once: true })
    for (const member of members) fenceUntilAnswered(member)
  })
