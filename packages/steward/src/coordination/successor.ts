/**
 * Selection of successors for a primary that is handed over, and the wait until one has caught up.
 */
import type { MemberState } from '@egretyoke/fleet'
import type { PromotionMember, PromotionTask } from './promotion-calls.js'

/** Maximum replication lag of a successor when a handover starts, in log entries. */
export const maxSuccessorLagEntries = 1_000

/** Timeout of the wait for a successor to receive the primary's last log entries, in milliseconds. */
const catchUpTimeoutMs = 1_000
const pollIntervalMs = 20

/** States of the members by name; members that did not reply are absent. */
export type MemberStates = ReadonlyMap<string, MemberState>

/** Reads the states of all members in parallel. */
export const readMemberStates = async (members: PromotionMember[], timeoutMs: number): Promise<MemberStates> => {
  const states = new Map<string, MemberState>()
  await Promise.all(members.map(async member => {
    const status = await member.control.getStatus(timeoutMs)
    if (status.ok) states.set(member.name, status.val)
  }))
  return states
}

/**
 * Returns the names of members that are not being removed, are in the primary's term, and lag behind its log by at most
 * `maxLagEntries` entries.
 */
export const readySuccessors = (
  members: PromotionMember[],
  states: MemberStates,
  primary: MemberState,
  maxLagEntries: number
): string[] => members
  .filter(member => member.canRemainPrimary && member.name !== primary.name)
  .filter(member => {
    const state = states.get(member.name)
    return state?.term === primary.term && state.receivedPosition >= primary.receivedPosition - maxLagEntries
  })
  .map(member => member.name)

/**
 * Waits until a successor has received the complete log of the outgoing primary. At this point the entries have stopped
 * sending writes to the primary; it is not fenced yet, because a fenced primary does not replicate. Also returns if the
 * primary does not reply, and after a timeout: the promotion then chooses the most advanced member, which may be the
 * outgoing primary itself.
 */
export const waitForSuccessor = async (
  task: PromotionTask,
  outgoingPrimary: string,
  signal: AbortSignal
): Promise<void> => {
  const { members, calls, timeouts } = task
  let lastPosition: number | undefined
  for (let waitedMs = 0; waitedMs < catchUpTimeoutMs && !signal.aborted; waitedMs += pollIntervalMs) {
    const states = await readMemberStates(members, timeouts.memberTimeoutMs)
    const primary = states.get(outgoingPrimary)
    if (!primary) return
    // A write that was in flight when the entries stopped may still arrive: wait until the position stops changing.
    const isUnchanged = primary.receivedPosition === lastPosition
    if (isUnchanged && readySuccessors(members, states, primary, 0).length > 0) return
    lastPosition = primary.receivedPosition
    await calls.sleepMs(pollIntervalMs, signal)
  }
}
