/**
 * Divides the lendable fraction of a limit among borrowers in proportion to their latest requests.
 */
import type { Clock } from '@egretyoke/common'

/** Maximum number of borrowers whose demand is stored per limit. */
const maxDemands = 64

/** Allocates the lendable fraction of one limit by the recent demand of its borrowers. */
export type LoanAllocator = {
  /** Records the borrower's demand, and returns the fraction of the limit to be lent to it. */
  allocate: (borrower: string, fractionWanted: number, lendable: number) => number
}

/** Creates an allocator without demand. A borrower's demand counts for the given time, in milliseconds. */
export const createLoanAllocator = (clock: Clock, demandTtlMs: number): LoanAllocator => {
  const demands = new Map<string, { fraction: number, untilMs: number }>()

  const allocate = (borrower: string, fractionWanted: number, lendable: number) => {
    const nowMs = clock()
    for (const [name, { untilMs }] of demands) if (untilMs <= nowMs) demands.delete(name)
    if (demands.has(borrower) || demands.size < maxDemands) {
      demands.set(borrower, { fraction: fractionWanted, untilMs: nowMs + demandTtlMs })
    }
    let totalDemand = 0
    for (const { fraction } of demands.values()) totalDemand += fraction
    if (totalDemand <= lendable) return fractionWanted
    return Math.max(0, lendable) * fractionWanted / Math.max(totalDemand, fractionWanted)
  }

  return { allocate }
}
