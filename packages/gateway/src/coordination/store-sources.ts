/**
 * Where a gateway learns what has changed in the platform's store: from the store itself, or from the gateway of its
 * data centre that watches the store for the others. So the store's calls grow with the data centres, not with the
 * gateways.
 */
import { Err, Ok } from '@egretyoke/common'
import type { Logger, Result } from '@egretyoke/common'
import type { StoredEntry } from '@egretyoke/fleet'
import type { RelayMessages } from '@egretyoke/protocol'
import { events } from '../events.js'
import type { AgeClock, Contact, Moment } from '../state/contact.js'
import type { FollowedChanges, StoreHistory } from '../state/store-history.js'
import type { Member } from '../state/stored-records.js'
import type { Election } from './election.js'
import type { RelayCalls } from './relay-calls.js'
import type { SharedStore, StoreError } from './shared-store.js'

/** How long a watch waits for news; a watcher's view is confirmed about this often. */
export const watchWaitMs = 1000
/** With an older confirmation the store is asked at once for another instead of being waited for. */
const hurryContactMs = 500
const hurriedWaitMs = 50
/** Beyond the waiting time, for the way there and back and a slow store. */
export const storeAnswerMs = 1200
/** A watcher passes on each confirmation; without one for so long, even from a slow store, it is not relied on. */
const followWaitMs = watchWaitMs + 300
/** Beyond the waiting time, for the way within the data centre. */
const peerAnswerMs = 400
/** Longer values are read from the store by each gateway, so that no watcher's link has to carry them for all. */
const maxRelayedBytes = 32 * 1024

/** Changes, and a moment at which the store held nothing else. */
export type News = FollowedChanges & { confirmed: Moment }

/** What the sources work with. */
export type StoreSourcesOptions = {
  name: string
  dataCentre: string
  store: SharedStore
  election: Election
  contact: Contact
  clock: AgeClock
  relay: RelayCalls
  log: Logger
}

/** The first gateway of the data centre that can be reached; it may be this one. */
const watcherOf = ({ name, dataCentre, election, relay }: StoreSourcesOptions): Member | undefined =>
  election.ranked(`watch ${dataCentre}`).find(member => member.dataCentre === dataCentre &&
    (member.name === name || (!member.draining && relay.isUsable(member))))

/** Creates the question for the next changes; it resolves with them or, without any, after some waiting time. */
export const createStoreSources = (options: StoreSourcesOptions) => {
  const { name, store, contact, clock, relay, log } = options
  let source = ''

  const later = (moment: Moment, ms: number): Moment =>
    ({ monotonicMs: moment.monotonicMs + ms, wallMs: moment.wallMs + ms })

  const fromStore = async (after: number): Promise<Result<News, StoreError>> => {
    const waitMs = contact.ageMs() > hurryContactMs ? hurriedWaitMs : watchWaitMs
    const asked = clock.now()
    const changes = await store.changes('', after, waitMs, waitMs + storeAnswerMs)
    if (changes.err) return Err(changes.val)
    // Without news the store has waited for all of the time.
    const isQuiet = changes.val.entries.length === 0 && clock.ageMs(asked) >= waitMs
    return Ok({ ...changes.val, confirmed: isQuiet ? later(asked, waitMs) : asked })
  }

  const entryOf = async (
    { key, value, revision, deleted, valueLeftOut }: RelayMessages.StoreChange__Output
  ): Promise<StoredEntry | undefined> => {
    if (!valueLeftOut) return { key, value, revision, deleted }
    const stored = await store.get(key, storeAnswerMs)
    if (stored.err) return undefined
    return stored.val ?? { key, value: Buffer.alloc(0), revision, deleted: true }
  }

  /** Undefined when the watcher cannot help. */
  const fromWatcher = async (watcher: Member, after: number): Promise<News | undefined> => {
    const asked = clock.now()
    const question = { followStore: { afterRevision: after, waitMs: followWaitMs } }
    const answer = await relay.ask(watcher, question, followWaitMs + peerAnswerMs)
    const told = answer.ok ? answer.val.storeNews : undefined
    if (!told?.complete || !told.confirmed || told.ageMs > followWaitMs) return undefined
    const entries = await Promise.all(told.changes.map(entryOf))
    if (entries.includes(undefined)) return undefined
    const confirmed = later(asked, told.waitedMs - told.ageMs)
    return { entries: entries.flatMap(entry => entry ?? []), revision: Math.max(after, told.revision), confirmed }
  }

  const noteSource = (now: string, watcher: string | undefined) => {
    if (now === source) return
    source = now
    log(events.storeSourceChanged, { source, watcher, confirmedAgeMs: Math.round(contact.ageMs()) })
  }

  const next = async (after: number): Promise<Result<News, StoreError>> => {
    const watcher = watcherOf(options)
    // A watcher that is not connected yet is not waited for: it may have ended with its record still there.
    const isFollowed = watcher !== undefined && watcher.name !== name && relay.isConnected(watcher)
    const told = isFollowed ? await fromWatcher(watcher, after) : undefined
    noteSource(told === undefined ? 'store' : watcher?.name ?? '', watcher?.name)
    return told === undefined ? await fromStore(after) : Ok(told)
  }

  return { next }
}

/** Answers a gateway that follows the store through this one. */
export const tellFollower = async (
  { history, contact }: { history: StoreHistory, contact: Contact },
  { afterRevision, waitMs }: RelayMessages.FollowStore__Output
): Promise<RelayMessages.StoreNews> => {
  const askedMs = performance.now()
  if (history.since(afterRevision)?.entries.length === 0) await history.untilWoken(waitMs)
  const changes = history.since(afterRevision)
  const ageMs = contact.ageMs()
  const confirmed = Number.isFinite(ageMs)
  return {
    complete: changes !== undefined,
    changes: changes?.entries.map(({ key, value, revision, deleted }) => {
      const valueLeftOut = value.length > maxRelayedBytes
      return { key, value: valueLeftOut ? Buffer.alloc(0) : value, revision, deleted, valueLeftOut }
    }) ?? [],
    revision: changes?.revision ?? 0,
    confirmed,
    ageMs: confirmed ? Math.ceil(ageMs) : 0,
    waitedMs: Math.floor(performance.now() - askedMs)
  }
}
