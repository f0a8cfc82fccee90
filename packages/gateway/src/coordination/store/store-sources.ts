/**
 * Sources of changes to the platform's store: the store itself, or the gateway of the same data centre that watches the
 * store for the others. The load on the store therefore grows with the number of data centres, not of gateways.
 */
import { Err, monotonicMs, Ok, sleepMs, typedError } from '@egretyoke/common'
import type { Logger, Result } from '@egretyoke/common'
import type { RelayMessages } from '@egretyoke/protocol'
import { events } from '../../events.js'
import type { AgeClock, Contact, ClockReading } from '../../state/contact.js'
import type { ReceivedEntry } from '../../state/store-history.js'
import { epochOf } from '../../state/store-revision.js'
import type { Member } from '../../state/stored-records.js'
import type { Election } from '../membership/election.js'
import type { RelayCalls } from '../routing/relay-calls.js'
import { readPeerState } from './peer-state.js'
import type { SharedStore, StoreError } from './shared-store.js'
import type { StoreBackoff } from './store-backoff.js'
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
/** Peers that are asked in one round: those that rank before this gateway, and any ones while the store refuses it. */
const maxPeersInRound = 3
/** A peer that had no useful confirmation is not asked again for about this time. */
const avoidPeerMs = 1000
const maxAvoidedPeers = 1024

/** Changes, and a time at which the store held no further ones. */
export type ConfirmedChanges = {
  entries: ReceivedEntry[]
  revision: number
  confirmed: ClockReading
  /** True: the entries are the whole state of the store. Changes after `revision` may or may not be included. */
  isWholeState?: boolean
}

/** Key of the election of a data centre's watcher. */
export const watcherKey = (dataCentre: string): string => `watch ${dataCentre}`

/** Dependencies of the store sources. */
export type StoreSourcesOptions = {
  name: string
  dataCentre: string
  store: SharedStore
  backoff: Pick<StoreBackoff, 'delayMs'>
  election: Election
  /** Members of the fleet known to this gateway. */
  memberCount: () => number
  /** Revision of the last applied change of a key. */
  revisionOf: (key: string) => number
  contact: Contact
  clock: AgeClock
  relay: RelayCalls
  log: Logger
}

/** Reachable gateways of the data centre that may watch the store, in rank order: before this one, and all. */
const peersOf = ({ name, dataCentre, election, relay }: StoreSourcesOptions) => {
  const inDataCentre = election.ranked(watcherKey(dataCentre)).filter(member => member.dataCentre === dataCentre)
  const isPeer = (member: Member) => member.name !== name && !member.draining && relay.isUsable(member)
  const ownRank = inDataCentre.findIndex(member => member.name === name)
  const before = ownRank < 0 ? inDataCentre : inDataCentre.slice(0, ownRank)
  return { before: before.filter(isPeer).slice(0, maxPeersInRound), all: inDataCentre.filter(isPeer) }
}

/** Creates the long poll for the next changes; it resolves with the changes, or with none after the long-poll time. */
export const createStoreSources = (options: StoreSourcesOptions) => {
  const { store, backoff, contact, clock, relay, log } = options
  const pacing = createPollPacing(options.memberCount, monotonicMs)
  let source = ''
  let reachesStore = false
  const avoidedUntilMs = new Map<string, number>()

  const addMs = (moment: ClockReading, ms: number): ClockReading =>
    ({ monotonicMs: moment.monotonicMs + ms, wallMs: moment.wallMs + ms })

  const fromStore = async (after: number): Promise<Result<ConfirmedChanges, StoreError>> => {
    if (backoff.delayMs('contact') > 0) return Err(typedError('refused', 'the store failed recently'))
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
  ): Promise<ReceivedEntry | undefined> => {
    if (!valueLeftOut) return { key, value, revision, deleted }
    if (options.revisionOf(key) >= revision) return { key, value, revision, deleted, valueLeftOut }
    const stored = await store.get(key, storeReplyTimeoutMs)
    if (stored.err) return undefined
    return stored.val ?? { key, value: Buffer.alloc(0), revision, deleted: true }
  }

  const isAvoided = ({ name }: Member) => (avoidedUntilMs.get(name) ?? 0) > monotonicMs()

  const avoid = ({ name }: Member) => {
    if (avoidedUntilMs.size >= maxAvoidedPeers) avoidedUntilMs.clear()
    avoidedUntilMs.set(name, monotonicMs() + avoidPeerMs * (0.5 + Math.random()))
  }

  /** Changes from a peer; undefined if they are incomplete, unavailable or not recently confirmed. */
  const fromPeer = async (peer: Member, after: number): Promise<ConfirmedChanges | undefined> => {
    const requestedAt = clock.now()
    // A gateway that reaches the store keeps calling it until a better-ranked one reaches the store too.
    const mustBeDirect = reachesStore
    const waitMs = mustBeDirect || after === 0 ? 0 : followWaitMs
    const followStore = {
      afterRevision: after, waitMs, maxAgeMs: followWaitMs, acceptsState: true, combinesEpochs: true
    }
    const reply = await relay.call(peer, { followStore }, waitMs + peerReplyMarginMs)
    const update = reply.ok ? reply.val.storeNews : undefined
    // Changes from a peer that does not know the epoch of this gateway's state, or combines no epochs, are not all.
    const isSameEpoch = epochOf(update?.revision ?? 0) === epochOf(after)
    const hasAll = (update?.complete && isSameEpoch) || (update?.wholeState && update.revision >= after)
    const isUseful = hasAll && update.confirmed && update.ageMs <= followWaitMs
    // While this gateway calls the store, each of its calls is followed by a request that is answered at once.
    if (!isUseful && !(waitMs === 0 && reply.ok)) avoid(peer)
    if (!isUseful || (mustBeDirect && update.indirect)) return undefined
    const received = update.wholeState ? await readPeerState(relay, peer, update) : update.changes
    const entries = await Promise.all(received?.map(entryOf) ?? [undefined])
    if (entries.includes(undefined)) {
      avoid(peer)
      return undefined
    }
    return {
      entries: entries.flatMap(entry => entry ?? []),
      revision: Math.max(after, update.revision),
      confirmed: addMs(requestedAt, update.waitedMs - update.ageMs),
      isWholeState: update.wholeState
    }
  }

  const recordSource = (newSource: string, watcher: string | undefined) => {
    if (newSource === source) return
    source = newSource
    log(events.storeSourceChanged, { source, watcher, confirmedAgeMs: Math.round(contact.ageMs()) })
  }

  /** Whether the watcher can be followed now. Its process may have ended while its record still exists. */
  const isFollowable = async (watcher: Member, deadlineMs: number): Promise<boolean> => {
    const mayWait = () => options.memberCount() > maxUnlimitedMembers && relay.isUsable(watcher) &&
      contact.ageMs() < maxContactAgeToWaitMs && monotonicMs() < deadlineMs
    while (!relay.isConnected(watcher)) {
      if (!mayWait()) return false
      await sleepMs(watcherLinkPollMs)
    }
    return true
  }

  /** Asks the peers in turn until one has changes or a confirmation. */
  const fromPeers = async (peers: readonly Member[], after: number): Promise<ConfirmedChanges | undefined> => {
    const linkDeadlineMs = monotonicMs() + watcherLinkWaitMs
    for (const peer of peers) {
      if (isAvoided(peer) || !await isFollowable(peer, linkDeadlineMs)) continue
      const update = await fromPeer(peer, after)
      if (update === undefined) continue
      reachesStore = false
      recordSource(peer.name, peer.name)
      return update
    }
    return undefined
  }

  /**
   * Changes from a better-ranked peer, else from the store. While the store refuses this gateway or does not answer it,
   * any peer of the data centre that has a confirmation takes the store's place.
   */
  const next = async (after: number): Promise<Result<ConfirmedChanges, StoreError>> => {
    const { before, all } = peersOf(options)
    const followed = await fromPeers(before, after)
    if (followed !== undefined) return Ok(followed)
    const polled = await fromStore(after)
    reachesStore = polled.ok || polled.val.reason === 'historyGone'
    if (reachesStore) {
      recordSource('store', before[0]?.name)
      return polled
    }
    const confirmed = await fromPeers(all.filter(peer => !isAvoided(peer)).slice(0, maxPeersInRound), after)
    return confirmed === undefined ? polled : Ok(confirmed)
  }

  return {
    next,
    /** The whole state from a peer; undefined if it has none that was confirmed recently. */
    stateFrom: async (peer: Member): Promise<ConfirmedChanges | undefined> => {
      const state = await fromPeer(peer, 0)
      return state?.isWholeState ? state : undefined
    },
    /** True if the last confirmation came from the store, not from a peer. */
    isDirect: () => reachesStore
  }
}
