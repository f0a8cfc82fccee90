/**
 * Suspends roster members that do not reply, so that the other members get their shares of the limits long before the
 * platform stops listing the VM. A suspended VM still counts for majorities, so several can be suspended at once.
 *
 * A VM is suspended when neither this steward nor most of the replying entries get replies from it, and only while a
 * majority of the roster replies. So a steward that is cut off suspends no VM, and at most a minority is suspended.
 * A VM that is suspended wrongly has no share until it is restored; the fleet-wide limit still holds.
 */
import { monotonicMs, ticks } from '@egretyoke/common'
import type { Clock, Logger } from '@egretyoke/common'
import { encodeRecord, storeKeys } from '@egretyoke/config'
import type { Roster, RosterMember } from '@egretyoke/config'
import type { Platform, StoredEntry } from '@egretyoke/fleet'
import { events } from '../events.js'
import type { Stored } from '../state/stored-records.js'
import type { EntryPeers, EntryStatus } from './entry-peers.js'
import { majorityOf } from './promotion-calls.js'

/** Time without a reply to the steward after which a VM can be suspended, in milliseconds. */
export const suspendAfterMs = 2_000

/** Interval at which all members are polled, in milliseconds. */
const checkIntervalMs = 500

/** Dependencies of the suspension manager. */
export type SuspensionManagerOptions = {
  platform: Pick<Platform, 'compareAndSwap'>
  entries: Pick<EntryPeers, 'observe'>
  roster: () => Stored<Roster | undefined>
  updateCopy: (entry: StoredEntry) => void
  holdsLease: () => boolean
  timeoutMs: number
  log: Logger
  clock?: Clock
  intervalMs?: number
  signal: AbortSignal
}

/**
 * Returns the names of the members that should be suspended, in roster order. `statuses` has the replies of the current
 * poll by name; `isSilent` is true for members that have not replied to this steward for `suspendAfterMs`. Without
 * replies from a majority, or when more than a minority would be suspended, no member is added.
 */
export const nextSuspended = (
  members: RosterMember[],
  statuses: ReadonlyMap<string, EntryStatus>,
  isSilent: (name: string) => boolean
): string[] => {
  const stillSuspended = members
    .filter(({ name, suspended }) => suspended && !statuses.has(name))
    .map(({ name }) => name)
  if (statuses.size < majorityOf(members.length)) return stillSuspended
  const isSilentForMajority = (name: string) =>
    [...statuses.values()].filter(status => status.silentPeers.includes(name)).length >= majorityOf(statuses.size)
  const nextNames = members
    .map(({ name }) => name)
    .filter(name =>
      stillSuspended.includes(name) || (!statuses.has(name) && isSilent(name) && isSilentForMajority(name)))
  return nextNames.length <= members.length - majorityOf(members.length) ? nextNames : stillSuspended
}

/** Updates the suspensions periodically, while this steward holds the roster's lease, until the signal aborts. */
export const manageSuspensions = async (options: SuspensionManagerOptions): Promise<void> => {
  const { platform, entries, log, clock = monotonicMs, intervalMs = checkIntervalMs } = options
  const lastReplyMs = new Map<string, number>()

  const pollMembers = async (members: RosterMember[]): Promise<Map<string, EntryStatus>> => {
    const statuses = new Map<string, EntryStatus>()
    const startedMs = clock()
    await Promise.all(members.map(async member => {
      const status = await entries.observe(member)
      if (status) statuses.set(member.name, status)
    }))
    for (const name of lastReplyMs.keys()) if (!members.some(member => member.name === name)) lastReplyMs.delete(name)
    for (const { name } of members) if (statuses.has(name) || !lastReplyMs.has(name)) lastReplyMs.set(name, startedMs)
    return statuses
  }
  const isSilent = (name: string) => clock() - (lastReplyMs.get(name) ?? clock()) >= suspendAfterMs

  const storeSuspensions = async (roster: Roster, expectedRevision: number, suspended: string[]) => {
    const members = roster.members.map(member => ({ ...member, suspended: suspended.includes(member.name) }))
    const value = encodeRecord({ ...roster, members })
    const swap = await platform.compareAndSwap({ key: storeKeys.roster, expectedRevision, value }, options.timeoutMs)
    if (!swap.ok) return
    if (swap.val.current) options.updateCopy(swap.val.current)
    if (!swap.val.swapped) return
    const lifted = roster.members.filter(({ name, suspended: wasSuspended }) =>
      wasSuspended && !suspended.includes(name))
    log(events.sharesSuspended, { suspended, lifted: lifted.map(({ name }) => name) })
  }

  const checkMembers = async () => {
    const { value: roster, revision } = options.roster()
    if (!roster) return
    const statuses = await pollMembers(roster.members)
    const suspended = nextSuspended(roster.members, statuses, isSilent)
    const isChanged = roster.members.some(member => (member.suspended ?? false) !== suspended.includes(member.name))
    if (isChanged && options.holdsLease()) await storeSuspensions(roster, revision, suspended)
  }

  for await (const _ of ticks(intervalMs, options.signal)) {
    if (options.holdsLease()) await checkMembers()
    else lastReplyMs.clear()
  }
}
