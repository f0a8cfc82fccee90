/**
 * Borrowing through one VM, the limit's pool, which borrows the shares of all other VMs while any VM has demand. It is
 * used for limits whose burst is so small that, divided among the VMs, hardly any VM could hold a whole token.
 *
 * The pool is the first reachable member in the limit's rendezvous order, so that the pools of many limits are spread
 * evenly over the VMs. When the pool VM stops, its loans expire and the next member becomes the pool.
 */
import { tokenLoanTtlMs } from './borrowing.js'
import type { BorrowingContext, BorrowingStrategy, LenderReserve, LoanRequest } from './borrowing.js'

/** Duration of loans to the pool as a fraction of the longest loan; short, so that loans end soon if the pool stops. */
const poolLoanFraction = 1 / 3

/** Time after the last demand for which the pool keeps renewing its loans, in milliseconds. */
const poolIdleTimeoutMs = 2000

/** Demand below which a VM counts as idle, in requests per second. */
const negligibleDemandPerSec = 0.05

/** Maximum interval between two token requests to the pool, in milliseconds. */
const maxPollIntervalMs = 25

/** A lender whose loan is below this fraction of its share receives another loan request. */
const renewalThreshold = 0.9

/** Creates the borrowing strategy of a VM for a limit with a pool. */
export const createPooledBorrowing = (context: BorrowingContext): BorrowingStrategy => {
  const { vm, loanTtlMs, nowMs, shareState, ledger, peers, rankedMembers, expectedGrants, requestLoan } = context
  const poolTtlMs = loanTtlMs * poolLoanFraction
  let lastRequestMs = -Infinity
  let lastPollMs = -Infinity

  const poolVm = () => rankedMembers().find(member => member === vm || !peers.isUnreachable(member))

  // A VM that receives token requests acts as the pool for their senders, even if it considers another VM the pool.
  const isPool = () => poolVm() === vm || nowMs() - lastRequestMs < loanTtlMs

  const isNeeded = () =>
    nowMs() - lastRequestMs < poolIdleTimeoutMs ||
    shareState().demandPerSec > negligibleDemandPerSec ||
    shareState().waiting > 0

  // The pool gains one token every 1/rate seconds.
  const nextPollMs = () => {
    const pollIntervalMs = Math.min(maxPollIntervalMs, 1000 / shareState().ratePerSec)
    return Math.min(peers.backoffUntilMs(poolVm() ?? vm), lastPollMs + pollIntervalMs)
  }

  const collectLoans = () => {
    const fractionEach = 1 / rankedMembers().length
    const fullLoanExpiryMs = new Map(ledger.heldLoans()
      .filter(({ amount }) => amount >= renewalThreshold * fractionEach)
      .map(({ lender, untilMs }) => [lender, untilMs]))
    for (const peer of peers.select(rankedMembers().length)) {
      const remainingMs = (fullLoanExpiryMs.get(peer) ?? 0) - nowMs()
      if (remainingMs > poolTtlMs / 2) continue
      requestLoan(peer, { tokens: 0, fraction: fractionEach, ttlMs: poolTtlMs })
    }
  }

  const fetchFromPool = () => {
    const pool = poolVm()
    if (pool === undefined || peers.isPending(pool) || nowMs() < nextPollMs()) return
    const { waiting, tokens, burst } = shareState()
    const expected = expectedGrants()
    const missing = Math.min(waiting, Math.floor(burst)) - tokens - expected.tokens
    if (missing <= 0) return
    lastPollMs = nowMs()
    requestLoan(pool, { tokens: missing, fraction: 0, ttlMs: tokenLoanTtlMs(context) })
  }

  const fetch = () => {
    if (isPool()) collectLoans()
    if (poolVm() !== vm) fetchFromPool()
  }

  const maintain = () => {
    if (isPool() && isNeeded()) collectLoans()
    if (shareState().waiting > 0) fetch()
  }

  // Lends the pool everything but the capacity for tokens that requests wait for here. A VM that acts as the pool
  // although it considers another VM the pool retains the whole limit.
  const reserveForPool = (waitingFraction: number): LenderReserve => {
    const isActingPool = isPool() && poolVm() !== vm
    return { keepTokens: shareState().waiting, keepFraction: isActingPool ? 1 : waitingFraction }
  }

  const reserveFor = ({ isLongTerm }: LoanRequest): LenderReserve => {
    const { waiting, burst } = shareState()
    const waitingFraction = burst > 0 ? waiting / burst : 0
    if (isLongTerm) return reserveForPool(waitingFraction)
    lastRequestMs = nowMs()
    if (isPool()) collectLoans()
    return { keepTokens: waiting, keepFraction: waitingFraction }
  }

  return { fetch, maintain, reserveFor, nextFetchMs: nextPollMs }
}
