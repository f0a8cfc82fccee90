/**
 * Keeps the fleet state in sync with the store: one full listing, followed by successive long polls for changes. A poll
 * that returns no changes confirms that the state is current.
 */
import { sleepMs } from '@egretyoke/common'
import type { Logger, Result } from '@egretyoke/common'
import { events } from '../events.js'
import type { AgeClock, Contact } from '../state/contact.js'
import type { FleetView } from '../state/fleet-view.js'
import type { StoreHistory } from '../state/store-history.js'
import type { SharedStore, StoreError } from './shared-store.js'
import { storeAnswerMs } from './store-sources.js'
import type { News } from './store-sources.js'

const retryDelayMs = 200

/** Dependencies of the store follower. */
export type FollowerOptions = {
  store: SharedStore
  /** Long poll: resolves with the changes after a revision, or with none after a time. */
  nextNews: (after: number) => Promise<Result<News, StoreError>>
  history: StoreHistory
  view: FleetView
  contact: Contact
  clock: AgeClock
  log: Logger
}

/** Follows the store until the signal aborts. Lists everything again after changes were missed. */
export const followStore = async (options: FollowerOptions, signal: AbortSignal): Promise<void> => {
  const { store, nextNews, history, view, contact, clock, log } = options
  let isConnected = false

  const noteConnection = (connected: boolean, reason: string) => {
    if (connected === isConnected) return
    isConnected = connected
    log(connected ? events.storeRegained : events.storeLost, { reason, confirmedAgeMs: Math.round(contact.ageMs()) })
  }

  const listAll = async (): Promise<number | undefined> => {
    const asked = clock.now()
    const listing = await store.list('', storeAnswerMs)
    if (listing.err) {
      noteConnection(false, listing.val.reason)
      return undefined
    }
    const { entries, revision } = listing.val
    view.replaceAll(entries)
    noteConnection(true, 'listed')
    contact.confirm(asked)
    history.restart(revision)
    return revision
  }

  const takeIn = (news: News) => {
    for (const entry of news.entries) view.apply(entry)
    noteConnection(true, 'watching')
    contact.confirm(news.confirmed)
    // Recorded after the confirmation, because followers receive it together with the changes.
    history.note(news)
  }

  async function * watch (from: number): AsyncGenerator<number> {
    let revision = from
    while (!signal.aborted) {
      const news = await nextNews(revision)
      if (news.err) {
        if (news.val.reason === 'historyGone') return
        noteConnection(false, news.val.reason)
        await sleepMs(retryDelayMs, signal)
        continue
      }
      // The revision advanced without entries: changes were missed, so list everything again.
      if (news.val.entries.length === 0 && news.val.revision > revision) return
      takeIn(news.val)
      revision = news.val.revision
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
