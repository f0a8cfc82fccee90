/**
 * The VM's shares of all rate limits. The fleet as a whole admits at most `burst + ratePerSec * T` requests in any
 * interval T under each limit, whatever fails; see token-share.ts for the argument and README.md for alternatives.
 *
 * The caller must ensure two conditions:
 * - `setRoster` gets the larger of the old and the new slot count until every holder of an old slot has called it with
 *   that count; only then may a new member be added or the smaller count be passed.
 * - A slot passes to another VM only when the old holder has released it, has restarted, or has been removed.
 */
import { isDeepStrictEqual } from 'node:util'
import type { Clock, Logger } from '@egretyoke/common'
import { monotonicMs } from '@egretyoke/common'
import { noLoan } from './borrow-messages.js'
import type { BorrowReply, BorrowRequest } from './borrow-messages.js'
import type { LoanPolicy } from './borrowing.js'
import { events } from './events.js'
import { loans } from './loan-policy.js'
import { createLimitShare } from './limit-share.js'
import type { AcquireResult, LimitShare, LimitSnapshot } from './limit-share.js'
import { createOwnShare } from './own-share.js'
import { afterMs } from './timers.js'
import type { After } from './timers.js'
import type { RateLimit } from './token-share.js'

/** Number of maintenance rounds within the longest loan. */
export const maintenanceRoundsPerLoan = 8

/** `retryAfterMs` of a request that is refused because its limit is unknown. */
const unknownLimitRetryAfterMs = 1000

/** Maximum number of shares per allowed limit; shares of removed limits are kept until their loans expire. */
const maxSharesPerLimit = 2

/** The VMs among which limits are divided. */
export type Roster = {
  members: string[]
  /** Number of equal slots; at least the number of members. */
  slotCount: number
}

/** Dependencies and options of a share table. */
export type ShareTableOptions = {
  vm: string
  incarnation: number
  /** Maximum duration of a loan, in milliseconds. */
  loanTtlMs: number
  /** Time after the end of the longest loan for which its lender still counts it, in milliseconds. */
  loanMarginMs: number
  /** Delay until a larger own share takes effect, in milliseconds; at least the longest loan and its margin. */
  growthDelayMs?: number
  /** Maximum number of limits; requests under further limits are refused. */
  maxLimits: number
  /** Sends a loan request to a peer; undefined when the peer did not reply in time. */
  sendBorrowRequest: (peer: string, request: BorrowRequest) => Promise<BorrowReply | undefined>
  log: Logger
  /** If true, the VM owns nothing until loans of its previous incarnation expire; false only in a new fleet. */
  startupHold: boolean
  /** Policy for lending and borrowing; defaults to `loans`, experiments pass others. */
  policy?: LoanPolicy
  clock?: Clock
  wallClock?: Clock
  after?: After
}

/** The VM's shares of all rate limits. */
export type ShareTable = {
  setRoster: (roster: Roster) => void
  /** Replaces the definitions of all limits. */
  setLimits: (limits: RateLimit[]) => void
  tryAcquire: (limit: string) => boolean
  /** Acquires one token; waits for a loan or the refill for at most the given time. */
  acquire: (limit: string, maxWaitMs: number, signal?: AbortSignal) => Promise<AcquireResult>
  /** Grants or refuses a peer's loan request. */
  lend: (request: BorrowRequest) => BorrowReply
  /** Ends all borrowed loans; called when the host may have been paused. */
  expireLoans: () => void
  snapshot: () => LimitSnapshot[]
  close: () => void
}

/** Creates a table without limits, and starts to renew loans in the background. */
export const createShareTable = (options: ShareTableOptions): ShareTable => {
  const { vm, loanTtlMs, maxLimits, log, policy = loans } = options
  const { clock = monotonicMs, wallClock = Date.now, after = afterMs } = options
  const shares = new Map<string, LimitShare>()
  const newestIncarnations = new Map<string, number>()
  const { loanMarginMs, startupHold } = options
  const growthDelayMs = Math.max(options.growthDelayMs ?? 0, loanTtlMs + loanMarginMs)
  const ownShare = createOwnShare({ clock, growthDelayMs, startupHold })
  let roster: Roster | undefined
  let peers: string[] = []
  let definedNames = new Set<string>()
  let hasLimits = false
  let cancelMaintenance = () => {}

  const setRoster = (next: Roster) => {
    if (isDeepStrictEqual(next, roster)) return
    roster = structuredClone(next)
    const { members, slotCount } = next
    peers = members.filter(member => member !== vm)
    ownShare.set(members.includes(vm) ? 1 / Math.max(slotCount, members.length) : 0)
    for (const peer of newestIncarnations.keys()) if (!members.includes(peer)) newestIncarnations.delete(peer)
    for (const share of shares.values()) {
      share.setPeers(peers)
      share.setOwnFraction(ownShare.current())
    }
    log(events.shareChanged, { slotCount, members, ownFractionNow: ownShare.current() })
  }

  const addShare = (limit: RateLimit) => {
    if (shares.size >= maxSharesPerLimit * maxLimits) return
    const share = createLimitShare(limit, {
      ...options, clock, wallClock, after, policy, startsFull: !startupHold && !hasLimits
    })
    shares.set(limit.name, share)
    share.setPeers(peers)
    share.setOwnFraction(ownShare.current())
  }

  // A removed limit keeps its share until its loans have expired, in case the limit is defined again.
  const removeWithdrawn = () => {
    for (const [name, share] of shares) {
      if (definedNames.has(name) || !share.isIdle()) continue
      share.close()
      shares.delete(name)
    }
  }

  const setLimits = (limits: RateLimit[]) => {
    const accepted = limits.slice(0, maxLimits)
    definedNames = new Set(accepted.map(({ name }) => name))
    removeWithdrawn()
    for (const limit of accepted) {
      const existing = shares.get(limit.name)
      if (existing === undefined) addShare(limit)
      else existing.setLimit(limit)
    }
    hasLimits = true
    if (limits.length > maxLimits) log(events.limitsRefused, { limits: limits.length, maxLimits })
  }

  const shareOf = (limit: string) => definedNames.has(limit) ? shares.get(limit) : undefined

  const acquire = async (limit: string, maxWaitMs: number, signal?: AbortSignal): Promise<AcquireResult> => {
    const share = shareOf(limit)
    if (share !== undefined) return share.acquire(maxWaitMs, signal)
    return { admitted: false, retryAfterMs: unknownLimitRetryAfterMs, reason: 'unknownLimit' }
  }

  const isOldIncarnation = ({ borrower, incarnation }: BorrowRequest) => {
    const newest = newestIncarnations.get(borrower) ?? 0
    if (peers.includes(borrower)) newestIncarnations.set(borrower, Math.max(newest, incarnation))
    return incarnation < newest
  }

  const lend = (request: BorrowRequest): BorrowReply => {
    const share = shareOf(request.limit)
    const reply = share === undefined
      ? noLoan('unknownLimit')
      : isOldIncarnation(request) ? noLoan('oldIncarnation') : share.lend(request)
    if (reply.reason !== '' && reply.reason !== 'nothingToSpare') {
      log(events.loanRefused, { borrower: request.borrower, limit: request.limit, reason: reply.reason })
    }
    return reply
  }

  const expireLoans = () => {
    for (const share of shares.values()) share.expireLoans()
    log(events.loansExpired, { limits: shares.size })
  }

  const maintain = () => {
    removeWithdrawn()
    for (const share of shares.values()) {
      share.setOwnFraction(ownShare.current())
      share.maintain()
    }
    cancelMaintenance = after(loanTtlMs / maintenanceRoundsPerLoan, maintain)
  }

  const close = () => {
    cancelMaintenance()
    for (const share of shares.values()) share.close()
    shares.clear()
  }

  maintain()
  return {
    setRoster,
    setLimits,
    tryAcquire: limit => shareOf(limit)?.tryAcquire() ?? false,
    acquire,
    lend,
    expireLoans,
    snapshot: () => [...shares.values()].map(share => share.snapshot()),
    close
  }
}
