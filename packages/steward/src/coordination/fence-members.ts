/**
 * Fences the members of a group and reads their log positions.
 */
import type { ControlResponse } from '@egretyoke/fleet'
import { combineSignals } from './combined-signal.js'
import type { FencedMember } from './most-advanced.js'
import { majorityOf } from './promotion-calls.js'
import type { PromotionMember, PromotionTask } from './promotion-calls.js'

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
    const { calls, members, timeouts } = task
    const fenced: FencedMember[] = []
    const finished = new AbortController()
    const waitSignal = combineSignals(signal, finished.signal)

    const finish = (result: FenceResult) => {
      finished.abort()
      resolve(result)
    }

    const finishAfterStragglerWait = async () => {
      if (await calls.sleepMs(stragglerWaitMs, waitSignal)) finish({ kind: 'fenced', members: [...fenced] })
    }

    const handleReply = (member: PromotionMember, reply: ControlResponse) => {
      if (finished.signal.aborted) return
      if (!reply.accepted) return finish({ kind: 'superseded' })
      fenced.push({ name: member.name, state: reply.state, canRemainPrimary: member.canRemainPrimary })
      if (fenced.length === members.length) return finish({ kind: 'fenced', members: fenced })
      if (fenced.length === majorityOf(members.length)) finishAfterStragglerWait()
    }

    const fenceWithRetry = async (member: PromotionMember) => {
      while (!waitSignal.aborted) {
        const reply = await member.control.fence(term, timeouts.memberTimeoutMs)
        if (reply.ok) return handleReply(member, reply.val)
        await calls.sleepMs(retryDelayMs, waitSignal)
      }
    }

    signal.addEventListener('abort', () => finish({ kind: 'aborted' }), { once: true })
    for (const member of members) fenceWithRetry(member)
  })
