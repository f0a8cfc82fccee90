/**
 * Sources of changes to the platform's store: the store itself, or the gateway of the same data centre that watches the
 * store for the others. The load on the store therefore grows with the number of data centres, not of gateways.
 */
import { Err, monotonicMs, Ok, sleepMs } from '@egretyoke/common'
import type { Logger, Result } from '@egretyoke/common'
import type { StoredEntry } from '@egretyoke/fleet'
import type { RelayMessages } from '@egretyoke/protocol'
import { events } from '../../events.js'
import type { AgeClock, Contact, ClockReading } from '../../state/contact.js'
import type { StoreChanges, StoreHistory } from '../../state/store-history.js'
import type { Member } from '../../state/stored-records.js'
import type { Election } from '../membership/election.js'
import type { RelayCalls } from '../routing/relay-calls.js'
import type { SharedStore, StoreError } from './shared-store.js'
import { createPollPacing, maxUnlimitedMembers } from './store-poll-pacing.js'

/** Long-poll time of a watch; a watcher's fleet state is confirmed about this often. */
export const watchWaitMs = 1000
/** If the last confirmation is older than this, long polls use `expeditedWaitMs`, to get a new confirmation soon. */
const expediteContactMs = 500
const expeditedWaitMs = 50
/** Added to the long-poll time as call time-out, for the round trip and a slow store. */
export const storeReplyTimeoutMs = 1200
/** A watcher forwards each confirmation. After none for this long it is not relied on, even if the store is slow. */
const followWaitMs = watchWaitMs + 300
/** Added to the long-poll time as call time-out, for the round trip within the data centre. */
const peerReplyMarginMs = 400
/**
 * In a large fleet, a gateway waits this long for the link to its watcher before it polls the store itself, as long as
 * its last confirmation is recent. When a large fleet starts, each gateway would otherwise poll for every member that
 * joins until its link is established.
 */
const watcherLinkWaitMs = 400
const watcherLinkPollMs = 50
const maxContactAgeToWaitMs = 1000
/** A follower that is behind by more reads the store itself, so that its reply does not overload the link. */
const maxReplyBytes = 1024 * 1024

/** Changes, and a time at which the store held no further ones. */
export type ConfirmedChanges = StoreChanges & { confirmed: ClockReading }

/** Dependencies of the store sources. */
export type StoreSourcesOptions = {
  name: string
  dataCentre: string
  store: SharedStore
  election: Election
  /** Members of the fleet known to this gateway. */
  memberCount: () => number
  contact: Contact
  clock: AgeClock
  relay: RelayCalls
  log: Logger
}

/** The highest-ranked reachable gateway of the data centre; may be this one. */
const watcherOf = ({ name, dataCentre, election, relay }: StoreSourcesOptions): Member | undefined =>
  election.ranked(`watch ${dataCentre}`).find(member => member.dataCentre === dataCentre &&
    (member.name === name || (!member.draining && relay.isUsable(member))))

/** Creates the long poll for the next changes; it resolves with the changes, or with none after the long-poll time. */
export const createStoreSources = (options: StoreSourcesOptions) => {
  const { name, store, contact, clock, relay, log } = options
  const pacing = createPollPacing(options.memberCount, monotonicMs)
  let source = ''

  const addMs = (moment: ClockReading, ms: number): ClockReading =>
    ({ monotonicMs: moment.monotonicMs + ms, wallMs: moment.wallMs + ms })

  const fromStore = async (after: number): Promise<Result<ConfirmedChanges, StoreError>> => {
    for (let delayMs = pacing.delayMs(); delayMs > 0; delayMs = pacing.delayMs()) await sleepMs(delayMs)
    const waitMs = contact.ageMs() > expediteContactMs ? expeditedWaitMs : watchWaitMs
    const requestedAt = clock.now()
    const changes = await store.changes('', after, waitMs, waitMs + storeReplyTimeoutMs)
    if (changes.err) return Err(changes.val)
    // Without changes, the store was confirmed up to the end of the long poll.
    const hasWaitedFully = changes.val.entries.length === 0 && clock.ageMs(requestedAt) >= waitMs
    return Ok({ ...changes.val, confirmed: hasWaitedFully ? addMs(requestedAt, waitMs) : requestedAt })
  }

  const entryOf = async (
    { key, value, revision, deleted, valueLeftOut }: RelayMessages.StoreChange__Output
  ): Promise<StoredEntry | undefined> => {
    if (!valueLeftOut) return { key, value, revision, deleted }
    const stored = await store.get(key, storeReplyTimeoutMs)
    if (stored.err) return undefined
    return stored.val ?? { key, value: Buffer.alloc(0), revision, deleted: true }
  }

  /** Changes from the watcher; undefined if they are incomplete, unavailable or not recently confirmed. */
  const fromWatcher = async (watcher: Member, after: number): Promise<ConfirmedChanges | undefined> => {
    const requestedAt = clock.now()
    const request = { followStore: { afterRevision: after, waitMs: followWaitMs } }
    const reply = await relay.call(watcher, request, followWaitMs + peerReplyMarginMs)
    const update = reply.ok ? reply.val.storeNews : undefined
    if (!update?.complete || !update.confirmed || update.ageMs > followWaitMs) return undefined
    const entries = await Promise.all(update.changes.map(entryOf))
    if (entries.includes(undefined)) return undefined
    const confirmed = addMs(requestedAt, update.waitedMs - update.ageMs)
    return { entries: entries.flatMap(entry => entry ?? []), revision: Math.max(after, update.revision), confirmed }
  }

  const recordSource = (newSource: string, watcher: string | undefined) => {
    if (newSource === source) return
    source = newSource
    log(events.storeSourceChanged, { source, watcher, confirmedAgeMs: Math.round(contact.ageMs()) })
  }

  /** Whether the watcher can be followed now. Its process may have ended while its record still exists. */
  const isFollowable = async (watcher: Member): Promise<boolean> => {
    const deadlineMs = monotonicMs() + watcherLinkWaitMs
    const mayWait = () => options.memberCount() > maxUnlimitedMembers && relay.isUsable(watcher) &&
      contact.ageMs() < maxContactAgeToWaitMs && monotonicMs() < deadlineMs
    while (!relay.isConnected(watcher)) {
      if (!mayWait()) return false
      await sleepMs(watcherLinkPollMs)
    }
    return true
  }

  const next = async (after: number): Promise<Result<ConfirmedChanges, StoreError>> => {
    const watcher = watcherOf(options)
    const canFollow = watcher !== undefined && watcher.name !== name && await isFollowable(watcher)
    const update = canFollow ? await fromWatcher(watcher, after) : undefined
    recordSource(update === undefined ? 'store' : watcher?.name ?? '', watcher?.name)
    return update === undefined ? await fromStore(after) : Ok(update)
  }

  return { next }
}

/** Replies to a gateway that follows the store through this one, as soon as there are changes or a confirmation. */
export const replyToFollower = async (
  { history, contact }: { history: StoreHistory, contact: Contact },
  { afterRevision, waitMs }: RelayMessages.FollowStore__Output
): Promise<RelayMessages.StoreNews> => {
  const receivedAtMs = performance.now()
  if (history.changesSince(afterRevision)?.entries.length === 0) await history.waitForChange(waitMs)
  const changes = history.changesSince(afterRevision)
  const bytes = changes?.entries.reduce((sum, { key, value }) => sum + key.length + value.length, 0) ?? 0
  const complete = changes !== undefined && bytes <= maxReplyBytes
  const ageMs = contact.ageMs()
  const confirmed = Number.isFinite(ageMs)
  return {
    complete,
    changes: complete ? changes.entries : [],
    revision: changes?.revision ?? 0,
    confirmed,
    ageMs: confirmed ? Math.ceil(ageMs) : 0,
    waitedMs: Math.floor(performance.now() - receivedAtMs)
  }
}
