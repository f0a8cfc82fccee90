/**
 * One limit on held permits on one VM, for instance on connections to one endpoint. Whole permits are lent between VMs
 * with the same ledger as rates. A permit that is backed by a loan is revoked before the loan expires, unless the loan
 * is renewed; its holder must then release it.
 */
import type { Clock } from '@egretyoke/common'
import { isValidReply, isValidRequest, noLoan } from './borrow-messages.js'
import type { BorrowReply, BorrowRequest } from './borrow-messages.js'
import type { RequestResult } from './peer-selector.js'
import { createPeerSelector } from './peer-selector.js'
import { rankByRendezvous } from './rendezvous.js'
import { createShareLedger } from './share-ledger.js'
import type { ShareLedgerOptions } from './share-ledger.js'
import type { After } from './timers.js'
import { createWaiters } from './waiters.js'

/** Maximum number of requests that wait for a permit of one limit on one VM. */
const maxWaiters = 256

/** Maximum number of peers that receive a request at the same time. */
const maxPeerRequests = 3

/** Interval between two attempts to serve the waiting requests, in milliseconds. */
const serveIntervalMs = 10

/** Time before the expiry of a loan at which its permits are revoked, as a fraction of the longest loan. */
const revokeLeadFraction = 1 / 4

/** Minimum duration of a granted loan as a fraction of the requested one; shorter loans would be revoked at once. */
const minTtlFraction = 1 / 2

/** Limit on the permits that the whole fleet holds at a time; VMs that apply the same version have the same maximum. */
export type PermitLimit = { name: string, maxPermits: number, version: number }

/** A held permit. */
export type Permit = { release: () => void }

/** State of one permit limit on this VM, for operators and tests. */
export type PermitSnapshot = {
  limit: string
  held: number
  own: number
  lent: number
  borrowed: number
  /** Revoked permits that have not been released yet. */
  revoked: number
  waiting: number
}

/** Dependencies and options of a permit share. */
export type PermitShareOptions = ShareLedgerOptions & {
  vm: string
  incarnation: number
  after: After
  clock: Clock
  sendBorrowRequest: (peer: string, request: BorrowRequest) => Promise<BorrowReply | undefined>
}

/** One limit of permits on one VM. */
export type PermitShare = {
  setLimit: (limit: PermitLimit) => void
  /** Sets the number of permits that this VM owns, with immediate effect. */
  setOwn: (permits: number) => void
  setPeers: (peers: string[]) => void
  tryAcquire: (onRevoked: () => void) => Permit | undefined
  /** Waits for a permit for at most the given time. */
  acquire: (onRevoked: () => void, maxWaitMs: number, signal?: AbortSignal) => Promise<Permit | undefined>
  lend: (request: BorrowRequest) => BorrowReply
  maintain: () => void
  expireLoans: () => void
  isIdle: () => boolean
  snapshot: () => PermitSnapshot
  close: () => void
}

type Holder = { onRevoked: () => void, isRevoked: boolean }

/** Creates a share with 0 own permits. */
export const createPermitShare = (initialLimit: PermitLimit, options: PermitShareOptions): PermitShare => {
  const { vm, incarnation, clock, wallClock, after, loanTtlMs, sendBorrowRequest } = options
  const ledger = createShareLedger(options)
  const peers = createPeerSelector(clock)
  const waiters = createWaiters(after)
  const holders = new Set<Holder>()
  let limit = initialLimit
  // Permits granted to waiting requests whose `acquire` has not resumed yet.
  let grantedToWaiters = 0
  // Incremented by `expireLoans`; replies to requests of an earlier epoch are ignored.
  let epoch = 0
  let cancelServeTimer = () => {}
  let isClosed = false

  const advance = () => {
    ledger.expireByWallClock()
    ledger.advanceTo(clock())
  }

  const inUse = () => holders.size + grantedToWaiters
  const free = () => ledger.usable() - inUse()

  const hold = (onRevoked: () => void): Permit => {
    const holder = { onRevoked, isRevoked: false }
    holders.add(holder)
    const release = () => {
      if (holders.delete(holder)) serveWaiters()
    }
    return { release }
  }

  const tryAcquire = (onRevoked: () => void) => {
    advance()
    return free() >= 1 && waiters.size() === 0 ? hold(onRevoked) : undefined
  }

  const send = (peer: string, permits: number) => sendBorrowRequest(peer, {
    borrower: vm,
    incarnation,
    limit: limit.name,
    tokensWanted: 0,
    rateWantedPerSec: permits,
    loanTtlMs,
    limitVersion: limit.version
  }).catch(() => undefined)

  const applyReply = (peer: string, sentAtMs: number, sentAtWallMs: number, reply: BorrowReply): RequestResult => {
    const untilMs = sentAtMs + Math.min(loanTtlMs, reply.loanTtlMs)
    const wallUntilMs = sentAtWallMs + Math.min(loanTtlMs, reply.loanTtlMs)
    const isUnexpired = untilMs > clock() && wallUntilMs > wallClock()
    if (reply.ratePerSec < 1 || !isUnexpired) return 'empty'
    ledger.borrow(peer, Math.floor(reply.ratePerSec), untilMs, wallUntilMs)
    return 'lent'
  }

  // `permits` is the total to be borrowed from the peer.
  const borrowFrom = async (peer: string, permits: number) => {
    const sentAtMs = clock()
    const sentAtWallMs = wallClock()
    peers.recordRequest(peer)
    const requestEpoch = epoch
    const reply = await send(peer, permits)
    if (isClosed) return
    advance()
    const isUsable = reply !== undefined && isValidReply(reply) && requestEpoch === epoch
    peers.recordResult(peer, isUsable ? applyReply(peer, sentAtMs, sentAtWallMs, reply) : 'unreachable')
    serveWaiters()
  }

  const borrow = () => {
    const missing = waiters.size() - Math.max(0, free())
    if (missing <= 0) return
    for (const peer of peers.select(Math.min(missing, maxPeerRequests))) borrowFrom(peer, ledger.borrowedFrom(peer) + 1)
  }

  const tryServe = () => {
    if (free() < 1) return false
    grantedToWaiters++
    return true
  }

  const serveWaiters = () => {
    advance()
    waiters.serve(tryServe)
    if (waiters.size() === 0) return
    borrow()
    cancelServeTimer()
    cancelServeTimer = after(serveIntervalMs, serveWaiters)
  }

  const acquire = async (onRevoked: () => void, maxWaitMs: number, signal?: AbortSignal) => {
    const permit = tryAcquire(onRevoked)
    if (permit !== undefined || isClosed || waiters.size() >= maxWaiters) return permit
    const waitResult = waiters.wait(maxWaitMs, signal)
    serveWaiters()
    if (await waitResult !== 'served') return undefined
    grantedToWaiters--
    return hold(onRevoked)
  }

  const lend = (request: BorrowRequest): BorrowReply => {
    if (!isValidRequest(request)) return noLoan('badRequest')
    if (request.limitVersion !== limit.version) return noLoan('otherVersion')
    advance()
    const borrower = `${request.borrower}/${request.incarnation}`
    const lentToOthers = ledger.lent() - ledger.lentTo(borrower)
    const retained = lentToOthers + inUse() + waiters.size()
    const ttlMs = Math.min(loanTtlMs, request.loanTtlMs)
    const lendableFor = (ms: number) => ledger.own() + ledger.borrowedForAtLeast(ledger.ttlWithMarginMs(ms)) - retained
    const grantedTtlMs = lendableFor(ttlMs) >= 1 ? ttlMs : ttlMs * minTtlFraction
    const permits = Math.floor(Math.min(request.rateWantedPerSec, lendableFor(grantedTtlMs)))
    if (permits < 1 || !ledger.lend(borrower, permits, grantedTtlMs)) return noLoan('nothingToSpare')
    return { tokens: 0, ratePerSec: permits, loanTtlMs: grantedTtlMs, reason: '' }
  }

  const renew = () => {
    let needed = inUse() + waiters.size() - Math.max(0, ledger.own() - ledger.lent())
    for (const { lender, amount, untilMs } of ledger.heldLoans()) {
      const permits = Math.min(amount, needed)
      if (permits < 1) return
      needed -= permits
      if (untilMs - clock() < loanTtlMs / 2 && !peers.isPending(lender)) borrowFrom(lender, permits)
    }
  }

  const revokeUnbacked = () => {
    const usableSoon = ledger.own() - ledger.lent() + ledger.borrowedForAtLeast(loanTtlMs * revokeLeadFraction)
    const excess = inUse() - Math.max(0, usableSoon)
    const newestFirst = [...holders].reverse().slice(0, Math.max(0, Math.ceil(excess)))
    for (const holder of newestFirst) {
      if (holder.isRevoked) continue
      holder.isRevoked = true
      holder.onRevoked()
    }
  }

  const maintain = () => {
    advance()
    for (const peer of peers.probeCandidates()) if (holders.size > 0 || waiters.size() > 0) borrowFrom(peer, 0)
    renew()
    revokeUnbacked()
    serveWaiters()
  }

  const expireLoans = () => {
    epoch++
    ledger.dropBorrowed()
    advance()
    revokeUnbacked()
  }

  const setOwn = (permits: number) => {
    if (permits === ledger.own()) return
    advance()
    ledger.setOwn(permits)
    revokeUnbacked()
    serveWaiters()
  }

  const snapshot = (): PermitSnapshot => ({
    limit: limit.name,
    held: holders.size,
    own: ledger.own(),
    lent: ledger.lent(),
    borrowed: ledger.borrowed(),
    revoked: [...holders].filter(({ isRevoked }) => isRevoked).length,
    waiting: waiters.size()
  })

  const close = () => {
    isClosed = true
    cancelServeTimer()
    waiters.close()
  }

  return {
    setLimit: next => { limit = next },
    setOwn,
    setPeers: names => peers.setPeers(rankByRendezvous(`${vm} ${limit.name}`, names)),
    tryAcquire,
    acquire,
    lend,
    maintain,
    expireLoans,
    isIdle: () => inUse() + waiters.size() + ledger.lent() === 0,
    snapshot,
    close
  }
}
