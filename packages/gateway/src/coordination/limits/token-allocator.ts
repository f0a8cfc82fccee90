/**
 * Allocates the tokens of the workspaces' rate limits for the whole fleet. Workspaces are distributed over shards. Each
 * shard has one allocator, which claims it with a record bound to its lease and grants tokens only while the lease
 * cannot have expired, so that two allocators never grant the same tokens. A new allocator's buckets start empty except
 * for a small allowance, because its predecessor may have granted all tokens accrued until its end.
 */
import { createHash } from 'node:crypto'
import { monotonicMs, sleepUntilTick } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import type { StoredEntry } from '@egretyoke/fleet'
import type { RelayMessages } from '@egretyoke/protocol'
import { events } from '../../events.js'
import type { FleetState } from '../../state/fleet-state.js'
import { decodeLimitRecord, encodeRecord, recordPrefixes, splitProcessName } from '../../state/stored-records.js'
import { createTokenBucket } from '../../state/token-bucket.js'
import type { TokenBucket } from '../../state/token-bucket.js'
import type { Election } from '../membership/election.js'
import type { Membership } from '../membership/membership.js'
import { replaceAny } from '../store/replace-any.js'
import type { SharedStore } from '../store/shared-store.js'

/** Process start on the monotonic clock. */
const processStartMs = 0

/** Number of shards of the workspaces. One allocator serves a shard for all gateways; more shards spread the load. */
export const limitShardCount = 8
const claimIntervalMs = 200
const storeTimeoutMs = 900
/**
 * Initial tokens in a new allocator's bucket: a fraction of one second's tokens, plus a fixed number. The predecessor
 * may have granted all of its tokens, so these may exceed the limit; they are a fraction of the tolerated excess.
 */
const initialTokens = { rateFraction: 0.1, atLeast: 5 } as const
/** Window in milliseconds over which the gateways' shares of a rate are computed. */
const shareWindowMs = 2000

/** The shard of a workspace. */
export const shardOf = (workspace: string): number =>
  createHash('sha256').update(workspace).digest().readUInt32BE(0) % limitShardCount

/** Token allocation for the shards that this gateway has claimed. */
export type TokenAllocator = {
  allocate: (request: RelayMessages.TakeTokens__Output) => RelayMessages.Tokens__Output
  /** Claims shards without an allocator until the signal aborts. */
  run: (signal: AbortSignal) => Promise<void>
  /** Releases all shards. */
  leave: () => Promise<void>
}

/** Dependencies of the token allocator. */
export type TokenAllocatorOptions = {
  /** NAME/INCARNATION of this process. */
  self: string
  name: string
  fleetState: FleetState
  election: Election
  membership: Membership
  store: SharedStore
  log: Logger
}

type Account = {
  bucket: TokenBucket, grantedBy: Map<string, number>, windowSinceMs: number, shares: Map<string, number>
}

/** Creates an allocator without shards. */
export const createTokenAllocator = (options: TokenAllocatorOptions): TokenAllocator => {
  const { self, name, fleetState, election, membership, store, log } = options
  const accounts = new Map<string, Account>()
  const claimedAtMs = new Map<number, number>()
  let isLeaving = false

  const ownsShard = (shard: number) => fleetState.limitRecord(shard)?.keeper === self && membership.isLeaseHeld()

  const accountOf = (workspace: string, ratePerSec: number, burst: number): Account => {
    const existing = accounts.get(workspace)
    if (existing !== undefined) {
      existing.bucket.setLimits({ ratePerSec, burst })
      return existing
    }
    const emptyAtMs = claimedAtMs.get(shardOf(workspace))
    const bucket = createTokenBucket({ ratePerSec, burst }, monotonicMs, emptyAtMs)
    bucket.add(initialTokens.rateFraction * ratePerSec + initialTokens.atLeast)
    const account = { bucket, grantedBy: new Map(), windowSinceMs: monotonicMs(), shares: new Map() }
    accounts.set(workspace, account)
    return account
  }

  /** Records a grant. The gateways' shares are those of the last complete window. */
  const recordGrant = (account: Account, asker: string, granted: number) => {
    if (monotonicMs() - account.windowSinceMs > shareWindowMs) {
      account.shares = account.grantedBy
      account.grantedBy = new Map()
      account.windowSinceMs = monotonicMs()
    }
    account.grantedBy.set(asker, (account.grantedBy.get(asker) ?? 0) + granted)
  }

  const shareOf = ({ shares }: Account, asker: string): number => {
    const total = [...shares.values()].reduce((sum, granted) => sum + granted, 0)
    return total === 0 ? 0 : (shares.get(asker) ?? 0) / total
  }

  const allocate = ({ workspace, wanted, asker }: RelayMessages.TakeTokens__Output) => {
    const limit = fleetState.configuration()?.workspaces.get(workspace)
    if (limit === undefined || !ownsShard(shardOf(workspace))) return { granted: 0, ratePartPerSec: 0, isKeeper: false }
    const account = accountOf(workspace, limit.ratePerSec, limit.burst)
    const granted = account.bucket.acquire(wanted)
    recordGrant(account, asker, granted)
    if (granted < wanted) log(events.tokensShort, { workspace, asker, wanted, granted, ratePerSec: limit.ratePerSec })
    return { granted, ratePartPerSec: shareOf(account, asker) * limit.ratePerSec, isKeeper: true }
  }

  /** True while the shard has an allocator. The record is bound to its lease and outlives the process only briefly. */
  const isClaimed = (shard: number): boolean => {
    const keeper = fleetState.limitRecord(shard)?.keeper
    if (keeper === undefined) return false
    const allocator = splitProcessName(keeper)
    const member = fleetState.members().get(allocator.name)
    return member === undefined || member.incarnation === allocator.incarnation
  }

  const claim = async (shard: number) => {
    const leaseId = membership.leaseId()
    if (leaseId === undefined || !membership.isLeaseHeld()) return
    const record = { key: `${recordPrefixes.limits}${shard}`, value: encodeRecord({ keeper: self }), leaseId }
    let replaced: StoredEntry | undefined
    const mayReplace = (stored: StoredEntry) => {
      fleetState.apply(stored)
      replaced = stored
      return !isClaimed(shard)
    }
    const swap = await replaceAny(store, record, 0, storeTimeoutMs, mayReplace)
    if (swap.err || !swap.val.swapped || swap.val.current === undefined) return
    fleetState.apply(swap.val.current)
    for (const workspace of accounts.keys()) if (shardOf(workspace) === shard) accounts.delete(workspace)
    // An earlier process of this VM has granted nothing since this one started, so the buckets fill from that time.
    const wasHeldByThisVm = replaced !== undefined &&
      decodeLimitRecord(replaced.value).map(({ keeper }) => splitProcessName(keeper).name === name).unwrapOr(false)
    claimedAtMs.set(shard, wasHeldByThisVm ? processStartMs : monotonicMs())
    log(events.limitsClaimed, { shard, revision: swap.val.current.revision })
  }

  const shouldClaim = (shard: number) => !isClaimed(shard) && election.first(`limit ${shard}`) === name

  return {
    allocate,
    run: async signal => {
      while (!signal.aborted && !isLeaving) {
        for (let shard = 0; shard < limitShardCount; shard++) if (shouldClaim(shard)) await claim(shard)
        await sleepUntilTick(claimIntervalMs, signal)
      }
    },
    leave: async () => {
      isLeaving = true
      for (let shard = 0; shard < limitShardCount; shard++) {
        if (fleetState.limitRecord(shard)?.keeper !== self) continue
        const key = `${recordPrefixes.limits}${shard}`
        const stored = await store.get(key, storeTimeoutMs)
        if (stored.err || stored.val === undefined) continue
        const swap = { key, expectedRevision: stored.val.revision, value: Buffer.alloc(0), delete: true }
        await store.compareAndSwap(swap, storeTimeoutMs)
      }
    }
  }
}
