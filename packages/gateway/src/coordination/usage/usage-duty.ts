/**
 * The claim of usage reports in the platform's store, and the writes of the reporter. The first gateway in rank claims
 * the record while its reporter is no member of the fleet, or the next one if the first does not. Every write is
 * conditional on the record's revision, so that of two gateways that believe to be the reporter only one can store
 * counts.
 */
import type { Logger } from '@egretyoke/common'
import type { StoredEntry } from '@egretyoke/fleet'
import { events } from '../../events.js'
import type { FleetState, Versioned } from '../../state/fleet-state.js'
import { encodeRecord, usageKey } from '../../state/stored-records.js'
import type { UsageRecord } from '../../state/stored-records.js'
import type { Election } from '../membership/election.js'
import { replaceAny } from '../store/replace-any.js'
import type { SharedStore } from '../store/shared-store.js'
import { claimedBy, isUsageClaimed, mayClaim } from './usage-record.js'

const storeTimeoutMs = 900
/** Delays after a failed write; a store that refuses is not called more often because of it. */
const retryDelaysMs = { first: 400, longest: 3000 } as const

/** The claim of this process. */
export type UsageDuty = {
  /** The record while it names this process as the reporter. */
  owned: () => Versioned<UsageRecord> | undefined
  /** True if this process should claim the record now. */
  shouldClaim: () => boolean
  /** `firstWindow`: the window with which a fleet without a record begins. */
  claim: (firstWindow: number) => Promise<void>
  /** Stores the record in place of the owned one; false if it was not stored, or it is unknown whether it was. */
  save: (record: UsageRecord) => Promise<boolean>
  /** Releases the claim with the record, and leaves it to other gateways for a time. */
  release: (record: UsageRecord, abstainMs: number) => Promise<void>
  /** True while no write is made because the last one failed. */
  isBackingOff: () => boolean
  sinceClaimMs: () => number
  /** Time since this process sent a write that took effect. */
  sinceSavedMs: () => number
  /** True if a record has been stored before. */
  hasRecord: () => boolean
}

/** Dependencies of the duty. */
export type DutyOptions = {
  /** NAME/INCARNATION of this process. */
  self: string
  name: string
  fleetState: Pick<FleetState, 'usageRecord' | 'members' | 'apply'>
  election: Pick<Election, 'ranked'>
  /** True if this gateway's copy of the store is current and its lease held. */
  isCurrent: () => boolean
  store: Pick<SharedStore, 'compareAndSwap'>
  monotonic: () => number
  log: Logger
}

/** Creates the duty without a claim. */
export const createUsageDuty = (options: DutyOptions): UsageDuty => {
  const { self, name, fleetState, election, isCurrent, store, monotonic, log } = options
  let claimedAtMs: number | undefined
  let savedAtMs = -Infinity
  let unclaimedSinceMs: number | undefined
  let abstainUntilMs = -Infinity
  let retryAtMs = -Infinity
  let retryDelayMs: number = retryDelaysMs.first
  /** Kept beyond a deletion of the record, so that no window of it is counted a second time. */
  let lastKnown: UsageRecord | undefined

  const known = (): UsageRecord | undefined => {
    lastKnown = fleetState.usageRecord()?.record ?? lastKnown
    return lastKnown
  }

  /** A claim whose reply was lost counts from when the record is seen, which is later than its effect. */
  const owned = () => {
    const stored = fleetState.usageRecord()
    const isOwned = stored?.record.keeper === self
    if (!isOwned) claimedAtMs = undefined
    else claimedAtMs ??= monotonic()
    return isOwned ? stored : undefined
  }

  const rank = () =>
    election.ranked('usage').filter(member => !member.draining).findIndex(member => member.name === name)

  const shouldClaim = () => {
    if (isUsageClaimed(fleetState.usageRecord()?.record, fleetState.members())) {
      unclaimedSinceMs = undefined
      return false
    }
    unclaimedSinceMs ??= monotonic()
    if (!isCurrent() || monotonic() < Math.max(retryAtMs, abstainUntilMs)) return false
    return mayClaim(rank(), monotonic() - unclaimedSinceMs)
  }

  const backOff = () => {
    retryAtMs = monotonic() + retryDelayMs
    retryDelayMs = Math.min(retryDelaysMs.longest, retryDelayMs * 2)
  }

  const recordSaved = (startedAtMs: number, current: StoredEntry) => {
    fleetState.apply(current)
    savedAtMs = startedAtMs
    retryDelayMs = retryDelaysMs.first
    known()
  }

  const claim = async (firstWindow: number) => {
    const startedAtMs = monotonic()
    const value = encodeRecord(claimedBy(known(), self, firstWindow))
    const expectedRevision = fleetState.usageRecord()?.revision ?? 0
    const mayReplace = (stored: StoredEntry) => {
      fleetState.apply(stored)
      return fleetState.usageRecord() === undefined
    }
    const swap = await replaceAny(store, { key: usageKey, value }, expectedRevision, storeTimeoutMs, mayReplace)
    if (swap.err || !swap.val.swapped || swap.val.current === undefined) return backOff()
    recordSaved(startedAtMs, swap.val.current)
    claimedAtMs = monotonic()
    log(events.usageClaimed, { revision: swap.val.current.revision, nextWindow: lastKnown?.nextWindow })
  }

  const save = async (record: UsageRecord): Promise<boolean> => {
    const stored = owned()
    if (stored === undefined) return false
    const startedAtMs = monotonic()
    const swap = await store.compareAndSwap({
      key: usageKey, value: encodeRecord(record), expectedRevision: stored.revision
    }, storeTimeoutMs)
    if (swap.ok && swap.val.swapped && swap.val.current !== undefined) {
      recordSaved(startedAtMs, swap.val.current)
      return true
    }
    backOff()
    if (swap.err) return false
    // The stored record counts: another reporter's, or one of an own write whose reply was lost.
    const gone = { key: usageKey, value: Buffer.alloc(0), revision: stored.revision + 1, deleted: true }
    fleetState.apply(swap.val.current ?? gone)
    return false
  }

  return {
    owned,
    shouldClaim,
    claim,
    save,
    release: async (record, abstainMs) => {
      abstainUntilMs = monotonic() + abstainMs
      await save({ ...record, keeper: '' })
    },
    isBackingOff: () => monotonic() < retryAtMs,
    sinceClaimMs: () => claimedAtMs === undefined ? 0 : monotonic() - claimedAtMs,
    sinceSavedMs: () => monotonic() - savedAtMs,
    hasRecord: () => known() !== undefined
  }
}
