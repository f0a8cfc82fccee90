/**
 * The changes of the platform's store that this gateway has followed, kept for gateways that follow the store through
 * it. Of each key only the newest change is kept: who takes in all of them holds what the store holds.
 */
import type { StoredEntry } from '@egretyoke/fleet'

/** Changes after a revision, complete up to another. */
export type FollowedChanges = { entries: StoredEntry[], revision: number }

/** The changes since this gateway last read everything. */
export type StoreHistory = {
  /** Begins anew: everything up to the revision was read at once. */
  restart: (revision: number) => void
  note: (changes: FollowedChanges) => void
  /** The changes after the revision; undefined when they are not all kept. */
  since: (revision: number) => FollowedChanges | undefined
  /** Lets those that wait look again. */
  wake: () => void
  /** Resolves when the history is noted or woken, at the latest after the time. */
  untilWoken: (timeoutMs: number) => Promise<void>
}

/** Keys whose newest change is kept. */
const maxKeys = 4096

/** Creates a history that holds nothing. */
export const createStoreHistory = (): StoreHistory => {
  const newest = new Map<string, StoredEntry>()
  const waiting = new Set<() => void>()
  let firstRevision: number | undefined
  let lastRevision = 0

  const wake = () => {
    for (const resume of [...waiting]) resume()
  }

  const keep = (entry: StoredEntry) => {
    // Deleted first, so that the keys stay in the order of their newest change.
    newest.delete(entry.key)
    newest.set(entry.key, entry)
    if (newest.size <= maxKeys) return
    const [oldest] = newest.values()
    if (oldest === undefined) return
    newest.delete(oldest.key)
    firstRevision = oldest.revision
  }

  return {
    restart: revision => {
      newest.clear()
      firstRevision = revision
      lastRevision = revision
      wake()
    },
    note: ({ entries, revision }) => {
      for (const entry of entries) keep(entry)
      lastRevision = revision
      wake()
    },
    since: revision => {
      if (firstRevision === undefined || revision < firstRevision) return undefined
      const entries = [...newest.values()].filter(entry => entry.revision > revision)
      return { entries, revision: lastRevision }
    },
    wake,
    untilWoken: timeoutMs => new Promise(resolve => {
      const resume = () => {
        clearTimeout(timer)
        waiting.delete(resume)
        resolve()
      }
      const timer = setTimeout(resume, timeoutMs)
      waiting.add(resume)
    })
  }
}
