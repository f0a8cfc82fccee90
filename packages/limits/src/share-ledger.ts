/**
 * Ledger of the amount of one limit that this VM may use: its own amount, minus what it lent, plus what it borrowed.
 *
 * Amounts are in the unit of the caller: fractions of a rate limit, or whole connections. Over the whole fleet, the sum
 * of all usable amounts stays at or below the sum of all own amounts:
 * - A lender counts a loan from the moment it grants it until its duration and a margin have passed on its clock.
 * - A borrower counts the same loan from the moment the reply arrives until the loan's duration has passed since it
 *   SENT the request, which is earlier. It also checks the wall clock, because the monotonic clock of a paused host may
 *   have stopped.
 * - The own amount shrinks at once and grows only after the longest loan and its margin (see own-share.ts).
 */
import type { Clock } from '@egretyoke/common'
import { createExpiringAmounts } from './expiring-amounts.js'
import type { ExpiringAmounts } from './expiring-amounts.js'

/** Maximum number of borrowers in a ledger; each incarnation of a VM counts as one. */
const maxBorrowers = 4096

/** Maximum number of lenders in a ledger. */
const maxLenders = 1024

/** Amounts of one limit that this VM owns, has lent and has borrowed, in the unit of the caller. */
export type ShareLedger = {
  /** Sets the own amount with immediate effect. */
  setOwn: (amount: number) => void
  own: () => number
  /** Currently usable amount: own - lent + borrowed, at least 0. */
  usable: () => number
  lent: () => number
  lentTo: (borrower: string) => number
  /** Counts a loan as lent until its duration and margin have passed. False when the ledger has too many borrowers. */
  lend: (borrower: string, amount: number, ttlMs: number) => boolean
  /** Duration of a loan including the margin for which the lender counts it, in milliseconds. */
  ttlWithMarginMs: (ttlMs: number) => number
  borrowed: () => number
  borrowedFrom: (lender: string) => number
  /** Unexpired loans by lender, with the amount and its expiry on this VM's monotonic clock. */
  heldLoans: () => Array<{ lender: string, amount: number, untilMs: number }>
  /** Counts a loan as borrowed until the earlier of the given times on the monotonic and the wall clock. */
  borrow: (lender: string, amount: number, untilMs: number, wallUntilMs: number) => void
  /** Borrowed amount that does not expire within the given time on either clock. */
  borrowedForAtLeast: (ms: number) => number
  /** Ends the loans of one lender, or of all lenders. */
  dropBorrowed: (lender?: string) => void
  /** Time at which the next lent or borrowed amount expires on the monotonic clock; Infinity when there is none. */
  nextChangeMs: () => number
  /** Ends borrowed loans that have expired on the wall clock; true when there were any. */
  expireByWallClock: () => boolean
  /** Ends loans that have expired at the given time of the monotonic clock. */
  advanceTo: (nowMs: number) => void
}

/** Clocks and loan durations of a ledger. */
export type ShareLedgerOptions = {
  clock: Clock
  wallClock: Clock
  /** Maximum duration of a loan, in milliseconds. */
  loanTtlMs: number
  /** Time for which a lender counts the longest loan beyond its end, in milliseconds; shorter loans in proportion. */
  loanMarginMs: number
}

/** Creates a ledger with an own amount of 0. */
export const createShareLedger = (options: ShareLedgerOptions): ShareLedger => {
  const { clock, wallClock, loanTtlMs, loanMarginMs } = options
  const lentByBorrower = new Map<string, ExpiringAmounts>()
  const borrowedByLender = new Map<string, ExpiringAmounts>()
  let ownAmount = 0
  let cached = { lent: 0, borrowed: 0, nextChangeMs: Infinity, nextWallExpiryMs: Infinity }

  const sum = (amounts: Map<string, ExpiringAmounts>) => {
    let total = 0
    for (const amount of amounts.values()) total += amount.current()
    return total
  }

  const refreshCache = () => {
    const expiries = [...lentByBorrower.values(), ...borrowedByLender.values()].map(amounts => amounts.nextExpiryMs())
    const wallExpiries = [...borrowedByLender.values()].map(amounts => amounts.nextWallExpiryMs())
    cached = {
      lent: sum(lentByBorrower),
      borrowed: sum(borrowedByLender),
      nextChangeMs: Math.min(...expiries),
      nextWallExpiryMs: Math.min(...wallExpiries)
    }
  }

  const setOwn = (amount: number) => {
    ownAmount = amount
  }

  const expireAll = (amounts: Map<string, ExpiringAmounts>, nowMs: number, wallNowMs: number) => {
    for (const [name, agreements] of amounts) {
      agreements.expire(nowMs, wallNowMs)
      if (agreements.current() === 0) amounts.delete(name)
    }
  }

  const advanceTo = (nowMs: number) => {
    if (nowMs < cached.nextChangeMs) return
    expireAll(lentByBorrower, nowMs, -Infinity)
    expireAll(borrowedByLender, nowMs, -Infinity)
    refreshCache()
  }

  const expireByWallClock = () => {
    const wallNowMs = wallClock()
    if (wallNowMs < cached.nextWallExpiryMs) return false
    expireAll(borrowedByLender, -Infinity, wallNowMs)
    refreshCache()
    return true
  }

  const recordOf = (amounts: Map<string, ExpiringAmounts>, name: string, mayMerge: boolean) => {
    const record = amounts.get(name) ?? createExpiringAmounts(mayMerge)
    amounts.set(name, record)
    return record
  }

  const ttlWithMarginMs = (ttlMs: number) => ttlMs * (1 + loanMarginMs / loanTtlMs)

  const lend = (borrower: string, amount: number, ttlMs: number) => {
    if (!lentByBorrower.has(borrower) && lentByBorrower.size >= maxBorrowers) return false
    recordOf(lentByBorrower, borrower, true).add(amount, clock() + ttlWithMarginMs(ttlMs))
    refreshCache()
    return true
  }

  const borrow = (lender: string, amount: number, untilMs: number, wallUntilMs: number) => {
    if (!borrowedByLender.has(lender) && borrowedByLender.size >= maxLenders) return
    recordOf(borrowedByLender, lender, false).add(amount, untilMs, wallUntilMs)
    refreshCache()
  }

  const borrowedForAtLeast = (ms: number) => {
    const untilMs = clock() + ms
    const wallUntilMs = wallClock() + ms
    let total = 0
    for (const amounts of borrowedByLender.values()) total += amounts.amountUntil(untilMs, wallUntilMs)
    return total
  }

  const dropBorrowed = (lender?: string) => {
    if (lender === undefined) borrowedByLender.clear()
    else borrowedByLender.delete(lender)
    refreshCache()
  }

  const heldLoans = () => [...borrowedByLender].map(([lender, amounts]) =>
    ({ lender, amount: amounts.current(), untilMs: amounts.largestExpiryMs() }))

  return {
    setOwn,
    own: () => ownAmount,
    usable: () => Math.max(0, ownAmount - cached.lent + cached.borrowed),
    lent: () => cached.lent,
    lentTo: borrower => lentByBorrower.get(borrower)?.current() ?? 0,
    lend,
    ttlWithMarginMs,
    borrowed: () => cached.borrowed,
    borrowedFrom: lender => borrowedByLender.get(lender)?.current() ?? 0,
    heldLoans,
    borrow,
    borrowedForAtLeast,
    dropBorrowed,
    nextChangeMs: () => cached.nextChangeMs,
    expireByWallClock,
    advanceTo
  }
}
