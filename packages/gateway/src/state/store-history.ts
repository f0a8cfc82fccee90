/**
 * Recent changes of the platform's store, kept for gateways that follow the store through this one. Only the newest
 * change of each key is kept, which is enough to reach the store's current state.
 */
import type { StoredEntry } from '@egretyoke/fleet'

/** Store changes after a revision, complete up to `revision`. */
export type StoreChanges = { entries: StoredEntry[], revision: number }

/** A change as it is kept. */
export type KeptEntry = StoredEntry & {
  /** True if the value is too long to be kept, and must be read from the store. */
  valueLeftOut: boolean
}

/** Changes since this gateway last listed the whole store. */
export type StoreHistory = {
  /** Clears the history after a listing of the whole store at the revision. */
  reset: (revision: number) => void
  record: (changes: StoreChanges) => void
  /** The changes after the revision; undefined when some of them are no longer kept. */
  changesSince: (revision: number) => { entries: KeptEntry[], revision: number } | undefined
  /** Resolves all pending waits for a change. */
  wakeWaiters: () => void
  /** Resolves on the next change, listing or `wakeWaiters` call, or after the timeout. */
  waitForChange: (timeoutMs: number) => Promise<void>
}

/** Keys for which the newest change is kept. */
const maxKeys = 4096
/** Longer values are not kept. */
const maxKeptValueBytes = 32 * 1024
/** All kept values together; the oldest changes are dropped beyond it. */
const maxKeptBytes = 16 * 1024 * 1024

/** Creates an empty history. */
export const createStoreHistory = (): StoreHistory => {
  const newest = new Map<string, KeptEntry>()
  let keptBytes = 0
  const waiters = new Set<() => void>()
  let firstRevision: number | undefined
  let lastRevision = 0

  const wakeWaiters = () => {
    for (const resume of [...waiters]) resume()
  }

  const remove = (key: string) => {
    keptBytes -= newest.get(key)?.value.length ?? 0
    newest.delete(key)
  }

  const storeNewest = (entry: StoredEntry) => {
    const valueLeftOut = entry.value.length > maxKeptValueBytes
    // Removed first, so that the map stays ordered by the newest change of each key.
    remove(entry.key)
    const value = valueLeftOut ? Buffer.alloc(0) : entry.value
    newest.set(entry.key, { ...entry, value, valueLeftOut })
    keptBytes += value.length
  }

  const dropOldest = () => {
    for (const [key, { revision }] of newest) {
      if (newest.size <= maxKeys && keptBytes <= maxKeptBytes) return
      remove(key)
      firstRevision = revision
    }
  }

  return {
    reset: revision => {
      newest.clear()
      keptBytes = 0
      firstRevision = revision
      lastRevision = revision
      wakeWaiters()
    },
    record: ({ entries, revision }) => {
      for (const entry of entries) storeNewest(entry)
      dropOldest()
      lastRevision = revision
      wakeWaiters()
    },
    changesSince: revision => {
      if (firstRevision === undefined || revision < firstRevision) return undefined
      const entries = [...newest.values()].filter(entry => entry.revision > revision)
      return { entries, revision: lastRevision }
    },
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
