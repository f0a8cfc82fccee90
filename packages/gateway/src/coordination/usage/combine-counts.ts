/**
 * Combines what the gateways counted into the report of one window. A holder's own count wins; what a holder that gave
 * none has run is taken from the gateways that sent it the statements, so that no operation is counted twice.
 */
import { addCount } from './usage-counter.js'
import type { WindowCounts, WorkspaceCounts } from './usage-counter.js'

/** Counts of a window, by workspace in order of the names. */
export type CombinedCounts = {
  counts: Array<[workspace: string, count: number]>
  total: number
  /** Operations whose counts were taken from senders. */
  fromSenders: number
}

/** Combines the replies of the processes, by NAME/INCARNATION; undefined for a process that counts nothing. */
export const combineCounts = (replies: ReadonlyMap<string, WindowCounts | undefined>): CombinedCounts => {
  const combined: WorkspaceCounts = new Map()
  let total = 0
  let fromSenders = 0
  const addAll = (counts: WorkspaceCounts): number => {
    let added = 0
    for (const [workspace, count] of counts) {
      if (count <= 0) continue
      addCount(combined, workspace, count)
      added += count
    }
    total += added
    return added
  }
  for (const reply of replies.values()) {
    if (reply === undefined) continue
    addAll(reply.held)
    for (const [holder, counts] of reply.sent) {
      if (replies.get(holder) === undefined) fromSenders += addAll(counts)
    }
  }
  const counts = [...combined].sort(([one], [other]) => one < other ? -1 : 1)
  return { counts, total, fromSenders }
}
