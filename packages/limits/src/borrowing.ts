/**
 * Input of a loan policy for one limit on one VM, and its decisions.
 */
import type { PeerSelector } from './peer-selector.js'
import type { TokenShare } from './token-share.js'

/** Maximum duration of a loan of tokens for waiting requests, in milliseconds; longer loans count as long-term. */
export const shortLoanTtlMs = 50

/** Minimum duration of a loan of tokens, in milliseconds and in round trips to a peer. */
const minShortLoanTtlMs = 10
const minShortLoanRoundTrips = 4

/** State of a VM's share of one limit. */
export type ShareState = {
  ratePerSec: number
  burst: number
  demandPerSec: number
  waiting: number
  tokens: number
  /** Fraction of the limit that is usable now. */
  usableFraction: number
}

/** Amounts and duration of a loan that is requested from one peer. */
export type LoanDemand = {
  /** Number of tokens; a lender that has fewer reduces the amount by whole tokens. */
  tokens: number
  /** Total fraction of the limit to be borrowed from the peer; 0 to request only tokens and capacity for them. */
  fraction: number
  ttlMs: number
}

/** Access of a loan policy to one limit on one VM. */
export type BorrowingContext = {
  vm: string
  loanTtlMs: number
  nowMs: () => number
  shareState: () => ShareState
  ledger: TokenShare['ledger']
  peers: PeerSelector
  /** All members in the limit's rendezvous order, which is the same on every VM. */
  rankedMembers: () => string[]
  /** Amounts that recent loan requests in flight are expected to yield. */
  expectedGrants: () => { tokens: number, fraction: number }
  /** Average round trip to a peer, in milliseconds. */
  roundTripMs: () => number
  requestLoan: (peer: string, demand: LoanDemand) => void
}

/**
 * Duration of a loan of tokens for waiting requests, in milliseconds. It is short, because the lender cannot use the
 * lent capacity meanwhile.
 */
export const tokenLoanTtlMs = ({ roundTripMs }: BorrowingContext): number =>
  Math.min(shortLoanTtlMs, Math.max(minShortLoanTtlMs, minShortLoanRoundTrips * roundTripMs()))

/** Amounts that a lender retains for itself when it grants a loan. */
export type LenderReserve = {
  keepTokens: number
  keepFraction: number
}

/** A peer's loan request, as far as a policy needs it. */
export type LoanRequest = { borrower: string, isLongTerm: boolean }

/** Decides when one VM borrows under one limit, and what it lends. */
export type BorrowingStrategy = {
  /** Requests loans for waiting requests. */
  fetch: () => void
  /** Renews loans that are still needed; called several times within the duration of a loan. */
  maintain: () => void
  reserveFor: (request: LoanRequest) => LenderReserve
  /** Earliest time, on the clock of `nowMs`, at which `fetch` may obtain tokens again. */
  nextFetchMs: () => number
}

/** Creates the borrowing strategy of a limit on a VM. A bad policy refuses too much but cannot exceed the limit. */
export type LoanPolicy = (context: BorrowingContext) => BorrowingStrategy
