/**
 * Admits operations within their workspace's rate limit, with tokens prefetched from the gateway that allocates the
 * limit's tokens. While no allocator replies, this gateway admits at its last known share of the rate.
 */
import type { Logger } from '@egretyoke/common'
import type { RelayMessages } from '@egretyoke/protocol'
import { events } from '../../events.js'
import { createTokenBucket } from '../../state/token-bucket.js'
import type { TokenBucket } from '../../state/token-bucket.js'
import type { FallbackLimits } from './fallback-limits.js'

/** Demand that is prefetched, in milliseconds of the recent rate. */
const prefetchMs = 400
/** Tokens that are not used within this time after they were fetched expire. */
const tokenLifetimeMs = 1000
const retryDelayMs = 80
/** How long the last known share of a rate is used while no allocator replies. */
const fallbackDurationMs = 8000
const maxWaiting = 256
/** Weight of the latest second in the exponentially smoothed demand. */
const demandSmoothing = 0.5

/** Requests tokens from the workspace's allocator; undefined if there is no reply. */
export type RequestTokens = (workspace: string, requested: number) => Promise<RelayMessages.Tokens__Output | undefined>

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
  waiting: Array<{ deadlineMs: number, complete: (admitted: boolean) => void }>
  lastReplyMs: number
  /** Share of the rate that the allocator reported last; undefined if it has reported none. */
  sharePerSec: number | undefined
  /** Exists while no allocator replies, so that tokens do not accrue beside those of the allocator. */
  fallback: TokenBucket | undefined
}

/**
 * Creates the admission of one gateway. `fallbackFor` gives the limits while no allocator answers, for a share of the
 * rate, or for an assumed share until an allocator has reported one.
 */
export const createAdmission = (
  requestTokens: RequestTokens, fallbackFor: (workspace: string, sharePerSec?: number) => FallbackLimits, log: Logger
): Admission => {
  const accounts = new Map<string, Account>()
  const nowMs = () => performance.now()

  const accountOf = (workspace: string): Account => {
    const existing = accounts.get(workspace)
    if (existing !== undefined) return existing
    const account: Account = {
      tokens: 0,
      fetchedAtMs: 0,
      demandPerSec: 0,
      arrivals: 0,
      secondStartedMs: nowMs(),
      isFetching: false,
      waiting: [],
      lastReplyMs: nowMs(),
      sharePerSec: undefined,
      fallback: undefined
    }
    accounts.set(workspace, account)
    return account
  }

  const recordArrival = (account: Account) => {
    account.arrivals++
    const elapsedMs = nowMs() - account.secondStartedMs
    if (elapsedMs < 1000) return
    const perSec = account.arrivals * 1000 / elapsedMs
    account.demandPerSec += (perSec - account.demandPerSec) * demandSmoothing
    account.arrivals = 0
    account.secondStartedMs = nowMs()
  }

  const usableTokens = (account: Account) => nowMs() - account.fetchedAtMs < tokenLifetimeMs ? account.tokens : 0

  const admitWaiting = (account: Account) => {
    account.tokens = usableTokens(account)
    while (account.tokens > 0 && account.waiting.length > 0) {
      account.tokens--
      account.waiting.shift()?.complete(true)
    }
  }

  const startFallback = (workspace: string, { sharePerSec }: Account): TokenBucket => {
    const { initialTokens, ...limits } = fallbackFor(workspace, sharePerSec)
    const bucket = createTokenBucket(limits)
    bucket.add(initialTokens)
    return bucket
  }

  const admitFromFallback = (workspace: string, account: Account) => {
    if (nowMs() - account.lastReplyMs > fallbackDurationMs) return
    account.fallback ??= startFallback(workspace, account)
    while (account.waiting.length > 0 && account.fallback.acquire(1) === 1) account.waiting.shift()?.complete(true)
  }

  const refuseExpired = (workspace: string, account: Account) => {
    while (account.waiting.length > 0 && nowMs() >= account.waiting[0].deadlineMs) {
      account.waiting.shift()?.complete(false)
      log(events.limitReached, { workspace, keeperAgeMs: Math.round(nowMs() - account.lastReplyMs) })
    }
  }

  const fetch = async (workspace: string, account: Account): Promise<boolean> => {
    const prefetched = Math.ceil(account.demandPerSec * prefetchMs / 1000)
    const requested = account.waiting.length + prefetched - usableTokens(account)
    const tokens = await requestTokens(workspace, Math.max(1, Math.ceil(requested)))
    if (tokens === undefined || !tokens.isKeeper) return false
    account.lastReplyMs = nowMs()
    account.fallback = undefined
    if (tokens.ratePartPerSec > 0) account.sharePerSec = tokens.ratePartPerSec
    if (tokens.granted === 0) return false
    account.tokens = usableTokens(account) + tokens.granted
    account.fetchedAtMs = nowMs()
    return true
  }

  const fetchWhileWaiting = async (workspace: string, account: Account) => {
    if (account.isFetching) return
    account.isFetching = true
    do {
      const hasTokens = await fetch(workspace, account)
      admitWaiting(account)
      if (!hasTokens && nowMs() - account.lastReplyMs > retryDelayMs) admitFromFallback(workspace, account)
      refuseExpired(workspace, account)
      if (!hasTokens && account.waiting.length > 0) await new Promise(resolve => setTimeout(resolve, retryDelayMs))
    } while (account.waiting.length > 0)
    account.isFetching = false
  }

  const admit = (workspace: string, maxWaitMs: number) => new Promise<boolean>(resolve => {
    const account = accountOf(workspace)
    recordArrival(account)
    account.waiting.push({ deadlineMs: nowMs() + maxWaitMs, complete: resolve })
    admitWaiting(account)
    if (account.waiting.length > maxWaiting) account.waiting.pop()?.complete(false)
    const refillThreshold = account.demandPerSec * prefetchMs / 2000
    if (account.waiting.length > 0 || usableTokens(account) < refillThreshold) fetchWhileWaiting(workspace, account)
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
