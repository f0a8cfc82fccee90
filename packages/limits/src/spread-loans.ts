/**
 * Borrowing directly from several peers in proportion to the recent demand, for limits whose burst is large enough
 * that each busy VM can hold a useful fraction of it.
 */
import { tokenLoanTtlMs } from './borrowing.js'
import type { BorrowingContext, BorrowingStrategy, LenderReserve, LoanRequest, ShareState } from './borrowing.js'

/** Factor by which the requested rate exceeds the recent demand. */
const headroomFactor = 1.1

/** Period of expected demand for which tokens are fetched and retained, in milliseconds. */
const horizonMs = 50

/** Missing fraction of a limit up to which no long-term loan is requested. */
const negligibleFraction = 0.005

/** Number of missing tokens up to which none are requested. */
const negligibleTokens = 1e-6

/** Maximum number of peers that receive a request at the same time. */
const maxPeerRequests = 4

/** If more than this fraction of the borrowed amount is still needed, renewals request the whole amount. */
const renewAllThreshold = 0.8

const targetFraction = ({ demandPerSec, ratePerSec }: ShareState) =>
  ratePerSec > 0 ? Math.min(1, headroomFactor * demandPerSec / ratePerSec) : 0

const tokensAhead = ({ demandPerSec, waiting }: ShareState) => waiting + demandPerSec * horizonMs / 1000

const tokensMissing = (state: ShareState) =>
  state.waiting > 0 ? Math.ceil(tokensAhead(state)) - state.tokens : 0

/** Creates a strategy that borrows from several peers at once; `lendsRate` is false for loans of tokens alone. */
export const createSpreadBorrowing = (context: BorrowingContext, lendsRate: boolean): BorrowingStrategy => {
  const { vm, loanTtlMs, nowMs, shareState, ledger, peers, rankedMembers, expectedGrants, requestLoan } = context
  const renewBeforeMs = loanTtlMs / 2

  // Tokens and rate are requested from different peers, because only loans of tokens alone come with capacity for them.
  const fetchTokens = () => {
    const missing = tokensMissing(shareState()) - expectedGrants().tokens
    if (missing <= negligibleTokens) return
    const selected = peers.select(Math.min(maxPeerRequests, Math.ceil(missing)))
    const wholeEach = Math.floor(missing / selected.length)
    for (const [index, peer] of selected.entries()) {
      const remainder = missing - wholeEach * selected.length
      const tokens = wholeEach + Math.max(0, Math.min(1, remainder - index))
      requestLoan(peer, { tokens, fraction: 0, ttlMs: tokenLoanTtlMs(context) })
    }
  }

  const fetchRate = () => {
    const state = shareState()
    const missing = targetFraction(state) - state.usableFraction - expectedGrants().fraction
    if (!lendsRate || missing <= negligibleFraction) return
    const selected = peers.select(maxPeerRequests)
    for (const peer of selected) {
      const fraction = ledger.borrowedFrom(peer) + missing / selected.length
      requestLoan(peer, { tokens: 0, fraction, ttlMs: loanTtlMs })
    }
  }

  const fetch = () => {
    fetchTokens()
    fetchRate()
  }

  const renew = () => {
    const ownUsable = Math.max(0, ledger.own() - ledger.lent())
    const neededFraction = (targetFraction(shareState()) - ownUsable) / ledger.borrowed()
    if (!(neededFraction > 0)) return
    const renewedFraction = neededFraction > renewAllThreshold ? 1 : neededFraction
    for (const { lender, amount, untilMs } of ledger.heldLoans()) {
      if (untilMs - nowMs() > renewBeforeMs || peers.isPending(lender)) continue
      requestLoan(lender, { tokens: 0, fraction: amount * renewedFraction, ttlMs: loanTtlMs })
    }
  }

  const maintain = () => {
    if (lendsRate) renew()
    fetch()
  }

  // When borrower and lender both lack a whole token, the one that ranks first gets the tokens of the other.
  const ranksBeforeSelf = (borrower: string) => rankedMembers().indexOf(borrower) < rankedMembers().indexOf(vm)

  const reserveFor = ({ borrower, isLongTerm }: LoanRequest): LenderReserve => {
    const state = shareState()
    const isTooSmall = state.tokens < 1 && state.usableFraction * state.burst < 1
    const isUnusable = isTooSmall && !isLongTerm && (state.waiting === 0 || ranksBeforeSelf(borrower))
    return {
      keepTokens: isUnusable ? 0 : tokensAhead(state),
      keepFraction: lendsRate ? targetFraction(state) : Infinity
    }
  }

  return { fetch, maintain, reserveFor, nextFetchMs: peers.nextAvailableMs }
}
