/**
 * Repairs members that are in another term or follow another primary than the group's record says.
 */
import type { GroupRecord } from '@egretyoke/config'
import type { MemberState } from '@egretyoke/fleet'
import type { PromotionMember } from './promotion-calls.js'
import type { MemberStates } from './successor.js'

const followsRecord = (state: MemberState, record: GroupRecord): boolean =>
  state.term === record.term && state.primaryName === record.primary

/** Sends a follow request to every reachable member that does not follow the record's primary in the record's term. */
export const repairMembers = async (
  members: PromotionMember[],
  states: MemberStates,
  record: GroupRecord,
  timeoutMs: number,
  onRepaired: (name: string) => void
): Promise<void> => {
  const primary = members.find(member => member.name === record.primary)
  if (!primary) return
  const upstream = { name: primary.name, address: primary.endpoint.address }
  await Promise.all(members.map(async member => {
    const state = states.get(member.name)
    if (member === primary || !state || followsRecord(state, record)) return
    const reply = await member.control.follow(record.term, upstream, timeoutMs)
    if (reply.ok && reply.val.accepted) onRepaired(member.name)
  }))
}
