/**
 * In-memory key-value store with revisions, compare-and-swap, leases and watches.
 */
import { monotonicMs } from '@egretyoke/common'
import type { Clock } from '@egretyoke/common'

/** One entry. A deleted entry stays as a tombstone with the revision of its deletion, so that watches report it. */
export type StoreEntry = {
  key: string
  value: Buffer
  revision: number
  leaseId: number
  deleted: boolean
}

/** A compare-and-swap request; `expectedRevision` 0 means that the entry must not exist. */
export type SwapRequest = {
  key: string
  expectedRevision: number
  value: Buffer
  delete: boolean
  leaseId: number
}

/** Limits of the store. */
export const storeLimits = {
  maxValueBytes: 1024 * 1024,
  maxEntries: 100_000,
  maxLeases: 100_000
} as const

type Lease = { ttlMs: number, expiresAtMs: number }

/** An in-memory store. */
export type PlatformStore = ReturnType<typeof createPlatformStore>

/** Creates an empty store. Leases expire by the given clock, in milliseconds. */
export const createPlatformStore = (clock: Clock = monotonicMs) => {
  const entries = new Map<string, StoreEntry>()
  const leases = new Map<number, Lease>()
  const listeners = new Set<(entry: StoreEntry) => void>()
  let revision = 0
  let lastLeaseId = 0

  const put = (entry: Omit<StoreEntry, 'revision'>): StoreEntry => {
    revision++
    const stored = { ...entry, revision }
    entries.set(entry.key, stored)
    for (const listener of listeners) listener(stored)
    return stored
  }

  const deleteLease = (leaseId: number) => {
    leases.delete(leaseId)
    for (const entry of entries.values()) {
      if (entry.leaseId !== leaseId || entry.deleted) continue
      put({ ...entry, value: Buffer.alloc(0), leaseId: 0, deleted: true })
    }
  }

  const expireLeases = () => {
    const nowMs = clock()
    for (const [leaseId, lease] of leases) {
      if (lease.expiresAtMs <= nowMs) deleteLease(leaseId)
    }
  }

  const get = (key: string): StoreEntry | undefined => {
    expireLeases()
    const entry = entries.get(key)
    return entry?.deleted ? undefined : entry
  }

  const range = (prefix: string, afterRevision: number): StoreEntry[] => {
    expireLeases()
    return [...entries.values()]
      .filter(entry => entry.key.startsWith(prefix) && entry.revision > afterRevision)
      .sort((left, right) => left.revision - right.revision)
  }

  const compareAndSwap = (swap: SwapRequest): { swapped: boolean, current: StoreEntry | undefined } => {
    const current = get(swap.key)
    if ((current?.revision ?? 0) !== swap.expectedRevision) return { swapped: false, current }
    if (swap.leaseId !== 0 && !leases.has(swap.leaseId)) return { swapped: false, current }
    if (swap.value.length > storeLimits.maxValueBytes) return { swapped: false, current }
    if (!entries.has(swap.key) && entries.size >= storeLimits.maxEntries) return { swapped: false, current }
    const value = swap.delete ? Buffer.alloc(0) : swap.value
    const stored = put({ key: swap.key, value, leaseId: swap.leaseId, deleted: swap.delete })
    return { swapped: true, current: stored.deleted ? undefined : stored }
  }

  const grantLease = (ttlMs: number): number => {
    expireLeases()
    if (leases.size >= storeLimits.maxLeases) return 0
    lastLeaseId++
    leases.set(lastLeaseId, { ttlMs, expiresAtMs: clock() + ttlMs })
    return lastLeaseId
  }

  const keepAlive = (leaseId: number): boolean => {
    expireLeases()
    const lease = leases.get(leaseId)
    if (!lease) return false
    lease.expiresAtMs = clock() + lease.ttlMs
    return true
  }

  const subscribe = (listener: (entry: StoreEntry) => void): (() => void) => {
    listeners.add(listener)
    return () => listeners.delete(listener)
  }

  return {
    get,
    range,
    compareAndSwap,
    grantLease,
    keepAlive,
    revokeLease: deleteLease,
    expireLeases,
    subscribe,
    revision: () => revision
  }
}
