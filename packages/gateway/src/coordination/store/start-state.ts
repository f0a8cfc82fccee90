/**
 * The state of the store at the start of a process: from a gateway of the same data centre that has contact.
 *
 * Load pattern: many VMs are restarted in turn or at once, and each lists the whole store. The list of members is
 * enough to find a peer. It may be stale, which the store charges less: the peer's state has its own confirmation.
 */
import { monotonicMs, sleepMs } from '@egretyoke/common'
import { recordPrefixes, decodeMember } from '../../state/stored-records.js'
import type { Member } from '../../state/stored-records.js'
import { createElection } from '../membership/election.js'
import type { RelayCalls } from '../routing/relay-calls.js'
import type { SharedStore } from './shared-store.js'
import { watcherKey } from './store-sources.js'
import { maxUnlimitedMembers } from './store-poll-pacing.js'
import type { ConfirmedChanges } from './store-sources.js'

/** A start does not wait longer for the members, for a link to a peer and for its reply; then it lists the store. */
const membersTimeoutMs = 300
const linkWaitMs = 300
const linkPollMs = 10
/** Smaller fleets list the store: their starts make few calls, and after a loss of all VMs no peer has the state. */
const defaultMinMembers = maxUnlimitedMembers + 1
/** The best-ranked peers of the data centre, because the gateway follows one of them afterwards. */
const maxPeers = 3

/** Dependencies of the state at a start. */
export type StartStateOptions = {
  name: string
  dataCentre: string
  store: Pick<SharedStore, 'list'>
  relay: Pick<RelayCalls, 'isUsable' | 'isConnected'>
  /** In a smaller fleet the store is listed at once. */
  minMembers?: number
  /** Reads the whole state from a peer; undefined if it has none that the store confirmed recently. */
  readState: (peer: Member) => Promise<ConfirmedChanges | undefined>
}

/** The members of the store's listing by name; unreadable ones are left out. */
const readMembers = async ({ store }: StartStateOptions): Promise<Map<string, Member>> => {
  const listing = await store.list(recordPrefixes.vms, membersTimeoutMs, { staleOk: true })
  const records = listing.ok ? listing.val.entries.filter(({ deleted }) => !deleted) : []
  const members = records.flatMap(({ value }) => decodeMember(value).map(member => [member]).unwrapOr([]))
  return new Map(members.map(member => [member.name, member]))
}

/** Reads the state from a peer; undefined if none gives it in time, so that the store must be listed. */
export const readStartState = async (options: StartStateOptions): Promise<ConfirmedChanges | undefined> => {
  const { name, dataCentre, relay, readState, minMembers = defaultMinMembers } = options
  const members = await readMembers(options)
  if (members.size < minMembers) return undefined
  const ranked = createElection({ members: () => members, membersVersion: () => 1 }).ranked(watcherKey(dataCentre))
  const isPeer = (member: Member) => member.dataCentre === dataCentre && member.name !== name && !member.draining
  let waiting = ranked.filter(isPeer).slice(0, maxPeers)
  const deadlineMs = monotonicMs() + linkWaitMs
  while (waiting.length > 0 && monotonicMs() < deadlineMs) {
    // Asks for all links, so that they are established at the same time.
    const connected = waiting.filter(peer => relay.isConnected(peer))
    for (const peer of connected) {
      const state = await readState(peer)
      if (state !== undefined) return state
    }
    waiting = waiting.filter(peer => !connected.includes(peer) && relay.isUsable(peer))
    if (waiting.length > 0) await sleepMs(linkPollMs)
  }
  return undefined
}
