/**
 * One rate limit on one VM: its token share, the requests that wait for a token, and the loans it requests and renews.
 */
import { isDeepStrictEqual } from 'node:util'
import type { Clock } from '@egretyoke/common'
import { isValidReply, isValidRequest, noLoan } from './borrow-messages.js'
import type { BorrowReply, BorrowRequest } from './borrow-messages.js'
import { shortLoanTtlMs } from './borrowing.js'
import type { LoanDemand, LoanPolicy, ShareState } from './borrowing.js'
import { createDemandEstimate } from './demand.js'
import { createLoanAllocator } from './loan-allocator.js'
import { createPeerSelector } from './peer-selector.js'
import type { RequestResult } from './peer-selector.js'
import { rankByRendezvous } from './rendezvous.js'
import type { After } from './timers.js'
import { createTokenShare } from './token-share.js'
import type { PendingRequest, RateLimit } from './token-share.js'
import { createWaiters } from './waiters.js'

/** Maximum number of requests that wait for a token of one limit on one VM. */
export const maxWaitersPerLimit = 1024

/** Time after sending for which a loan request in flight is expected to be granted, in milliseconds. */
const expectedGrantWindowMs = 20

/** Initial estimate of the round trip to a peer, in milliseconds, and the weight of a new sample in the average. */
const initialRoundTripMs = 5
const roundTripWeight = 0.1

/** Demand below which a limit counts as idle on this VM, in requests per second. */
const negligibleDemandPerSec = 0.05

/** Maximum interval between two attempts to serve the waiting requests, in milliseconds. */
const maxServeIntervalMs = 25

/** Minimum interval between two attempts to serve the waiting requests, in milliseconds. */
const minServeIntervalMs = 1

/** Minimum rate from which `retryAfterMs` is computed, in tokens per second. */
const minRatePerSec = 0.001

/** Bounds of `retryAfterMs`, in milliseconds. */
const minRetryAfterMs = 10
const maxRetryAfterMs = 60_000

/** Reason for which a request was refused. */
export type RefusalReason = 'rate' | 'tooManyWaiting' | 'unknownLimit' | 'cancelled' | 'closed'

/** Result of acquiring a token. */
export type AcquireResult = { admitted: true } | { admitted: false, retryAfterMs: number, reason: RefusalReason }

/** State of one limit on this VM, for operators and tests. */
export type LimitSnapshot = {
  limit: string
  version: number
  tokens: number
  ratePerSec: number
  capacityTokens: number
  ownFraction: number
  lentFraction: number
  borrowedFraction: number
  demandPerSec: number
  waiting: number
}

/** Dependencies and options of a limit on one VM. */
export type LimitShareOptions = {
  vm: string
  incarnation: number
  clock: Clock
  wallClock: Clock
  after: After
  loanTtlMs: number
  loanMarginMs: number
  startsFull: boolean
  policy: LoanPolicy
  sendBorrowRequest: (peer: string, request: BorrowRequest) => Promise<BorrowReply | undefined>
}

/** One rate limit on one VM. */
export type LimitShare = {
  setLimit: (limit: RateLimit) => void
  /** Sets the fraction of the limit that this VM owns, with immediate effect. */
  setOwnFraction: (fraction: number) => void
  setPeers: (peers: string[]) => void
  tryAcquire: () => boolean
  acquire: (maxWaitMs: number, signal?: AbortSignal) => Promise<AcquireResult>
  lend: (request: BorrowRequest) => BorrowReply
  /** Renews loans that are still needed and borrows for the recent demand. */
  maintain: () => void
  /** True when nothing is lent and no request waits, so that the share may be deleted. */
  isIdle: () => boolean
  expireLoans: () => void
  snapshot: () => LimitSnapshot
  close: () => void
}

/** Creates a limit of which this VM owns nothing. */
export const createLimitShare = (initialLimit: RateLimit, options: LimitShareOptions): LimitShare => {
  const { vm, incarnation, clock, after, loanTtlMs, policy, sendBorrowRequest } = options
  const share = createTokenShare(initialLimit, options)
  const demand = createDemandEstimate(clock)
  const waiters = createWaiters(after)
  const selector = createPeerSelector(clock)
  const allocator = createLoanAllocator(clock, loanTtlMs)
  const inFlight = new Set<{ sentAtMs: number, tokens: number, fraction: number }>()
  let peers: string[] = []
  let ranked: string[] | undefined
  let roundTripMs = initialRoundTripMs
  let cancelServeTimer = () => {}
  let nextServeMs = Infinity
  let isClosed = false

  const shareState = (): ShareState => {
    const { ratePerSec, burst } = share.limit()
    return {
      ratePerSec,
      burst,
      demandPerSec: demand.perSec(),
      waiting: waiters.size(),
      tokens: share.tokens(),
      usableFraction: share.ledger.usable()
    }
  }

  const resultOf = (
    peer: string, requested: LoanDemand, heldBefore: number, reply: BorrowReply | undefined
  ): RequestResult => {
    if (reply === undefined) return 'unreachable'
    const isRenewal = requested.fraction > 0 && requested.fraction <= heldBefore
    const hasGained = reply.tokens > 0 || share.ledger.borrowedFrom(peer) > heldBefore
    return hasGained || (isRenewal && reply.ratePerSec > 0) ? 'lent' : 'empty'
  }

  // Defers the rendezvous hashing until the limit is used, because most limits of a large fleet are idle on most VMs.
  const rankedMembers = () => {
    if (ranked !== undefined) return ranked
    ranked = rankByRendezvous(share.limit().name, [vm, ...peers])
    const position = ranked.indexOf(vm)
    selector.setPeers([...ranked.slice(position + 1), ...ranked.slice(0, position)])
    return ranked
  }

  const applyReply = (pending: PendingRequest, reply: BorrowReply | undefined) => {
    if (reply === undefined || (reply.tokens <= 0 && reply.ratePerSec <= 0)) return share.cancel(pending)
    const wholeRatePerSec = pending.limit.ratePerSec
    const fraction = wholeRatePerSec > 0 ? reply.ratePerSec / wholeRatePerSec : 0
    share.accept(pending, { tokens: reply.tokens, fraction, loanTtlMs: reply.loanTtlMs })
  }

  const expectedGrants = () => {
    const expected = { tokens: 0, fraction: 0 }
    for (const { sentAtMs, tokens, fraction } of inFlight) {
      if (clock() - sentAtMs > expectedGrantWindowMs) continue
      expected.tokens += tokens
      expected.fraction += fraction
    }
    return expected
  }

  const send = async (peer: string, { tokens, fraction, ttlMs }: LoanDemand) => {
    const { name, ratePerSec, version } = share.limit()
    const sentMs = clock()
    const reply = await sendBorrowRequest(peer, {
      borrower: vm,
      incarnation,
      limit: name,
      tokensWanted: tokens,
      rateWantedPerSec: fraction * ratePerSec,
      loanTtlMs: ttlMs,
      limitVersion: version
    }).catch(() => undefined)
    if (reply !== undefined) roundTripMs += (clock() - sentMs - roundTripMs) * roundTripWeight
    return reply !== undefined && isValidReply(reply) ? reply : undefined
  }

  const requestLoan = async (peer: string, requested: LoanDemand) => {
    const heldBefore = share.ledger.borrowedFrom(peer)
    const fraction = Math.max(0, requested.fraction - heldBefore)
    const expected = { sentAtMs: clock(), tokens: requested.tokens, fraction }
    inFlight.add(expected)
    const pending = share.beginRequest(peer, requested.tokens, requested.ttlMs)
    selector.recordRequest(peer)
    const cancelTimeout = after(requested.ttlMs, () => share.cancel(pending))
    const reply = await send(peer, requested)
    cancelTimeout()
    inFlight.delete(expected)
    if (isClosed) return
    applyReply(pending, reply)
    selector.recordResult(peer, resultOf(peer, requested, heldBefore, reply))
    serveWaiters()
  }

  const strategy = policy({
    vm,
    loanTtlMs,
    nowMs: clock,
    shareState,
    ledger: share.ledger,
    peers: selector,
    rankedMembers,
    expectedGrants,
    roundTripMs: () => roundTripMs,
    requestLoan
  })

  const serveWaiters = () => {
    waiters.serve(share.tryAcquire)
    if (waiters.size() === 0) return
    rankedMembers()
    strategy.fetch()
    scheduleServe()
  }

  const scheduleServe = () => {
    const ratePerSec = share.ratePerSec()
    const refillMs = ratePerSec > 0 ? (1 - share.tokens()) * 1000 / ratePerSec : Infinity
    const nextMs = Math.min(refillMs, strategy.nextFetchMs() - clock(), maxServeIntervalMs)
    const atMs = clock() + Math.max(minServeIntervalMs, nextMs)
    if (nextServeMs <= atMs && nextServeMs > clock()) return
    cancelServeTimer()
    nextServeMs = atMs
    cancelServeTimer = after(atMs - clock(), () => {
      nextServeMs = Infinity
      serveWaiters()
    })
  }

  const refusal = (reason: RefusalReason): AcquireResult => {
    const missingTokens = Math.max(0, 1 + waiters.size() - share.tokens())
    const equalShareRatePerSec = share.limit().ratePerSec / (peers.length + 1)
    const retryAfterMs =
      Math.ceil(missingTokens * 1000 / Math.max(share.ratePerSec(), equalShareRatePerSec, minRatePerSec))
    return { admitted: false, reason, retryAfterMs: Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, retryAfterMs)) }
  }

  // Requests beyond what the whole fleet can admit within the maximum wait are refused at once.
  const canBeServed = (maxWaitMs: number) => {
    const { ratePerSec, burst } = share.limit()
    return waiters.size() < burst + ratePerSec * maxWaitMs / 1000
  }

  const tryAcquire = () => {
    demand.record()
    return waiters.size() === 0 && share.tryAcquire()
  }

  const acquire = async (maxWaitMs: number, signal?: AbortSignal): Promise<AcquireResult> => {
    if (isClosed) return refusal('closed')
    if (tryAcquire()) return { admitted: true }
    if (waiters.size() >= maxWaitersPerLimit) return refusal('tooManyWaiting')
    if (!canBeServed(maxWaitMs)) return refusal('rate')
    const waitResult = waiters.wait(maxWaitMs, signal)
    serveWaiters()
    const result = await waitResult
    if (result === 'served') return { admitted: true }
    return refusal(result === 'timedOut' ? 'rate' : result)
  }

  const lend = (request: BorrowRequest): BorrowReply => {
    const { ratePerSec, version } = share.limit()
    if (!isValidRequest(request)) return noLoan('badRequest')
    if (request.limitVersion !== version) return noLoan('otherVersion')
    rankedMembers()
    const borrower = `${request.borrower}/${request.incarnation}`
    const isLongTerm = request.loanTtlMs > shortLoanTtlMs
    const reserve = strategy.reserveFor({ borrower: request.borrower, isLongTerm })
    const fractionWanted = ratePerSec > 0 ? request.rateWantedPerSec / ratePerSec : 0
    const lendable = share.ledger.own() + share.ledger.borrowed() - reserve.keepFraction
    const loan = share.lend({
      ...reserve,
      borrower,
      tokensWanted: request.tokensWanted,
      fractionWanted: isLongTerm ? allocator.allocate(borrower, fractionWanted, lendable) : fractionWanted,
      loanTtlMs: request.loanTtlMs
    })
    const hasLent = loan.tokens > 0 || loan.fraction > 0
    if (!hasLent) return noLoan('nothingToSpare')
    return { tokens: loan.tokens, ratePerSec: loan.fraction * ratePerSec, loanTtlMs: loan.loanTtlMs, reason: '' }
  }

  const isActive = () => waiters.size() > 0 || share.ledger.borrowed() > 0 || demand.perSec() > negligibleDemandPerSec

  const probeUnreachable = () => {
    for (const peer of selector.probeCandidates()) requestLoan(peer, { tokens: 0, fraction: 0, ttlMs: loanTtlMs })
  }

  const maintain = () => {
    if (!isActive()) return
    share.tokens()
    rankedMembers()
    probeUnreachable()
    strategy.maintain()
  }

  const setOwnFraction = (fraction: number) => {
    if (fraction === share.ledger.own()) return
    share.setOwnFraction(fraction)
    serveWaiters()
  }

  const setPeers = (names: string[]) => {
    peers = names
    ranked = undefined
  }

  const setLimit = (limit: RateLimit) => {
    if (isDeepStrictEqual(limit, share.limit())) return
    share.setLimit(limit)
    serveWaiters()
  }

  const snapshot = (): LimitSnapshot => ({
    limit: share.limit().name,
    version: share.limit().version,
    tokens: share.tokens(),
    ratePerSec: share.ratePerSec(),
    capacityTokens: share.capacity(),
    ownFraction: share.ledger.own(),
    lentFraction: share.lentFraction(),
    borrowedFraction: share.ledger.borrowed(),
    demandPerSec: demand.perSec(),
    waiting: waiters.size()
  })

  const isIdle = () => {
    share.tokens()
    return share.lentFraction() === 0 && waiters.size() === 0
  }

  const close = () => {
    isClosed = true
    cancelServeTimer()
    waiters.close()
  }

  return {
    setLimit,
    setOwnFraction,
    setPeers,
    tryAcquire,
    acquire,
    lend,
    maintain,
    isIdle,
    expireLoans: share.expireLoans,
    snapshot,
    close
  }
}
