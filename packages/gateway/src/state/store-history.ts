/**
 * Recent changes and the whole state of the platform's store, kept for gateways that follow the store through this one.
 * Only the newest change of each key is kept, which is enough to reach the store's current state.
 *
 * Load pattern: the store forgets its history. The gateway that watches it lists everything once, and all its followers
 * take the state from here instead of each listing the store.
 */
import type { StoredEntry } from '@egretyoke/fleet'

/** Store changes after a revision, complete up to `revision`. */
export type StoreChanges = { entries: StoredEntry[], revision: number }

/** A change as it is kept. */
export type KeptEntry = StoredEntry & {
  /** True if the value is too long to be kept, and must be read from the store. */
  valueLeftOut: boolean
}

/** An entry as it is received; from a peer, its value may be left out. */
export type ReceivedEntry = StoredEntry & { valueLeftOut?: boolean }

/** A part of the whole state, in the order of the keys, which begins behind a key. */
export type StatePart = {
  entries: KeptEntry[]
  revision: number
  /** Key behind which the next part begins; empty: this is the last one. */
  continuesAfter: string
}

/** Changes since this gateway last listed the whole store. */
export type StoreHistory = {
  /** Clears the history after a listing of the whole store at the revision. Without entries, no state is kept. */
  reset: (revision: number, entries?: readonly ReceivedEntry[]) => void
  record: (changes: { entries: readonly ReceivedEntry[], revision: number }) => void
  /** The part of the state behind a key, of at most `maxBytes`; undefined if the state is unknown or not kept. */
  statePart: (after: string, maxBytes: number) => StatePart | undefined
  /** The changes after the revision; undefined when some of them are no longer kept. */
  changesSince: (revision: number) => { entries: KeptEntry[], revision: number } | undefined
  /** Revision up to which changes were recorded; 0 before the first listing. */
  revision: () => number
  /** Resolves all pending waits for a change. */
  wakeWaiters: () => void
  /** Resolves on the next change, listing or `wakeWaiters` call, or after the timeout. */
  waitForChange: (timeoutMs: number) => Promise<void>
}

/** Keys for which the newest change is kept, and keys of a state that is kept. */
const maxKeys = 4096
/** Longer values are not kept. */
export const maxKeptValueBytes = 32 * 1024
/** All kept values together; beyond it the oldest changes are dropped, and a state is not kept. */
const maxKeptBytes = 16 * 1024 * 1024

const toKept = ({ key, value, revision, deleted, valueLeftOut = false }: ReceivedEntry): KeptEntry => {
  const isLeftOut = valueLeftOut || value.length > maxKeptValueBytes
  return { key, revision, deleted, valueLeftOut: isLeftOut, value: isLeftOut ? Buffer.alloc(0) : value }
}

/** The newest entry of each key, and the bytes of their values. Keys stay in the order of their newest changes. */
const createEntries = () => {
  const byKey = new Map<string, KeptEntry>()
  let bytes = 0

  const remove = (key: string) => {
    bytes -= byKey.get(key)?.value.length ?? 0
    byKey.delete(key)
  }

  return {
    byKey,
    remove,
    put: (entry: KeptEntry) => {
      remove(entry.key)
      byKey.set(entry.key, entry)
      bytes += entry.value.length
    },
    clear: () => {
      byKey.clear()
      bytes = 0
    },
    isTooLarge: () => byKey.size > maxKeys || bytes > maxKeptBytes
  }
}

/** Size of an entry in a message, as far as it varies. */
const sizeOf = ({ key, value }: KeptEntry) => key.length + value.length

/** The first of the entries that together have at most `maxBytes`; at least one. */
const fitting = (entries: readonly KeptEntry[], maxBytes: number): KeptEntry[] => {
  let bytes = 0
  const firstBeyond = entries.findIndex((entry, index) => {
    bytes += sizeOf(entry)
    return index > 0 && bytes > maxBytes
  })
  return firstBeyond < 0 ? [...entries] : entries.slice(0, firstBeyond)
}

const byKeyOrder = (one: KeptEntry, other: KeptEntry) => one.key < other.key ? -1 : 1

/** Creates an empty history. */
export const createStoreHistory = (): StoreHistory => {
  const newest = createEntries()
  const state = createEntries()
  let isStateKept = false
  const waiters = new Set<() => void>()
  let firstRevision: number | undefined
  let lastRevision = 0

  const wakeWaiters = () => {
    for (const resume of [...waiters]) resume()
  }

  const dropOldest = () => {
    for (const [key, { revision }] of newest.byKey) {
      if (!newest.isTooLarge()) return
      newest.remove(key)
      firstRevision = revision
    }
  }

  const updateState = (entry: KeptEntry) => {
    if (!isStateKept) return
    if (entry.deleted) state.remove(entry.key)
    else state.put(entry)
    if (!state.isTooLarge()) return
    isStateKept = false
    state.clear()
  }

  return {
    reset: (revision, entries) => {
      newest.clear()
      state.clear()
      isStateKept = entries !== undefined
      for (const entry of entries ?? []) updateState(toKept(entry))
      firstRevision = revision
      lastRevision = revision
      wakeWaiters()
    },
    record: ({ entries, revision }) => {
      for (const entry of entries.map(toKept)) {
        newest.put(entry)
        updateState(entry)
      }
      dropOldest()
      lastRevision = revision
      wakeWaiters()
    },
    statePart: (after, maxBytes) => {
      if (!isStateKept) return undefined
      const remaining = [...state.byKey.values()].filter(({ key }) => key > after).sort(byKeyOrder)
      const entries = fitting(remaining, maxBytes)
      const continuesAfter = entries.length < remaining.length ? entries.at(-1)?.key ?? '' : ''
      return { entries, revision: lastRevision, continuesAfter }
    },
    changesSince: revision => {
      if (firstRevision === undefined || revision < firstRevision) return undefined
      const entries = [...newest.byKey.values()].filter(entry => entry.revision > revision)
      return { entries, revision: lastRevision }
    },
    revision: () => lastRevision,
    wakeWaiters,
    waitForChange: timeoutMs => new Promise(resolve => {
      const resume = () => {
        clearTimeout(timer)
        waiters.delete(resume)
        resolve()
      }
      const timer = setTimeout(resume, timeoutMs)
      waiters.add(resume)
    })
  }
}
