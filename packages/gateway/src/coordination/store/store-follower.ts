/**
 * Keeps the fleet state in sync with the store: the state of a peer or one full listing, followed by successive long
 * polls for changes. A poll that returns no changes confirms that the state is current.
 */
import { sleepMs } from '@egretyoke/common'
import type { Logger, Result } from '@egretyoke/common'
import { events } from '../../events.js'
import type { AgeClock, Contact } from '../../state/contact.js'
import type { FleetState } from '../../state/fleet-state.js'
import { epochOf, withinEpoch } from '../../state/store-revision.js'
import type { StoreHistory } from '../../state/store-history.js'
import type { SharedStore, StoreError } from './shared-store.js'
import { storeReplyTimeoutMs } from './store-sources.js'
import type { ConfirmedChanges } from './store-sources.js'

/** After a failure. Peers are asked again at once, whereas the store's backoff decides whether the store is called. */
const retryDelayMs = 100

/** Dependencies of the store follower. */
export type FollowerOptions = {
  store: SharedStore
  /** State of a peer for the start of the process; undefined: the store is listed. */
  startState: () => Promise<ConfirmedChanges | undefined>
  /** Long poll: resolves with the changes after a revision, or with none after a time. */
  nextChanges: (after: number) => Promise<Result<ConfirmedChanges, StoreError>>
  history: StoreHistory
  fleetState: FleetState
  contact: Contact
  clock: AgeClock
  log: Logger
}

/** Follows the store until the signal aborts. Lists everything again after changes were missed. */
export const followStore = async (options: FollowerOptions, signal: AbortSignal): Promise<void> => {
  const { store, startState, nextChanges, history, fleetState, contact, clock, log } = options
  let isConnected = false

  const recordConnection = (connected: boolean, reason: string) => {
    if (connected === isConnected) return
    isConnected = connected
    log(connected ? events.storeRegained : events.storeLost, { reason, confirmedAgeMs: Math.round(contact.ageMs()) })
  }

  /** The last revision that was applied; 0 before the first one. */
  let appliedRevision = 0

  const recordRevision = (revision: number) => {
    const [epochBefore, epoch] = [epochOf(appliedRevision), epochOf(revision)]
    if (appliedRevision > 0 && epoch > epochBefore) {
      log(events.storeRestored, {
        epoch, epochBefore, revision: withinEpoch(revision), revisionBefore: withinEpoch(appliedRevision)
      })
    }
    appliedRevision = revision
  }

  const listAll = async (): Promise<number | undefined> => {
    const requestedAt = clock.now()
    const listing = await store.list('', storeReplyTimeoutMs)
    if (listing.err) {
      recordConnection(false, listing.val.reason)
      return undefined
    }
    const { entries, revision } = listing.val
    recordRevision(revision)
    fleetState.replaceAll(entries)
    recordConnection(true, 'listed')
    contact.confirm(requestedAt)
    history.reset(revision, entries)
    return revision
  }

  const applyState = ({ entries, revision, confirmed }: ConfirmedChanges): number => {
    recordRevision(revision)
    fleetState.replaceAll(entries, revision)
    recordConnection(true, 'state from a peer')
    contact.confirm(confirmed)
    history.reset(revision, entries)
    log(events.storeStateFromPeer, { revision, entries: entries.length })
    return revision
  }

  const applyUpdate = (update: ConfirmedChanges) => {
    recordRevision(update.revision)
    for (const entry of update.entries) fleetState.apply(entry)
    recordConnection(true, 'watching')
    contact.confirm(update.confirmed)
    // Recorded after the confirmation, because followers receive the confirmation together with the changes.
    history.record(update)
  }

  async function * watch (from: number): AsyncGenerator<number> {
    let revision = from
    while (!signal.aborted) {
      const update = await nextChanges(revision)
      if (update.err) {
        if (update.val.reason === 'historyGone') return
        recordConnection(false, update.val.reason)
        await sleepMs(retryDelayMs, signal)
        continue
      }
      // The revision advanced without entries: changes were missed, so list everything again.
      if (!update.val.isWholeState && update.val.entries.length === 0 && update.val.revision > revision) return
      if (update.val.isWholeState) applyState(update.val)
      else applyUpdate(update.val)
      revision = update.val.revision
      yield revision
    }
  }

  let started = await startState()
  while (!signal.aborted) {
    const revision = started === undefined ? await listAll() : applyState(started)
    started = undefined
    if (revision === undefined) {
      await sleepMs(retryDelayMs, signal)
      continue
    }
    let lastRevision = revision
    for await (const next of watch(revision)) lastRevision = next
    if (!signal.aborted) log(events.historyMissed, { revision: lastRevision })
  }
}
