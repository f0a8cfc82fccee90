/**
 * One rate limit on one VM: its token share, the requests that wait for a token, and the loans it requests and renews.
 */
import { isDeepStrictEqual } from 'node:util'
import type { Clock } from '@egretyoke/common'
import { isValidReply, isValidRequest, noLoan } from './borrow-messages.js'
import type { BorrowReply, BorrowRequest } from './borrow-messages.js'
import { shortLoanTtlMs } from './borrowing.js'
import type { LoanPolicy, ShareState, LoanDemand } from './borrowing.js'
import { createDemandEstimate } from './demand.js'
import { createLoanAllocator } from './lending-book.js'
import { createPeerSelector } from './peer-choice.js'
import type { RequestResult } from './peer-choice.js'
import { rankByRendezvous } from './rendezvous.js'
import type { After } from './timers.js'
import { createTokenShare } from './token-share.js'
import type { PendingRequest, RateLimit } from './token-share.js'
import { createWaiters } from './waiters.js'

/** Maximum number of requests that wait for a token of one limit on one VM. */
export const maxWaitersPerLimit = 1024

/** Time after sending for which a loan request in flight is expected to be granted, in milliseconds. */
const inFlightCountsMs = 20

/** Initial estimate of the round trip to a peer, in milliseconds, and the weight of a new sample in the average. */
const initialRoundTripMs = 5
const roundTripWeight = 0.1

/** Demand below which a limit counts as idle on this VM, in requests per second. */
const negligibleDemandPerSec = 0.05

/** Maximum interval between two attempts to serve the waiting requests, in milliseconds. */
const maxPumpDelayMs = 25

/** Minimum interval between two attempts to serve the waiting requests, in milliseconds. */
const minPumpDelayMs = 1

/** Minimum rate from which `retryAfterMs` is computed, in tokens per second. */
const minRatePerSec = 0.001

/** Bounds of `retryAfterMs`, in milliseconds. */
const minRetryAfterMs = 10
const maxRetryAfterMs = 60_000

/** Reason for which a request was refused. */
export type RefusalReason = 'rate' | 'tooManyWaiting' | 'unknownLimit' | 'cancelled' | 'closed'

/** Result of acquiring a token. */
export type Taken = { admitted: true } | { admitted: false, retryAfterMs: number, reason: RefusalReason }

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
  askPeer: (peer: string, request: BorrowRequest) => Promise<BorrowReply | undefined>
}

/** One rate limit on one VM. */
export type LimitShare = {
  setLimit: (limit: RateLimit) => void
  /** Sets the fraction of the limit that this VM owns, with immediate effect. */
  setOwnFraction: (fraction: number) => void
  setPeers: (peers: string[]) => void
  tryTake: () => boolean
  take: (maxWaitMs: number, signal?: AbortSignal) => Promise<Taken>
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
  const { vm, incarnation, clock, after, loanTtlMs, policy, askPeer } = options
  const share = createTokenShare(initialLimit, options)
  const demand = createDemandEstimate(clock)
  const waiters = createWaiters(after)
  const choice = createPeerSelector(clock)
  const book = createLoanAllocator(clock, loanTtlMs)
  const inFlight = new Set<{ sentAtMs: number, tokens: number, fraction: number }>()
  let peers: string[] = []
  let ranked: string[] | undefined
  let roundTripMs = initialRoundTripMs
  let cancelPump = () => {}
  let pumpAtMs = Infinity
  let isClosed = false

  const situation = (): ShareState => {
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

  const outcomeOf = (
    peer: string, wanted: LoanDemand, heldBefore: number, reply: BorrowReply | undefined
  ): RequestResult => {
    if (reply === undefined) return 'unreachable'
    const isRenewal = wanted.fraction > 0 && wanted.fraction <= heldBefore
    const hasGained = reply.tokens > 0 || share.ledger.borrowedFrom(peer) > heldBefore
    return hasGained || (isRenewal && reply.ratePerSec > 0) ? 'lent' : 'empty'
  }

  // Defers the rendezvous hashing until the limit is used, because most limits of a large fleet are idle on most VMs.
  const rankedMembers = () => {
    if (ranked !== undefined) return ranked
    ranked = rankByRendezvous(share.limit().name, [vm, ...peers])
    const place = ranked.indexOf(vm)
    choice.setPeers([...ranked.slice(place + 1), ...ranked.slice(0, place)])
    return ranked
  }

  const useReply = (pending: PendingRequest, reply: BorrowReply | undefined) => {
    if (reply === undefined || (reply.tokens <= 0 && reply.ratePerSec <= 0)) return share.cancel(pending)
    const wholeRatePerSec = pending.limit.ratePerSec
    const fraction = wholeRatePerSec > 0 ? reply.ratePerSec / wholeRatePerSec : 0
    share.accept(pending, { tokens: reply.tokens, fraction, loanTtlMs: reply.loanTtlMs })
  }

  const expectedSoon = () => {
    const expected = { tokens: 0, fraction: 0 }
    for (const { sentAtMs, tokens, fraction } of inFlight) {
      if (clock() - sentAtMs > inFlightCountsMs) continue
      expected.tokens += tokens
      expected.fraction += fraction
    }
    return expected
  }

  const send = async (peer: string, { tokens, fraction, ttlMs }: LoanDemand) => {
    const { name, ratePerSec, version } = share.limit()
    const sentMs = clock()
    const reply = await askPeer(peer, {
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

  const ask = async (peer: string, wanted: LoanDemand) => {
    const heldBefore = share.ledger.borrowedFrom(peer)
    const fraction = Math.max(0, wanted.fraction - heldBefore)
    const expected = { sentAtMs: clock(), tokens: wanted.tokens, fraction }
    inFlight.add(expected)
    const pending = share.beginRequest(peer, wanted.tokens, wanted.ttlMs)
    choice.recordRequest(peer)
    const giveUp = after(wanted.ttlMs, () => share.cancel(pending))
    const reply = await send(peer, wanted)
    giveUp()
    inFlight.delete(expected)
    if (isClosed) return
    useReply(pending, reply)
    choice.recordResult(peer, outcomeOf(peer, wanted, heldBefore, reply))
    pump()
  }

  const borrowing = policy({
    vm,
    loanTtlMs,
    nowMs: clock,
    shareState: situation,
    ledger: share.ledger,
    peers: choice,
    rankedMembers,
    expectedGrants: expectedSoon,
    roundTripMs: () => roundTripMs,
    requestLoan: ask
  })

  const pump = () => {
    waiters.serve(share.tryAcquire)
    if (waiters.size() === 0) return
    rankedMembers()
    borrowing.fetch()
    schedulePump()
  }

  const schedulePump = () => {
    const ratePerSec = share.ratePerSec()
    const refillMs = ratePerSec > 0 ? (1 - share.tokens()) * 1000 / ratePerSec : Infinity
    const nextMs = Math.min(refillMs, borrowing.nextFetchMs() - clock(), maxPumpDelayMs)
    const atMs = clock() + Math.max(minPumpDelayMs, nextMs)
    if (pumpAtMs <= atMs && pumpAtMs > clock()) return
    cancelPump()
    pumpAtMs = atMs
    cancelPump = after(atMs - clock(), () => {
      pumpAtMs = Infinity
      pump()
    })
  }

  const refusal = (reason: RefusalReason): Taken => {
    const missing = Math.max(0, 1 + waiters.size() - share.tokens())
    const equalRatePerSec = share.limit().ratePerSec / (peers.length + 1)
    const retryAfterMs = Math.ceil(missing * 1000 / Math.max(share.ratePerSec(), equalRatePerSec, minRatePerSec))
    return { admitted: false, reason, retryAfterMs: Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, retryAfterMs)) }
  }

  // Requests beyond what the whole fleet can admit within the maximum wait are refused at once.
  const canBeServed = (maxWaitMs: number) => {
    const { ratePerSec, burst } = share.limit()
    return waiters.size() < burst + ratePerSec * maxWaitMs / 1000
  }

  const tryTake = () => {
    demand.record()
    return waiters.size() === 0 && share.tryAcquire()
  }

  const take = async (maxWaitMs: number, signal?: AbortSignal): Promise<Taken> => {
    if (isClosed) return refusal('closed')
    if (tryTake()) return { admitted: true }
    if (waiters.size() >= maxWaitersPerLimit) return refusal('tooManyWaiting')
    if (!canBeServed(maxWaitMs)) return refusal('rate')
    const end = waiters.wait(maxWaitMs, signal)
    pump()
    const ended = await end
    if (ended === 'served') return { admitted: true }
    return refusal(ended === 'timedOut' ? 'rate' : ended)
  }

  const lend = (request: BorrowRequest): BorrowReply => {
    const { ratePerSec, version } = share.limit()
    if (!isValidRequest(request)) return noLoan('badRequest')
    if (request.limitVersion !== version) return noLoan('otherVersion')
    rankedMembers()
    const borrower = `${request.borrower}/${request.incarnation}`
    const isLasting = request.loanTtlMs > shortLoanTtlMs
    const offer = borrowing.reserveFor({ borrower: request.borrower, isLongTerm: isLasting })
    const fractionWanted = ratePerSec > 0 ? request.rateWantedPerSec / ratePerSec : 0
    const lendable = share.ledger.own() + share.ledger.borrowed() - offer.keepFraction
    const loan = share.lend({
      ...offer,
      borrower,
      tokensWanted: request.tokensWanted,
      fractionWanted: isLasting ? book.allocate(borrower, fractionWanted, lendable) : fractionWanted,
      loanTtlMs: request.loanTtlMs
    })
    const hasLent = loan.tokens > 0 || loan.fraction > 0
    if (!hasLent) return noLoan('nothingToSpare')
    return { tokens: loan.tokens, ratePerSec: loan.fraction * ratePerSec, loanTtlMs: loan.loanTtlMs, reason: '' }
  }

  const isUsed = () => waiters.size() > 0 || share.ledger.borrowed() > 0 || demand.perSec() > negligibleDemandPerSec

  const probeUnreachable = () => {
    for (const peer of choice.probeCandidates()) ask(peer, { tokens: 0, fraction: 0, ttlMs: loanTtlMs })
  }

  const maintain = () => {
    if (!isUsed()) return
    share.tokens()
    rankedMembers()
    probeUnreachable()
    borrowing.maintain()
  }

  const setOwnFraction = (fraction: number) => {
    if (fraction === share.ledger.own()) return
    share.setOwnFraction(fraction)
    pump()
  }

  const setPeers = (names: string[]) => {
    peers = names
    ranked = undefined
  }

  const setLimit = (limit: RateLimit) => {
    if (isDeepStrictEqual(limit, share.limit())) return
    share.setLimit(limit)
    pump()
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
    cancelPump()
    waiters.close()
  }

  return {
    setLimit,
    setOwnFraction,
    setPeers,
    tryTake,
    take,
    lend,
    maintain,
    isIdle,
    expireLoans: share.expireLoans,
    snapshot,
    close
  }
}
