/**
 * Divides the lendable fraction of a limit among borrowers in proportion to their latest requests.
 */
import type { Clock } from '@egretyoke/common'

/** Maximum number of borrowers whose demand is stored per limit. */
const maxWants = 64

/** Allocates the lendable fraction of one limit by the recent demand of its borrowers. */
export type LendingBook = {
  /** Records the borrower's demand, and returns the fraction of the limit to be lent to it. */
  allot: (borrower: string, fractionWanted: number, lendable: number) => number
}

/** Creates an allocator without demand. A borrower's demand counts for the given time, in milliseconds. */
export const createLendingBook = (clock: Clock, wantTtlMs: number): LendingBook => {
  const wants = new Map<string, { fraction: number, untilMs: number }>()

  const allot = (borrower: string, fractionWanted: number, lendable: number) => {
    const nowMs = clock()
    for (const [name, { untilMs }] of wants) if (untilMs <= nowMs) wants.delete(name)
    if (wants.has(borrower) || wants.size < maxWants) {
      wants.set(borrower, { fraction: fractionWanted, untilMs: nowMs + wantTtlMs })
    }
    let wanted = 0
    for (const { fraction } of wants.values()) wanted += fraction
    if (wanted <= lendable) return fractionWanted
    return Math.max(0, lendable) * fractionWanted / Math.max(wanted, fractionWanted)
  }

  return { allot }
}
