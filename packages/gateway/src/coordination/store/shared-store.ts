/**
 * Interfaces of the platform's store, as far as the gateway uses it: as the platform's adapter implements it, and as
 * the rest of the gateway calls it.
 */
import type { Result, TypedError } from '@egretyoke/common'
import type { Platform, StoredEntry, Swap, SwapResult } from '@egretyoke/fleet'

/** All entries under a prefix, read page by page. Changes after `revision` may or may not be included. */
export type Listing = { entries: StoredEntry[], revision: number }

/** Changes after a revision, complete up to `revision`. */
export type Changes = { entries: StoredEntry[], revision: number }

/**
 * Why a store call failed. `noAnswer`: the call may or may not take effect, even later. `refused`: it had no effect.
 * `historyGone`: the changes since the revision are no longer retained.
 */
export type StoreError = TypedError<'noAnswer' | 'refused' | 'historyGone'>

/**
 * An answer of the store with the epoch in which it was given; undefined if the store names none. The store begins an
 * epoch when it is restored from a copy.
 */
export type EpochAnswer<T> = { value: T, epoch: number | undefined }

type EpochResult<T, E> = Promise<Result<EpochAnswer<T>, E>>

type NoAnswer = TypedError<'noAnswer'>

/** Store operations of the platform's adapter. Revisions and ids of leases are those of the store. */
export type PlatformStore = {
  list: (prefix: string, timeoutMs: number, options?: { staleOk: boolean }) => EpochResult<Listing, StoreError>
  changes: (prefix: string, afterRevision: number, waitMs: number, timeoutMs: number)
  => EpochResult<Changes, StoreError>
  get: (key: string, timeoutMs: number) => EpochResult<StoredEntry | undefined, NoAnswer>
  compareAndSwap: (swap: Swap, timeoutMs: number) => EpochResult<SwapResult, NoAnswer>
  grantLease: (ttlMs: number, timeoutMs: number) => EpochResult<number, NoAnswer>
  keepAlive: (leaseId: number, timeoutMs: number) => EpochResult<boolean, NoAnswer>
  revokeLease: (leaseId: number, timeoutMs: number) => EpochResult<boolean, NoAnswer>
  close: () => void
}

/** Store operations. Revisions are combined with the epoch, and leases have ids of this process. */
export type SharedStore = Pick<Platform, 'get' | 'compareAndSwap' | 'grantLease' | 'keepAlive' | 'revokeLease'> & {
  /** `staleOk`: the entries may be older than the store's, and changes after `revision` may be missing. */
  list: (prefix: string, timeoutMs: number, options?: { staleOk: boolean }) => Promise<Result<Listing, StoreError>>
  /** Long poll: resolves as soon as there is a change, or with no changes after `waitMs`. */
  changes: (prefix: string, afterRevision: number, waitMs: number, timeoutMs: number)
  => Promise<Result<Changes, StoreError>>
  close: () => void
}
