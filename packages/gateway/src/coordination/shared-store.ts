/**
 * The calls of the platform's store that the gateway needs, as a record of functions.
 */
import type { Result, TypedError } from '@egretyoke/common'
import type { Platform, StoredEntry } from '@egretyoke/fleet'

/** Everything below a prefix, read page by page. Changes after `revision` may or may not be in it. */
export type Listing = { entries: StoredEntry[], revision: number }

/** All changes after a revision, and the revision up to which they are complete. */
export type Changes = { entries: StoredEntry[], revision: number }

/**
 * `noAnswer`: the call may or may not take effect, even later. `refused`: nothing was done.
 * `historyGone`: the changes since the revision are no longer kept.
 */
export type StoreError = TypedError<'noAnswer' | 'refused' | 'historyGone'>

/** Calls of the store. */
export type SharedStore = Pick<Platform, 'get' | 'compareAndSwap' | 'grantLease' | 'keepAlive' | 'revokeLease'> & {
  list: (prefix: string, timeoutMs: number) => Promise<Result<Listing, StoreError>>
  /** Answers as soon as there is a change, and without one after `waitMs`. */
  changes: (prefix: string, afterRevision: number, waitMs: number, timeoutMs: number)
  => Promise<Result<Changes, StoreError>>
  close: () => void
}
