/**
 * Borrowing directly from several peers in proportion to the recent demand, for limits whose burst is large enough
 * that each busy VM can hold a useful fraction of it.
 */
import { shortTtlMs } from './borrowing.js'
import type { Borrowing, BorrowingContext, LoanRequest, Offer, ShareSituation } from './borrowing.js'

/** Factor by which the requested rate exceeds the recent demand. */
const headroom = 1.1

/** Period of expected demand for which tokens are fetched and retained, in milliseconds. */
const horizonMs = 50

/** Missing fraction of a limit up to which no long-term loan is requested. */
const negligibleFraction = 0.005

/** Number of missing tokens up to which none are requested. */
const negligibleTokens = 1e-6

/** Maximum number of peers that receive a request at the same time. */
const maxAskedAtOnce = 4

/** Needed fraction of the borrowed amount above which renewals request all of it. */
const renewAllAbove = 0.8

const lastingFraction = ({ demandPerSec, ratePerSec }: ShareSituation) =>
  ratePerSec > 0 ? Math.min(1, headroom * demandPerSec / ratePerSec) : 0

const tokensAhead = ({ demandPerSec, waiting }: ShareSituation) => waiting + demandPerSec * horizonMs / 1000

const tokensMissing = (situation: ShareSituation) =>
  situation.waiting > 0 ? Math.ceil(tokensAhead(situation)) - situation.tokens : 0

/** Creates a strategy that borrows from several peers at once; `lendsRate` is false for loans of tokens alone. */
export const createSpreadBorrowing = (context: BorrowingContext, lendsRate: boolean): Borrowing => {
  const { vm, loanTtlMs, nowMs, situation, ledger, peers, ranked, expectedSoon, ask } = context
  const renewBeforeMs = loanTtlMs / 2

  // Tokens and rate are requested from different peers, because only loans of tokens alone come with capacity for them.
  const fetchTokens = () => {
    const missing = tokensMissing(situation()) - expectedSoon().tokens
    if (missing <= negligibleTokens) return
    const asked = peers.choose(Math.min(maxAskedAtOnce, Math.ceil(missing)))
    const wholeEach = Math.floor(missing / asked.length)
    for (const [index, peer] of asked.entries()) {
      const rest = missing - wholeEach * asked.length
      const tokens = wholeEach + Math.max(0, Math.min(1, rest - index))
      ask(peer, { tokens, fraction: 0, ttlMs: shortTtlMs(context) })
    }
  }

  const fetchLastingPart = () => {
    const now = situation()
    const missing = lastingFraction(now) - now.usableFraction - expectedSoon().fraction
    if (!lendsRate || missing <= negligibleFraction) return
    const asked = peers.choose(maxAskedAtOnce)
    for (const peer of asked) {
      const fraction = ledger.borrowedFrom(peer) + missing / asked.length
      ask(peer, { tokens: 0, fraction, ttlMs: loanTtlMs })
    }
  }

  const fetch = () => {
    fetchTokens()
    fetchLastingPart()
  }

  const renew = () => {
    const ownUsable = Math.max(0, ledger.own() - ledger.lent())
    const neededPart = (lastingFraction(situation()) - ownUsable) / ledger.borrowed()
    if (!(neededPart > 0)) return
    const keptPart = neededPart > renewAllAbove ? 1 : neededPart
    for (const { lender, amount, untilMs } of ledger.loansHeld()) {
      if (untilMs - nowMs() > renewBeforeMs || peers.isAsked(lender)) continue
      ask(lender, { tokens: 0, fraction: amount * keptPart, ttlMs: loanTtlMs })
    }
  }

  const maintain = () => {
    if (lendsRate) renew()
    fetch()
  }

  // When borrower and lender both lack a whole token, the one that ranks first gets the tokens of the other.
  const goesFirst = (borrower: string) => ranked().indexOf(borrower) < ranked().indexOf(vm)

  const offer = ({ borrower, isLasting }: LoanRequest): Offer => {
    const now = situation()
    const isTooSmall = now.tokens < 1 && now.usableFraction * now.burst < 1
    const isUseless = isTooSmall && !isLasting && (now.waiting === 0 || goesFirst(borrower))
    return {
      keepTokens: isUseless ? 0 : tokensAhead(now),
      keepFraction: lendsRate ? lastingFraction(now) : Infinity
    }
  }

  return { fetch, maintain, offer, nextFetchMs: peers.nextMs }
}
