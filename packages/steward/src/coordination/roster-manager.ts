/**
 * Updates the roster of entry VMs and the list of leaving VMs in the platform's store from the platform's VM list.
 *
 * The roster changes by one VM at a time, and each change waits until a majority of the current roster has received
 * the previous one, so that any two majorities in use at the same time have a VM in common.
 */
import { monotonicMs, ticks } from '@egretyoke/common'
import type { Clock, Logger } from '@egretyoke/common'
import { encodeRecord, storeKeys } from '@egretyoke/config'
import type { Leaving, Roster, RosterMember } from '@egretyoke/config'
import type { Platform, StoredEntry, VmListing } from '@egretyoke/fleet'
import { events } from '../events.js'
import type { StewardMetrics } from '../metrics.js'
import type { Stored } from '../state/stored-records.js'
import type { EntryPeers } from './entry-peers.js'
import { majorityOf } from './promotion-calls.js'

/** How long a VM must be missing from the platform's list before it is removed from the roster, in milliseconds. */
export const rosterGraceMs = 10_000

/** Dependencies of the roster manager. */
export type RosterManagerOptions = {
  platform: Platform
  entries: EntryPeers
  roster: () => Stored<Roster | undefined>
  leaving: () => Stored<Leaving | undefined>
  updateCopy: (entry: StoredEntry) => void
  holdsLease: () => boolean
  intervalMs: number
  timeoutMs: number
  metrics: StewardMetrics
  log: Logger
  clock?: Clock
  graceMs?: number
  signal: AbortSignal
}

const toRosterMember = (vm: VmListing): RosterMember =>
  ({ name: vm.name, address: vm.address, dataCentre: vm.dataCentre })

const hasSameLocation = (left: RosterMember, right: RosterMember): boolean =>
  left.address === right.address && left.dataCentre === right.dataCentre

/**
 * Returns the roster's members after the next single change (an updated, added or removed VM); undefined if none is
 * needed.
 */
export const nextRosterMembers = (
  members: RosterMember[],
  listed: RosterMember[],
  hasGraceExpired: (name: string) => boolean
): RosterMember[] | undefined => {
  const byName = new Map(listed.map(member => [member.name, member]))
  const relocated = members.find(member =>
    byName.has(member.name) && !hasSameLocation(member, byName.get(member.name)!))
  if (relocated) {
    return members.map(member =>
      member === relocated ? { ...byName.get(member.name)!, suspended: member.suspended } : member)
  }
  const added = listed.find(member => !members.some(other => other.name === member.name))
  if (added) return [...members, added]
  const removed = members.find(member => !byName.has(member.name) && hasGraceExpired(member.name))
  return removed && members.filter(member => member !== removed)
}

/** Returns the sorted names of the leaving VMs by role. */
export const leavingVmsByRole = (vms: VmListing[]): Leaving => {
  const names = (role: VmListing['role']) =>
    vms.filter(vm => vm.leaving && vm.role === role).map(vm => vm.name).sort()
  return { endpoints: names('ENDPOINT'), vms: names('ENTRY') }
}

/** Updates roster and leaving list periodically, while this steward holds the lease, until the signal aborts. */
export const manageRoster = async (options: RosterManagerOptions): Promise<void> => {
  const { platform, entries, timeoutMs, metrics, log, clock = monotonicMs, graceMs = rosterGraceMs } = options
  const missingSinceMs = new Map<string, number>()

  const storeRecord = async (key: string, expectedRevision: number, record: Roster | Leaving): Promise<boolean> => {
    const swap = await platform.compareAndSwap({ key, expectedRevision, value: encodeRecord(record) }, timeoutMs)
    if (swap.ok && swap.val.current) options.updateCopy(swap.val.current)
    return swap.ok && swap.val.swapped
  }

  const updateMissing = (members: RosterMember[], listed: RosterMember[]) => {
    const present = new Set(listed.map(member => member.name))
    for (const name of missingSinceMs.keys()) {
      if (present.has(name) || !members.some(member => member.name === name)) missingSinceMs.delete(name)
    }
    for (const { name } of members) {
      if (!present.has(name) && !missingSinceMs.has(name)) missingSinceMs.set(name, clock())
    }
  }
  const hasGraceExpired = (name: string) => clock() - (missingSinceMs.get(name) ?? clock()) >= graceMs

  const majorityReceived = async (members: RosterMember[], revision: number): Promise<boolean> => {
    const replies = await Promise.all(members.map(entry => entries.observe(entry)))
    const upToDate = replies.filter(reply => reply && !reply.starting && reply.knownRevision >= revision)
    return upToDate.length >= majorityOf(members.length)
  }

  const updateMembers = async (listed: RosterMember[]) => {
    const { value: roster, revision } = options.roster()
    if (!roster) {
      if (revision !== 0 || listed.length === 0) return
      const isCreated = await storeRecord(storeKeys.roster, 0, { version: 1, members: listed })
      if (isCreated) log(events.rosterChanged, { version: 1, members: listed.map(member => member.name) })
      return
    }
    metrics.setRosterSize(roster.members.length)
    updateMissing(roster.members, listed)
    const members = nextRosterMembers(roster.members, listed, hasGraceExpired)
    if (!members) return
    if (!await majorityReceived(roster.members, revision)) return log(events.rosterWaits, { version: roster.version })
    const next = { version: roster.version + 1, members }
    const isStored = await storeRecord(storeKeys.roster, revision, next)
    if (isStored) log(events.rosterChanged, { version: next.version, members: members.map(member => member.name) })
  }

  const updateLeaving = async (vms: VmListing[]) => {
    const { value: stored, revision } = options.leaving()
    const leaving = leavingVmsByRole(vms)
    const isUnchanged = stored
      ? JSON.stringify(stored) === JSON.stringify(leaving)
      : leaving.endpoints.length + leaving.vms.length === 0
    if (isUnchanged) return
    if (await storeRecord(storeKeys.leaving, revision, leaving)) log(events.leavingChanged, leaving)
  }

  for await (const _ of ticks(options.intervalMs, options.signal)) {
    if (!options.holdsLease()) {
      missingSinceMs.clear()
      continue
    }
    const vms = await platform.listVms(timeoutMs)
    if (!vms.ok) continue
    await updateLeaving(vms.val)
    await updateMembers(vms.val.filter(vm => vm.role === 'ENTRY').map(toRosterMember))
  }
}
