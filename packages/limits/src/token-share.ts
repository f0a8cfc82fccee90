/**
 * One VM's share of one rate limit: a token bucket whose rate and capacity are a fraction of the whole limit's.
 *
 * Why the fleet keeps the bound (admitted <= burst + rate * T over any interval T):
 * 1. The usable fractions of all VMs add up to at most 1 (see share-ledger.ts), so capacities add up to at most the
 *    burst, and refill rates to at most the rate.
 * 2. A bucket never holds more than its capacity. Tokens move between VMs with or without a loan of rate. A borrower
 *    reserves capacity for the requested tokens before it sends the request, so tokens in transit are covered by
 *    capacity that nothing else fills: by that reservation, or by the lent capacity that exceeds what the borrower
 *    held from the lender when it sent the request. At most one request to a peer is in flight, and its reply is used
 *    once; a reply that is lost or late only loses tokens.
 * 3. So at the start of any interval at most `burst` tokens exist, and during it at most `rate * T` are added; each
 *    admitted request consumes one whole token.
 *
 * A clock may run fast by up to `maxClockRateError`; refilling is slowed down by the same factor.
 */
import { createShareLedger } from './share-ledger.js'
import type { ShareLedger, ShareLedgerOptions } from './share-ledger.js'

/** Maximum relative error of a VM's clock rate for which refilling compensates. */
export const maxClockRateError = 0.0002

/** Rounding error by which a bucket may fall short of a whole token; the balance then goes slightly below zero. */
const tokenRounding = 1e-9

/** Definition of a rate limit; all VMs that apply the same version have the same rate and burst. */
export type RateLimit = {
  name: string
  ratePerSec: number
  burst: number
  version: number
}

/** A loan request that is in flight. */
export type PendingRequest = {
  peer: string
  sentAtMs: number
  sentAtWallMs: number
  loanTtlMs: number
  /** Definition of the limit when the request was sent. */
  limit: RateLimit
  reservedTokens: number
  /** Fractions borrowed from the peer when the request was sent: of rate and burst, and of burst capacity alone. */
  heldFraction: number
  heldCapacity: number
}

/** Tokens and the fraction of a limit that a lender transfers to a borrower. */
export type Loan = {
  /** Tokens, which are not returned. With fraction 0, burst capacity for as many is lent with them, but no rate. */
  tokens: number
  /** Total fraction of rate and burst that is lent to this borrower, including earlier loans. */
  fraction: number
  loanTtlMs: number
}

/** Amounts that a borrower requests, and amounts that the lender retains for itself. */
export type LoanTerms = {
  /** Name and incarnation of the borrower. */
  borrower: string
  tokensWanted: number
  fractionWanted: number
  loanTtlMs: number
  keepTokens: number
  keepFraction: number
}

/** One VM's share of one rate limit. */
export type TokenShare = {
  /** Ledger of the fraction of rate and burst. */
  ledger: ShareLedger
  limit: () => RateLimit
  setLimit: (limit: RateLimit) => void
  /** Sets the own fraction with immediate effect; the bucket gains no tokens by it. */
  setOwnFraction: (fraction: number) => void
  tokens: () => number
  /** Current capacity of the bucket, in tokens. */
  capacity: () => number
  /** Current refill rate, in tokens per second. */
  ratePerSec: () => number
  /** Consumes one token; false when none is available. */
  tryAcquire: () => boolean
  /** Registers a loan request and reserves capacity for its tokens. Cancels an earlier request to the same peer. */
  beginRequest: (peer: string, tokensWanted: number, loanTtlMs: number) => PendingRequest
  /** Applies the reply to a registered request; false when it was cancelled or already answered. */
  accept: (request: PendingRequest, loan: Loan) => boolean
  /** Cancels a request; a later reply to it is ignored. */
  cancel: (request: PendingRequest) => void
  /** Fraction of the limit that is lent, with rate or as burst capacity alone. */
  lentFraction: () => number
  lend: (terms: LoanTerms) => Loan
  /** Ends all borrowed loans and cancels all requests in flight. */
  expireLoans: () => void
}

/** Options of a token share. */
export type TokenShareOptions = ShareLedgerOptions & {
  /** True only in a fleet that has never run before: the bucket is full when the first own fraction is set. */
  startsFull: boolean
  /** Relative clock error for which refilling compensates; only tests override it. */
  clockRateError?: number
}

/** Minimum duration of a loan that is shortened because the lender's own borrowing expires soon, in milliseconds. */
const minTtlMs = 10

/** Refill time for which a loan request leaves capacity unreserved, in milliseconds. */
const refillAheadMs = 20

const emptyLoan: Loan = { tokens: 0, fraction: 0, loanTtlMs: 0 }

/** Creates a share with an own fraction of 0 and an empty bucket. */
export const createTokenShare = (initialLimit: RateLimit, options: TokenShareOptions): TokenShare => {
  const { clock, wallClock, loanTtlMs, clockRateError = maxClockRateError } = options
  const ledger = createShareLedger(options)
  // Burst capacity lent or borrowed without rate, as fractions of the burst.
  const capacityLedger = createShareLedger(options)
  const pendingRequests = new Set<PendingRequest>()
  let limit = initialLimit
  let tokens = 0
  let lastRefillMs = clock()
  let { startsFull } = options

  const capacity = () => Math.max(0, ledger.usable() + capacityLedger.borrowed() - capacityLedger.lent()) * limit.burst
  const ratePerSec = () => ledger.usable() * limit.ratePerSec * (1 - clockRateError)

  const reservedTokens = () => {
    let reserved = 0
    for (const request of pendingRequests) reserved += request.reservedTokens
    return reserved
  }

  // When capacity shrinks, reservations are reduced before tokens already in the bucket.
  const clampToCapacity = () => {
    tokens = Math.min(tokens, capacity())
    let unreservedCapacity = capacity() - Math.max(0, tokens)
    for (const request of pendingRequests) {
      request.reservedTokens = Math.min(request.reservedTokens, unreservedCapacity)
      unreservedCapacity -= request.reservedTokens
    }
  }

  const refillTo = (nowMs: number) => {
    if (nowMs <= lastRefillMs) return
    const freeCapacity = capacity() - reservedTokens() - tokens
    tokens += Math.max(0, Math.min(freeCapacity, ratePerSec() * (nowMs - lastRefillMs) / 1000))
    lastRefillMs = nowMs
  }

  const nextChangeMs = () => Math.min(ledger.nextChangeMs(), capacityLedger.nextChangeMs())

  const advance = () => {
    const nowMs = clock()
    const hasExpired = ledger.expireByWallClock()
    if (capacityLedger.expireByWallClock() || hasExpired) clampToCapacity()
    for (let changeMs = nextChangeMs(); changeMs <= nowMs; changeMs = nextChangeMs()) {
      refillTo(changeMs)
      ledger.advanceTo(changeMs)
      capacityLedger.advanceTo(changeMs)
      clampToCapacity()
    }
    refillTo(nowMs)
  }

  const setOwnFraction = (fraction: number) => {
    advance()
    ledger.setOwn(fraction)
    clampToCapacity()
    if (!startsFull || fraction === 0) return
    tokens = capacity()
    startsFull = false
  }

  const setLimit = (next: RateLimit) => {
    advance()
    limit = next
    clampToCapacity()
  }

  const tryAcquire = () => {
    advance()
    if (tokens < 1 - tokenRounding) return false
    tokens -= 1
    return true
  }

  // Drops unused borrowed capacity before requesting more tokens, because those come with capacity of their own.
  const dropUnusedCapacity = (peer: string) => {
    const borrowedCapacity = capacityLedger.borrowedFrom(peer) * limit.burst
    if (borrowedCapacity === 0 || tokens > capacity() - borrowedCapacity) return
    capacityLedger.dropBorrowed(peer)
    clampToCapacity()
  }

  const beginRequest = (peer: string, tokensWanted: number, ttlMs: number) => {
    advance()
    for (const earlier of pendingRequests) if (earlier.peer === peer) pendingRequests.delete(earlier)
    if (tokensWanted > 0) dropUnusedCapacity(peer)
    const refillTokens = ratePerSec() * refillAheadMs / 1000
    const freeCapacity = Math.max(0, capacity() - reservedTokens() - tokens - refillTokens)
    const pending: PendingRequest = {
      peer,
      sentAtMs: clock(),
      sentAtWallMs: wallClock(),
      loanTtlMs: Math.min(ttlMs, loanTtlMs),
      limit,
      reservedTokens: Math.min(freeCapacity, tokensWanted),
      heldFraction: ledger.borrowedFrom(peer),
      heldCapacity: capacityLedger.borrowedFrom(peer)
    }
    pendingRequests.add(pending)
    return pending
  }

  const fractionOfBurst = (tokenCount: number, { burst }: RateLimit) => burst > 0 ? tokenCount / burst : 0

  // Records the loan as borrowed unless it has expired. Returns the fraction of the limit by which the amount borrowed
  // from this peer has grown.
  const recordLoan = (pending: PendingRequest, loan: Loan) => {
    const ttlMs = Math.min(loan.loanTtlMs, pending.loanTtlMs)
    const untilMs = pending.sentAtMs + ttlMs
    const wallUntilMs = pending.sentAtWallMs + ttlMs
    if (untilMs <= clock() || wallUntilMs <= wallClock()) return 0
    const hasRate = loan.fraction > 0
    const targetLedger = hasRate ? ledger : capacityLedger
    const fraction = hasRate ? loan.fraction : fractionOfBurst(loan.tokens, pending.limit)
    const heldBefore = targetLedger.borrowedFrom(pending.peer)
    if (fraction > 0) targetLedger.borrow(pending.peer, fraction, untilMs, wallUntilMs)
    // Capacity that was held when the request was sent may have been filled since, so it covers no tokens in transit.
    const heldAtRequest = hasRate ? pending.heldFraction : pending.heldCapacity
    return Math.max(0, Math.min(targetLedger.borrowedFrom(pending.peer) - heldBefore, fraction - heldAtRequest))
  }

  const accept = (pending: PendingRequest, loan: Loan) => {
    advance()
    if (!pendingRequests.delete(pending)) return false
    const gainedTokens = recordLoan(pending, loan) * limit.burst
    tokens += Math.min(loan.tokens, pending.reservedTokens + gainedTokens)
    clampToCapacity()
    return true
  }

  const cancel = (pending: PendingRequest) => {
    advance()
    pendingRequests.delete(pending)
  }

  // Fraction that can be lent for the given time in addition to `lentToOthers`. Borrowed fractions count only when they
  // are held for at least the loan and its margin.
  const lendableFor = (ttlMs: number, lentToOthers: number) =>
    Math.max(0, ledger.own() + ledger.borrowedForAtLeast(ledger.ttlWithMarginMs(ttlMs)) - lentToOthers)

  // Halves the duration until the whole requested fraction can be lent for it or `minTtlMs` is reached.
  const termsFor = (wanted: number, wantedTtlMs: number, lentToOthers: number) => {
    let ttlMs = Math.min(wantedTtlMs, loanTtlMs)
    while (ttlMs / 2 >= minTtlMs && lendableFor(ttlMs, lentToOthers) < wanted) ttlMs /= 2
    return { ttlMs, fraction: Math.min(wanted, lendableFor(ttlMs, lentToOthers)) }
  }

  const lendFraction = (terms: LoanTerms): Loan => {
    const lentToOthers = ledger.lent() - ledger.lentTo(terms.borrower) + capacityLedger.lent()
    const wanted = Math.max(0, Math.min(terms.fractionWanted,
      ledger.own() + ledger.borrowed() - lentToOthers - terms.keepFraction))
    const { ttlMs, fraction } = termsFor(wanted, terms.loanTtlMs, lentToOthers)
    // Tokens without a fraction come with burst capacity, which must be counted as lent.
    if (fraction === 0 || !ledger.lend(terms.borrower, fraction, ttlMs)) return lendTokens(terms)
    const overflow = Math.max(0, tokens - capacity())
    return { tokens: Math.max(overflow, spareTokens(terms)), fraction, loanTtlMs: ttlMs }
  }

  const lendTokens = (terms: LoanTerms): Loan => {
    const lentToOthers = ledger.lent() + capacityLedger.lent() - capacityLedger.lentTo(terms.borrower)
    const { ttlMs, fraction } = termsFor(fractionOfBurst(spareTokens(terms), limit), terms.loanTtlMs, lentToOthers)
    const lentTokens = reduceByWholeTokens(terms.tokensWanted, fraction * limit.burst)
    if (lentTokens <= 0 ||
      !capacityLedger.lend(terms.borrower, fractionOfBurst(lentTokens, limit), ttlMs)) return emptyLoan
    return { tokens: lentTokens, fraction: 0, loanTtlMs: ttlMs }
  }

  // Largest amount up to `available` that falls short of `wanted` by a whole number of tokens, because the borrower
  // cannot use a fraction of a token.
  const reduceByWholeTokens = (wanted: number, available: number) =>
    Math.max(0, wanted - Math.max(0, Math.ceil(wanted - available - tokenRounding)))

  const spareTokens = ({ tokensWanted, keepTokens }: LoanTerms) =>
    reduceByWholeTokens(tokensWanted, tokens - keepTokens)

  const lend = (terms: LoanTerms): Loan => {
    advance()
    const loan = terms.fractionWanted > 0 ? lendFraction(terms) : lendTokens(terms)
    tokens -= loan.tokens
    clampToCapacity()
    return loan
  }

  const expireLoans = () => {
    ledger.dropBorrowed()
    capacityLedger.dropBorrowed()
    pendingRequests.clear()
    clampToCapacity()
    advance()
  }

  return {
    ledger,
    limit: () => limit,
    setLimit,
    setOwnFraction,
    tokens: () => { advance(); return tokens },
    capacity: () => { advance(); return capacity() },
    ratePerSec: () => { advance(); return ratePerSec() },
    tryAcquire,
    beginRequest,
    accept,
    cancel,
    lentFraction: () => ledger.lent() + capacityLedger.lent(),
    lend,
    expireLoans
  }
}
