/**
 * Loan requests and replies between VMs; the transport maps them to its own messages.
 */

/** Request for a loan from a peer's share; mirrors egretyoke.peer.v1.BorrowRequest. */
export type BorrowRequest = {
  borrower: string
  incarnation: number
  limit: string
  /** Number of tokens to transfer. */
  tokensWanted: number
  /**
   * Total rate to be borrowed from this lender; the same fraction of the burst is borrowed with it. With 0, only tokens
   * and burst capacity to hold them are requested.
   */
  rateWantedPerSec: number
  loanTtlMs: number
  limitVersion: number
}

/** Reply to a BorrowRequest; mirrors egretyoke.peer.v1.BorrowReply. */
export type BorrowReply = {
  /** Number of tokens transferred. With rate 0, burst capacity for as many is lent with them. */
  tokens: number
  /** Total rate that is lent to this borrower; the same fraction of the burst is lent with it. */
  ratePerSec: number
  loanTtlMs: number
  /** Set when nothing was lent: `unknownLimit`, `otherVersion`, `oldIncarnation`, `nothingToSpare`, `badRequest`. */
  reason: string
}

/** Creates a reply that lends nothing. */
export const noLoan = (reason: string): BorrowReply => ({ tokens: 0, ratePerSec: 0, loanTtlMs: 0, reason })

const isAmount = (value: number) => Number.isFinite(value) && value >= 0

/** Whether all amounts of a request are finite and not negative, and the loan duration is above 0. */
export const isValidRequest = ({ tokensWanted, rateWantedPerSec, loanTtlMs }: BorrowRequest): boolean =>
  isAmount(tokensWanted) && isAmount(rateWantedPerSec) && isAmount(loanTtlMs) && loanTtlMs > 0

/** Whether all amounts of a reply are finite and not negative. */
export const isValidReply = ({ tokens, ratePerSec, loanTtlMs }: BorrowReply): boolean =>
  isAmount(tokens) && isAmount(ratePerSec) && isAmount(loanTtlMs)
