/**
 * The platform's key-value service and VM list, as a record of functions. Every implementation must pass the contract
 * tests in platform-contract.ts.
 */
import type { Result, TypedError } from '@egretyoke/common'

/** One stored entry. `revision` is the store revision of its last change. */
export type StoredEntry = {
  key: string
  value: Buffer
  revision: number
  deleted: boolean
}

/** Entries that changed after a revision, and the newest revision of the whole store. */
export type StoreChanges = {
  entries: StoredEntry[]
  storeRevision: number
}

/** Result of a compare-and-swap. `current` is the entry after the call; undefined when it does not exist. */
export type SwapResult = {
  swapped: boolean
  current: StoredEntry | undefined
  storeRevision: number
}

/** One compare-and-swap. `expectedRevision` 0 means that the entry must not exist. */
export type Swap = {
  key: string
  expectedRevision: number
  value: Buffer
  delete?: boolean
  leaseId?: number
}

/** A VM in the platform's VM list. */
export type VmListing = {
  name: string
  role: 'ENTRY' | 'ENDPOINT'
  address: string
  dataCentre: string
  leaving: boolean
}

/** `noAnswer`: the call may or may not have taken effect. */
export type PlatformError = TypedError<'noAnswer'>

/** Calls to the platform. Timeouts are in milliseconds. */
export type Platform = {
  get: (key: string, timeoutMs: number) => Promise<Result<StoredEntry | undefined, PlatformError>>
  /** Returns the entries below the prefix that changed after the revision, including deleted ones. */
  range: (prefix: string, afterRevision: number, timeoutMs: number) => Promise<Result<StoreChanges, PlatformError>>
  compareAndSwap: (swap: Swap, timeoutMs: number) => Promise<Result<SwapResult, PlatformError>>
  /** Yields changes until the stream breaks or the signal aborts. May skip changes. */
  watch: (prefix: string, afterRevision: number, signal: AbortSignal) => AsyncGenerator<StoreChanges>
  /** Grants a lease and returns its id. */
  grantLease: (ttlMs: number, timeoutMs: number) => Promise<Result<number, PlatformError>>
  /** Renews a lease. Returns false when it has expired. */
  keepAlive: (leaseId: number, timeoutMs: number) => Promise<Result<boolean, PlatformError>>
  revokeLease: (leaseId: number, timeoutMs: number) => Promise<Result<boolean, PlatformError>>
  listVms: (timeoutMs: number) => Promise<Result<VmListing[], PlatformError>>
  close: () => void
}
