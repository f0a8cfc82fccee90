/**
 * Interface of the platform's store, as far as the gateway uses it.
 */
import type { Result, TypedError } from '@egretyoke/common'
import type { Platform, StoredEntry } from '@egretyoke/fleet'

/** All entries under a prefix, read page by page. Changes after `revision` may or may not be included. */
export type Listing = { entries: StoredEntry[], revision: number }

/** Changes after a revision, complete up to `revision`. */
export type Changes = { entries: StoredEntry[], revision: number }

/**
 * Why a store call failed. `noAnswer`: the call may or may not take effect, even later. `refused`: it had no effect.
 * `historyGone`: the changes since the revision are no longer retained.
 */
export type StoreError = TypedError<'noAnswer' | 'refused' | 'historyGone'>

/** Store operations. */
export type SharedStore = Pick<Platform, 'get' | 'compareAndSwap' | 'grantLease' | 'keepAlive' | 'revokeLease'> & {
  /** `staleOk`: the entries may be older than the store's, and changes after `revision` may be missing. */
  list: (prefix: string, timeoutMs: number, options?: { staleOk: boolean }) => Promise<Result<Listing, StoreError>>
  /** Long poll: resolves as soon as there is a change, or with no changes after `waitMs`. */
  changes: (prefix: string, afterRevision: number, waitMs: number, timeoutMs: number)
  => Promise<Result<Changes, StoreError>>
  close: () => void
}
