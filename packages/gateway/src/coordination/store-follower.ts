/**
 * Keeps the fleet view equal to the store: one listing, then one watch after the other on everything in the store.
 * A watch that ends without news confirms the view as of the end of its waiting time.
 */
import { sleepMs } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import { events } from '../events.js'
import type { AgeClock, Contact, Moment } from '../state/contact.js'
import type { FleetView } from '../state/fleet-view.js'
import type { SharedStore } from './shared-store.js'

/** How long a watch waits for news; the view is confirmed about this often. */
const watchWaitMs = 1000
/** Beyond the waiting time, for the way there and back and a slow store. */
const answerTimeoutMs = 1200
const retryDelayMs = 200

/** What the follower works with. */
export type FollowerOptions = {
  store: SharedStore
  view: FleetView
  contact: Contact
  clock: AgeClock
  log: Logger
}

/** Follows the store until the signal aborts. */
export const followStore = async (options: FollowerOptions, signal: AbortSignal): Promise<void> => {
  const { store, view, contact, clock, log } = options
  let isConnected = false

  const noteConnection = (connected: boolean, reason: string) => {
    if (connected === isConnected) return
    isConnected = connected
    log(connected ? events.storeRegained : events.storeLost, { reason, confirmedAgeMs: Math.round(contact.ageMs()) })
  }

  const listAll = async (): Promise<number | undefined> => {
    const asked = clock.now()
    const listing = await store.list('', answerTimeoutMs)
    if (listing.err) {
      noteConnection(false, listing.val.reason)
      return undefined
    }
    view.replaceAll(listing.val.entries)
    noteConnection(true, 'listed')
    contact.confirm(asked)
    return listing.val.revision
  }

  /** The moment until which a watch that brought nothing is known to have had nothing to bring. */
  const confirmedAt = (asked: Moment, sawNews: boolean): Moment => {
    if (sawNews || clock.ageMs(asked) < watchWaitMs) return asked
    return { monotonicMs: asked.monotonicMs + watchWaitMs, wallMs: asked.wallMs + watchWaitMs }
  }

  async function * watch (from: number): AsyncGenerator<number> {
    let revision = from
    while (!signal.aborted) {
      const asked = clock.now()
      const changes = await store.changes('', revision, watchWaitMs, watchWaitMs + answerTimeoutMs)
      if (changes.err) {
        if (changes.val.reason === 'historyGone') return
        noteConnection(false, changes.val.reason)
        await sleepMs(retryDelayMs, signal)
        continue
      }
      const { entries, revision: newest } = changes.val
      // A revision without its events: the watch missed something.
      if (entries.length === 0 && newest > revision) return
      for (const entry of entries) view.apply(entry)
      revision = newest
      noteConnection(true, 'watching')
      contact.confirm(confirmedAt(asked, entries.length > 0))
      yield revision
    }
  }

  while (!signal.aborted) {
    const revision = await listAll()
    if (revision === undefined) {
      await sleepMs(retryDelayMs, signal)
      continue
    }
    let watched = revision
    for await (const next of watch(revision)) watched = next
    if (!signal.aborted) log(events.historyMissed, { revision: watched })
  }
}
