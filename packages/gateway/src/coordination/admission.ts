/**
 * Admits operations within their workspace's rate limit, with tokens prefetched from the gateway that allocates the
 * limit's tokens. While no allocator replies, this gateway admits at its last known share of the rate.
 */
import type { Logger } from '@egretyoke/common'
import type { RelayMessages } from '@egretyoke/protocol'
import { events } from '../events.js'
import { createTokenBucket } from '../state/token-bucket.js'
import type { TokenBucket } from '../state/token-bucket.js'

/** Demand that is prefetched, in milliseconds of the recent rate. */
const fetchAheadMs = 400
/** Tokens that are not used within this time after they were fetched expire. */
const tokenLifeMs = 1000
const retryDelayMs = 80
/** How long the last known share of a rate is used while no allocator replies. */
const fallbackMs = 8000
const maxWaiting = 256
/** Weight of the latest second in the exponentially smoothed demand. */
const demandSmoothing = 0.5

/** Requests tokens from the workspace's allocator; undefined if there is no reply. */
export type AskForTokens = (workspace: string, wanted: number) => Promise<RelayMessages.Tokens__Output | undefined>

/** Admission of operations by rate limit. */
export type Admission = {
  /** Waits up to `maxWaitMs` for a token. False if the limit is exhausted or the allocator does not reply in time. */
  admit: (workspace: string, maxWaitMs: number) => Promise<boolean>
  /** Drops the state of workspaces that are not in the set. */
  retain: (workspaces: ReadonlySet<string>) => void
}

type Account = {
  tokens: number
  fetchedAtMs: number
  demandPerSec: number
  arrivals: number
  secondStartedMs: number
  isFetching: boolean
  waiting: Array<{ untilMs: number, settle: (admitted: boolean) => void }>
  lastKeptMs: number
  fallback: TokenBucket
}

/** Creates the admission of one gateway. `startingRate` is its assumed share until an allocator reports the share. */
export const createAdmission = (
  ask: AskForTokens, startingRate: (workspace: string) => number, log: Logger
): Admission => {
  const accounts = new Map<string, Account>()
  const nowMs = () => performance.now()

  const accountOf = (workspace: string): Account => {
    const known = accounts.get(workspace)
    if (known !== undefined) return known
    const fallback = createTokenBucket({ ratePerSec: startingRate(workspace), burst: 1 })
    const account: Account = {
      tokens: 0,
      fetchedAtMs: 0,
      demandPerSec: 0,
      arrivals: 0,
      secondStartedMs: nowMs(),
      isFetching: false,
      waiting: [],
      lastKeptMs: nowMs(),
      fallback
    }
    accounts.set(workspace, account)
    return account
  }

  const noteArrival = (account: Account) => {
    account.arrivals++
    const elapsedMs = nowMs() - account.secondStartedMs
    if (elapsedMs < 1000) return
    const perSec = account.arrivals * 1000 / elapsedMs
    account.demandPerSec += (perSec - account.demandPerSec) * demandSmoothing
    account.arrivals = 0
    account.secondStartedMs = nowMs()
  }

  const usableTokens = (account: Account) => nowMs() - account.fetchedAtMs < tokenLifeMs ? account.tokens : 0

  const serveWaiting = (account: Account) => {
    account.tokens = usableTokens(account)
    while (account.tokens > 0 && account.waiting.length > 0) {
      account.tokens--
      account.waiting.shift()?.settle(true)
    }
  }

  const serveFromFallback = (account: Account) => {
    if (nowMs() - account.lastKeptMs > fallbackMs) return
    while (account.waiting.length > 0 && account.fallback.take(1) === 1) account.waiting.shift()?.settle(true)
  }

  const refuseLate = (workspace: string, account: Account) => {
    while (account.waiting.length > 0 && nowMs() >= account.waiting[0].untilMs) {
      account.waiting.shift()?.settle(false)
      log(events.limitReached, { workspace, keeperAgeMs: Math.round(nowMs() - account.lastKeptMs) })
    }
  }

  const fetch = async (workspace: string, account: Account): Promise<boolean> => {
    const ahead = Math.ceil(account.demandPerSec * fetchAheadMs / 1000)
    const wanted = account.waiting.length + ahead - usableTokens(account)
    const tokens = await ask(workspace, Math.max(1, Math.ceil(wanted)))
    if (tokens === undefined || !tokens.isKeeper) return false
    account.lastKeptMs = nowMs()
    if (tokens.ratePartPerSec > 0) account.fallback.setTerms({ ratePerSec: tokens.ratePartPerSec, burst: 1 })
    if (tokens.granted === 0) return false
    account.tokens = usableTokens(account) + tokens.granted
    account.fetchedAtMs = nowMs()
    return true
  }

  const fetchFor = async (workspace: string, account: Account) => {
    if (account.isFetching) return
    account.isFetching = true
    do {
      const hasTokens = await fetch(workspace, account)
      serveWaiting(account)
      if (!hasTokens && nowMs() - account.lastKeptMs > retryDelayMs) serveFromFallback(account)
      refuseLate(workspace, account)
      if (!hasTokens && account.waiting.length > 0) await new Promise(resolve => setTimeout(resolve, retryDelayMs))
    } while (account.waiting.length > 0)
    account.isFetching = false
  }

  const admit = (workspace: string, maxWaitMs: number) => new Promise<boolean>(resolve => {
    const account = accountOf(workspace)
    noteArrival(account)
    account.waiting.push({ untilMs: nowMs() + maxWaitMs, settle: resolve })
    serveWaiting(account)
    if (account.waiting.length > maxWaiting) account.waiting.pop()?.settle(false)
    const low = account.demandPerSec * fetchAheadMs / 2000
    if (account.waiting.length > 0 || usableTokens(account) < low) fetchFor(workspace, account)
  })

  return {
    admit,
    retain: workspaces => {
      for (const [workspace, { waiting }] of accounts) {
        if (!workspaces.has(workspace) && waiting.length === 0) accounts.delete(workspace)
      }
    }
  }
}
