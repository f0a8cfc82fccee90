/**
 * Keeps the local copy of the platform's records up to date. Two VMs in each data centre, the relays, poll the
 * platform; all others receive changes from peers. The load on the platform therefore grows with the number of data
 * centres and not with the number of VMs.
 */
import { createTicker } from '@egretyoke/common'
import type { Clock, Logger } from '@egretyoke/common'
import { storeKeys } from '@egretyoke/config'
import type { Platform, StoredEntry } from '@egretyoke/fleet'
import { events } from '../events.js'
import type { PlatformState } from '../state/platform-state.js'
import type { Contact } from './contact.js'
import type { PeerCalls } from './peer-calls.js'

/** A VM whose confirmation is older than this fraction of the contact TTL polls the platform at the fallback rate. */
const staleFraction = 0.5

/** When many peers announce the same revision, fetching it from a few of them is enough. */
const maxConcurrentFetches = 3

/** Number of VMs in each data centre that poll the platform. */
export const relaysPerDataCentre = 2

/** Dependencies and options of the follower. */
export type StateFollowerOptions = {
  platform: Platform
  state: PlatformState
  contact: Contact
  calls: PeerCalls
  clock: Clock
  log: Logger
  pollIntervalMs: number
  timeoutMs: number
  contactTtlMs: number
  /** True if this VM polls the platform for its data centre. */
  isRelay: () => boolean
  /** Number of VMs that share the fallback polling rate. */
  rosterSize: () => number
}

/** Follows changes of the platform's records. */
export type StateFollower = {
  /** Polls the platform immediately. */
  pollNow: () => void
  /** Fetches newer records from a peer. */
  fetchFrom: (address: string) => Promise<void>
  run: (signal: AbortSignal) => Promise<void>
}

/** Creates a follower; `run` ends when its signal is aborted. */
export const createStateFollower = (options: StateFollowerOptions): StateFollower => {
  const { platform, state, contact, calls, clock, log, timeoutMs } = options
  const ticker = createTicker(options.pollIntervalMs)
  let isPollRequested = true
  let lastPollMs = -Infinity
  let activeFetches = 0

  const fetchDocument = async (hash: string): Promise<string | undefined> => {
    const found = await platform.get(storeKeys.document(hash), timeoutMs)
    return found.ok ? found.val?.value.toString('utf8') : undefined
  }

  const applyRecords = async (entries: StoredEntry[], source: string): Promise<boolean> => {
    for (const entry of entries) contact.recordRevision(entry.revision)
    const applied = await state.applyRecords(entries, fetchDocument)
    if (!applied.ok) {
      log(events.stateRefused, { source, reason: applied.val.reason, detail: applied.val.message })
      return false
    }
    if (applied.val) log(events.stateLearned, { source, revision: state.revision() })
    return true
  }

  const poll = async () => {
    const sentAtMs = clock()
    const changes = await platform.range(storeKeys.watchedPrefix, state.revision(), timeoutMs)
    if (!changes.ok || !await applyRecords(changes.val.entries, 'platform')) return
    contact.recordPlatformConfirmation(sentAtMs)
    contact.completeStartup()
  }

  const fetchFrom = async (address: string) => {
    if (activeFetches >= maxConcurrentFetches) return
    activeFetches++
    try {
      const reply = await calls.fetchState(address, state.revision(), timeoutMs)
      if (reply && !reply.starting) await applyRecords(reply.entries, address)
    } finally {
      activeFetches--
    }
  }

  /**
   * When the relays cannot reach the platform, all other VMs poll it themselves, at an interval long enough that
   * together they poll no more often than the relays would.
   */
  const isFallbackPollDue = (): boolean => {
    if (contact.confirmedAgeMs() < options.contactTtlMs * staleFraction) return false
    return clock() - lastPollMs >= options.pollIntervalMs * options.rosterSize() / relaysPerDataCentre
  }

  const shouldPoll = () => isPollRequested || contact.isStarting() || options.isRelay() || isFallbackPollDue()

  const run = async (signal: AbortSignal) => {
    for await (const _ of ticker.ticks(signal)) {
      if (!shouldPoll()) continue
      isPollRequested = false
      lastPollMs = clock()
      await poll()
    }
  }

  const pollNow = () => {
    isPollRequested = true
    ticker.wake()
  }

  return { pollNow, fetchFrom, run }
}
