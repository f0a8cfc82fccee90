/**
 * Loan policies, passed as functions so that experiments can compare them on the same mechanism.
 */
import type { BorrowingContext, LoanPolicy } from './borrowing.js'
import { createPooledBorrowing } from './pooled-loans.js'
import { createSpreadBorrowing } from './spread-loans.js'

/** Burst per VM, in tokens, below which a limit uses a pool. */
const pooledBelowTokens = 4

/** Equal static slices: nothing is ever lent. */
export const staticSlices: LoanPolicy = () => ({
  fetch: () => {},
  maintain: () => {},
  reserveFor: () => ({ keepTokens: Infinity, keepFraction: Infinity }),
  nextFetchMs: () => Infinity
})

/** Only tokens are lent, with capacity to hold them; the rate stays divided equally. */
export const tokenLoans: LoanPolicy = context => createSpreadBorrowing(context, false)

/** Tokens, rate and burst capacity are lent directly between peers, whatever the burst. */
export const spreadLoans: LoanPolicy = context => createSpreadBorrowing(context, true)

const isPooled = ({ shareState, rankedMembers }: BorrowingContext) =>
  shareState().burst < pooledBelowTokens * rankedMembers().length

/** Tokens, rate and burst capacity are lent: through a pool when the burst is small, otherwise directly. */
export const loans: LoanPolicy = context => {
  const spread = createSpreadBorrowing(context, true)
  const pooled = createPooledBorrowing(context)
  const current = () => isPooled(context) ? pooled : spread
  return {
    fetch: () => current().fetch(),
    maintain: () => current().maintain(),
    reserveFor: request => current().reserveFor(request),
    nextFetchMs: () => current().nextFetchMs()
  }
}
