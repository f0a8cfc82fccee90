/**
 * Hands out the tokens of the workspaces' limits for the whole fleet. Workspaces are spread over shards; each shard has
 * one keeper, which claims it with a record on its lease, and which answers only while that lease is surely held. So
 * two keepers never hand out the same tokens. A new keeper's buckets are empty but for a small allowance: what its
 * predecessor may have handed out until its end counts as spent.
 */
import { createHash } from 'node:crypto'
import { monotonicMs, sleepMs } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import type { RelayMessages } from '@egretyoke/protocol'
import { events } from '../events.js'
import type { FleetView } from '../state/fleet-view.js'
import { readLimitRecord, recordKeys, writeRecord } from '../state/stored-records.js'
import { createTokenBucket } from '../state/token-bucket.js'
import type { TokenBucket } from '../state/token-bucket.js'
import type { Election } from './election.js'
import type { Membership } from './membership.js'
import type { SharedStore } from './shared-store.js'

/** The process's start on the monotonic clock. */
const processStartMs = 0

/** Shards of the workspaces. A shard's keeper serves all gateways, so that more shards spread its work. */
export const limitShards = 8
const claimIntervalMs = 100
const storeTimeoutMs = 900
/**
 * What a new keeper's bucket holds at once, as a part of the rate and in tokens. It may come on top of all that its
 * predecessor handed out, and stays a fraction of what limits may be exceeded by.
 */
const firstTokens = { ofRate: 0.1, atLeast: 5 } as const
/** Over this time the askers' parts of a rate are worked out, in milliseconds. */
const partWindowMs = 2000

/** The shard of a workspace. */
export const shardOf = (workspace: string): number =>
  createHash('sha256').update(workspace).digest().readUInt32BE(0) % limitShards

/** The part of this gateway in keeping the limits. */
export type LimitKeeper = {
  take: (request: RelayMessages.TakeTokens__Output) => RelayMessages.Tokens__Output
  /** Claims shards without a keeper, until the signal aborts. */
  run: (signal: AbortSignal) => Promise<void>
  /** Gives all shards up. */
  leave: () => Promise<void>
}

/** What the keeper works with. */
export type LimitKeeperOptions = {
  /** NAME/INCARNATION of this process. */
  self: string
  name: string
  view: FleetView
  election: Election
  membership: Membership
  store: SharedStore
  log: Logger
}

type Account = {
  bucket: TokenBucket, grantedBy: Map<string, number>, windowSinceMs: number, parts: Map<string, number>
}

/** Creates a keeper without shards. */
export const createLimitKeeper = (options: LimitKeeperOptions): LimitKeeper => {
  const { self, name, view, election, membership, store, log } = options
  const accounts = new Map<string, Account>()
  const claimedAtMs = new Map<number, number>()
  let isLeaving = false

  const isMine = (shard: number) => view.limitKeeper(shard)?.keeper === self && membership.isLeaseHeld()

  const accountOf = (workspace: string, ratePerSec: number, burst: number): Account => {
    const known = accounts.get(workspace)
    if (known !== undefined) {
      known.bucket.setTerms({ ratePerSec, burst })
      return known
    }
    const emptyAtMs = claimedAtMs.get(shardOf(workspace))
    const bucket = createTokenBucket({ ratePerSec, burst }, monotonicMs, emptyAtMs)
    bucket.add(firstTokens.ofRate * ratePerSec + firstTokens.atLeast)
    const account = { bucket, grantedBy: new Map(), windowSinceMs: monotonicMs(), parts: new Map() }
    accounts.set(workspace, account)
    return account
  }

  /** Notes a grant; the askers' parts are those of the last whole window. */
  const noteGrant = (account: Account, asker: string, granted: number) => {
    if (monotonicMs() - account.windowSinceMs > partWindowMs) {
      account.parts = account.grantedBy
      account.grantedBy = new Map()
      account.windowSinceMs = monotonicMs()
    }
    account.grantedBy.set(asker, (account.grantedBy.get(asker) ?? 0) + granted)
  }

  const partOf = ({ parts }: Account, asker: string): number => {
    const total = [...parts.values()].reduce((sum, granted) => sum + granted, 0)
    return total === 0 ? 0 : (parts.get(asker) ?? 0) / total
  }

  const take = ({ workspace, wanted, asker }: RelayMessages.TakeTokens__Output) => {
    const terms = view.configuration()?.workspaces.get(workspace)
    if (terms === undefined || !isMine(shardOf(workspace))) return { granted: 0, ratePartPerSec: 0, isKeeper: false }
    const account = accountOf(workspace, terms.ratePerSec, terms.burst)
    const granted = account.bucket.take(wanted)
    noteGrant(account, asker, granted)
    if (granted < wanted) log(events.tokensShort, { workspace, asker, wanted, granted, ratePerSec: terms.ratePerSec })
    return { granted, ratePartPerSec: partOf(account, asker) * terms.ratePerSec, isKeeper: true }
  }

  /** The shard's record hangs on its keeper's lease, so that a record without its process is only briefly there. */
  const isKept = (shard: number): boolean => {
    const keeper = view.limitKeeper(shard)?.keeper
    if (keeper === undefined) return false
    const [keeperName = '', incarnation] = keeper.split('/')
    const member = view.members().get(keeperName)
    return member === undefined || member.incarnation === incarnation
  }

  const claim = async (shard: number) => {
    const leaseId = membership.leaseId()
    if (leaseId === undefined || !membership.isLeaseHeld()) return
    const key = `${recordKeys.limits}${shard}`
    const stored = await store.get(key, storeTimeoutMs)
    if (stored.err || (stored.val !== undefined && isKept(shard))) return
    const expectedRevision = stored.val?.revision ?? 0
    const value = writeRecord({ keeper: self })
    const swap = await store.compareAndSwap({ key, expectedRevision, value, leaseId }, storeTimeoutMs)
    if (swap.err || !swap.val.swapped || swap.val.current === undefined) return
    view.apply(swap.val.current)
    for (const workspace of accounts.keys()) if (shardOf(workspace) === shard) accounts.delete(workspace)
    // An earlier process of this VM handed out nothing since this one started.
    const isOwnSuccessor = stored.val !== undefined &&
      readLimitRecord(stored.val.value).map(({ keeper }) => keeper.split('/')[0] === name).unwrapOr(false)
    claimedAtMs.set(shard, isOwnSuccessor ? processStartMs : monotonicMs())
    log(events.limitsClaimed, { shard, revision: swap.val.current.revision })
  }

  const shouldClaim = (shard: number) => !isKept(shard) && election.first(`limit ${shard}`) === name

  return {
    take,
    run: async signal => {
      while (!signal.aborted && !isLeaving) {
        for (let shard = 0; shard < limitShards; shard++) if (shouldClaim(shard)) await claim(shard)
        await sleepMs(claimIntervalMs, signal)
      }
    },
    leave: async () => {
      isLeaving = true
      for (let shard = 0; shard < limitShards; shard++) {
        if (view.limitKeeper(shard)?.keeper !== self) continue
        const key = `${recordKeys.limits}${shard}`
        const stored = await store.get(key, storeTimeoutMs)
        if (stored.err || stored.val === undefined) continue
        const swap = { key, expectedRevision: stored.val.revision, value: Buffer.alloc(0), delete: true }
        await store.compareAndSwap(swap, storeTimeoutMs)
      }
    }
  }
}
