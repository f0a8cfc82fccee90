/**
 * Decides whether a log contains every confirmed commit of a group.
 *
 * With `syncReplicas` k, a commit is confirmed once k replicas have received it. Of n replicas, any n - k + 1 include
 * one that has received it, so the most advanced of that many has all confirmed commits. Fewer prove nothing, because
 * the silent ones may be the only ones that have received the newest. The log of the primary itself proves it as well.
 */
import { comparePositions, laterPosition } from '../../state/position.js'

/** What is known of the logs of a group, from the databases that answered. */
export type LogReplies = {
  /** Replicas that may have received a confirmed commit, whether or not they answered. */
  replicaCount: number
  syncReplicas: number
  /** Positions received by the replicas that answered. */
  replicaPositions: readonly string[]
  /** Position of the primary that confirmed the commits; undefined if it did not answer. */
  primaryPosition: string | undefined
}

/** Number of replicas that must answer so that one of them has each confirmed commit. */
export const requiredReplies = ({ replicaCount, syncReplicas }: Pick<LogReplies, 'replicaCount' | 'syncReplicas'>) =>
  Math.max(1, replicaCount - syncReplicas + 1)

/** True if a log at this position contains every confirmed commit. */
export const hasAllCommits = (position: string, replies: LogReplies): boolean => {
  const { syncReplicas, replicaPositions, primaryPosition } = replies
  // Without synchronous replicas, commits are confirmed by the primary alone, and operators accept their loss.
  if (syncReplicas === 0) return true
  if (primaryPosition !== undefined && comparePositions(position, primaryPosition) >= 0) return true
  if (replicaPositions.length < requiredReplies(replies)) return false
  return comparePositions(position, replicaPositions.reduce(laterPosition)) >= 0
}
