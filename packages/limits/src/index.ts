/**
 * Limits of the fleet and of one VM: shares of rate and connection limits, fair queue, adaptive concurrency limit.
 */
export * from './events.js'
export type {
  BorrowingContext, BorrowingStrategy, LenderReserve, LoanPolicy, LoanRequest, ShareState
} from './borrowing.js'
export { loans, spreadLoans, staticSlices, tokenLoans } from './loan-policy.js'
export { maxWaitersPerLimit } from './limit-share.js'
export type { AcquireResult, LimitSnapshot, RefusalReason } from './limit-share.js'
export type { BorrowReply, BorrowRequest } from './borrow-messages.js'
export { createShareTable } from './share-table.js'
export type { Roster, ShareTable, ShareTableOptions } from './share-table.js'
export type { RateLimit } from './token-share.js'
export { createFairQueue } from './fair-queue.js'
export type { DropReason, FairQueue, FairQueueOptions, PushOptions, QueueRefusal } from './fair-queue.js'
export { deficitRoundRobin, firstComeFirstServed } from './queue-disciplines.js'
export type { Discipline, IsEligible, Scheduler } from './queue-disciplines.js'
export { createAdaptiveLimit } from './adaptive-limit.js'
export type { AdaptiveLimit, AdaptiveLimitOptions, FlightOutcome } from './adaptive-limit.js'
export { rankByRendezvous } from './rendezvous.js'
export type { RendezvousWeights } from './rendezvous.js'
export { createRetryBudget } from './retry-budget.js'
export type { RetryBudget, RetryBudgetOptions } from './retry-budget.js'
export { createPermitTable } from './permit-table.js'
export type { PermitTable, PermitTableOptions } from './permit-table.js'
export type { Permit, PermitLimit, PermitSnapshot } from './permit-share.js'
