/**
 * Recent changes of the platform's store, kept for gateways that follow the store through this one. Only the newest
 * change of each key is kept, which is enough to reach the store's current state.
 */
import type { StoredEntry } from '@egretyoke/fleet'

/** Store changes after a revision, complete up to `revision`. */
export type StoreChanges = { entries: StoredEntry[], revision: number }

/** Changes since this gateway last listed the whole store. */
export type StoreHistory = {
  /** Clears the history after a listing of the whole store at the revision. */
  reset: (revision: number) => void
  record: (changes: StoreChanges) => void
  /** The changes after the revision; undefined when some of them are no longer kept. */
  changesSince: (revision: number) => StoreChanges | undefined
  /** Resolves all pending waits for a change. */
  wakeWaiters: () => void
  /** Resolves on the next change, listing or `wakeWaiters` call, or after the timeout. */
  waitForChange: (timeoutMs: number) => Promise<void>
}

/** Keys for which the newest change is kept. */
const maxKeys = 4096

/** Creates an empty history. */
export const createStoreHistory = (): StoreHistory => {
  const newest = new Map<string, StoredEntry>()
  const waiters = new Set<() => void>()
  let firstRevision: number | undefined
  let lastRevision = 0

  const wakeWaiters = () => {
    for (const resume of [...waiters]) resume()
  }

  const storeNewest = (entry: StoredEntry) => {
    // Deleted first, so that the map stays ordered by the newest change of each key.
    newest.delete(entry.key)
    newest.set(entry.key, entry)
    if (newest.size <= maxKeys) return
    const [oldest] = newest.values()
    if (oldest === undefined) return
    newest.delete(oldest.key)
    firstRevision = oldest.revision
  }

  return {
    reset: revision => {
      newest.clear()
      firstRevision = revision
      lastRevision = revision
      wakeWaiters()
    },
    record: ({ entries, revision }) => {
      for (const entry of entries) storeNewest(entry)
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
