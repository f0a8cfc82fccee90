/**
 * Borrowing through one VM, the limit's pool, which borrows the shares of all other VMs while any VM has demand. It is
 * used for limits whose burst is so small that, divided among the VMs, hardly any VM could hold a whole token.
 *
 * The pool is the first reachable member in the limit's rendezvous order, so that the pools of many limits are spread
 * evenly over the VMs. When the pool VM stops, its loans expire and the next member becomes the pool.
 */
import { shortTtlMs } from './borrowing.js'
import type { Borrowing, BorrowingContext, LoanRequest, Offer } from './borrowing.js'

/** Duration of loans to the pool as a fraction of the longest loan; short, so that loans end soon if the pool stops. */
const poolLoanPart = 1 / 3

/** Time after the last demand for which the pool keeps renewing its loans, in milliseconds. */
const idleAfterMs = 2000

/** Demand below which a VM counts as idle, in requests per second. */
const negligibleDemandPerSec = 0.05

/** Maximum interval between two token requests to the pool, in milliseconds. */
const maxPollMs = 25

/** A lender whose loan is below this fraction of its share receives another loan request. */
const wholePart = 0.9

/** Creates the borrowing strategy of a VM for a limit with a pool. */
export const createPooledBorrowing = (context: BorrowingContext): Borrowing => {
  const { vm, loanTtlMs, nowMs, situation, ledger, peers, ranked, expectedSoon, ask } = context
  const poolTtlMs = loanTtlMs * poolLoanPart
  let lastAskedMs = -Infinity
  let polledMs = -Infinity

  const poolVm = () => ranked().find(member => member === vm || !peers.isUnreachable(member))

  // A VM that receives token requests acts as the pool for their senders, even if it considers another VM the pool.
  const isPool = () => poolVm() === vm || nowMs() - lastAskedMs < loanTtlMs

  const isNeeded = () =>
    nowMs() - lastAskedMs < idleAfterMs || situation().demandPerSec > negligibleDemandPerSec || situation().waiting > 0

  // The pool gains one token every 1/rate seconds.
  const nextPollMs = () => {
    const pauseMs = Math.min(maxPollMs, 1000 / situation().ratePerSec)
    return Math.min(peers.pausedUntilMs(poolVm() ?? vm), polledMs + pauseMs)
  }

  const collect = () => {
    const partEach = 1 / ranked().length
    const fullUntilMs = new Map(ledger.loansHeld()
      .filter(({ amount }) => amount >= wholePart * partEach)
      .map(({ lender, untilMs }) => [lender, untilMs]))
    for (const peer of peers.choose(ranked().length)) {
      const leftMs = (fullUntilMs.get(peer) ?? 0) - nowMs()
      if (leftMs > poolTtlMs / 2) continue
      ask(peer, { tokens: 0, fraction: partEach, ttlMs: poolTtlMs })
    }
  }

  const fetchFromPool = () => {
    const pool = poolVm()
    if (pool === undefined || peers.isAsked(pool) || nowMs() < nextPollMs()) return
    const { waiting, tokens, burst } = situation()
    const expected = expectedSoon()
    const missing = Math.min(waiting, Math.floor(burst)) - tokens - expected.tokens
    if (missing <= 0) return
    polledMs = nowMs()
    ask(pool, { tokens: missing, fraction: 0, ttlMs: shortTtlMs(context) })
  }

  const fetch = () => {
    if (isPool()) collect()
    if (poolVm() !== vm) fetchFromPool()
  }

  const maintain = () => {
    if (isPool() && isNeeded()) collect()
    if (situation().waiting > 0) fetch()
  }

  // Lends the pool everything but the capacity for tokens that requests wait for here. A VM that acts as the pool
  // although it considers another VM the pool retains the whole limit.
  const offerToPool = (waitingPart: number): Offer => {
    const standsIn = isPool() && poolVm() !== vm
    return { keepTokens: situation().waiting, keepFraction: standsIn ? 1 : waitingPart }
  }

  const offer = ({ isLasting }: LoanRequest): Offer => {
    const { waiting, burst } = situation()
    const waitingPart = burst > 0 ? waiting / burst : 0
    if (isLasting) return offerToPool(waitingPart)
    lastAskedMs = nowMs()
    if (isPool()) collect()
    return { keepTokens: waiting, keepFraction: waitingPart }
  }

  return { fetch, maintain, offer, nextFetchMs: nextPollMs }
}
