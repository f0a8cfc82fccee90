/**
 * Decides which gateway continues a primary change that another one has started.
 *
 * Load pattern: the gateway that changes a primary ends or loses the store midway, while all statements of the group
 * that need a primary wait. Its membership ends within seconds, and a change that takes longer than a normal one is
 * continued by the next gateway in rank, although the first one is still a member. The group record's revision is the
 * fencing token, so a gateway that was only slow cannot complete a change that another one has taken over.
 */
import { processName } from '../../state/stored-records.js'
import type { GroupRecord, Member } from '../../state/stored-records.js'

/**
 * A primary change that another gateway started but did not finish is taken over after this time. A change that has to
 * wait for the contact of a silent user to expire takes less; to take it over would only start the wait again.
 */
export const takeOverAfterMs = 4500

/** State of an unfinished change as a gateway knows it. */
export type UnfinishedChange = {
  record: Pick<GroupRecord, 'keeper'>
  /** Time since this gateway learned of the record. */
  knownForMs: number
  /** All members, in rank order for the group. */
  ranked: readonly Member[]
}

/** True if the gateway should continue the change; `self` is its NAME/INCARNATION. */
export const shouldContinueChange = (self: string, { record, knownForMs, ranked }: UnfinishedChange): boolean => {
  if (record.keeper === self) return true
  const isOverdue = knownForMs > takeOverAfterMs
  const isKeeperMember = ranked.some(member => processName(member) === record.keeper)
  if (isKeeperMember && !isOverdue) return false
  const successor = ranked.find(member => !member.draining && processName(member) !== record.keeper)
  return successor !== undefined && processName(successor) === self
}
