/**
 * Suspends roster members that do not reply, so that the other members get their shares of the limits long before the
 * platform stops listing the VM. A suspended VM still counts for majorities, so several can be suspended at once.
 *
 * A VM is suspended when neither this steward nor most of the replying entries get replies from it, and only while a
 * majority of the roster replies. So a steward that is cut off suspends nobody, and at most a minority is suspended.
 * A wrong suspension costs the VM its share for a while; the fleet-wide limit still holds.
 */
import { monotonicMs, ticks } from '@egretyoke/common'
import type { Clock, Logger } from '@egretyoke/common'
import { encodeRecord, storeKeys } from '@egretyoke/config'
import type { Roster, RosterMember } from '@egretyoke/config'
import type { Platform, StoredEntry } from '@egretyoke/fleet'
import { events } from '../events.js'
import type { Stored } from '../state/fleet-view.js'
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
 * Returns the names of the members that should be suspended, in roster order. `views` has the replies of the current
 * poll by name; `isSilent` is true for members that have not replied to this steward for `suspendAfterMs`. Without
 * replies from a majority, or when more than a minority would be suspended, no member is added.
 */
export const nextSuspended = (
  members: RosterMember[],
  views: ReadonlyMap<string, EntryStatus>,
  isSilent: (name: string) => boolean
): string[] => {
  const kept = members.filter(({ name, suspended }) => suspended && !views.has(name)).map(({ name }) => name)
  if (views.size < majorityOf(members.length)) return kept
  const isSilentToMost = (name: string) =>
    [...views.values()].filter(view => view.silentPeers.includes(name)).length >= majorityOf(views.size)
  const wanted = members
    .map(({ name }) => name)
    .filter(name => kept.includes(name) || (!views.has(name) && isSilent(name) && isSilentToMost(name)))
  return wanted.length <= members.length - majorityOf(members.length) ? wanted : kept
}

/** Updates the suspensions periodically, while this steward holds the roster's lease, until the signal aborts. */
export const manageSuspensions = async (options: SuspensionManagerOptions): Promise<void> => {
  const { platform, entries, log, clock = monotonicMs, intervalMs = checkIntervalMs } = options
  const answeredMs = new Map<string, number>()

  const ask = async (members: RosterMember[]): Promise<Map<string, EntryStatus>> => {
    const views = new Map<string, EntryStatus>()
    const askedMs = clock()
    await Promise.all(members.map(async member => {
      const view = await entries.observe(member)
      if (view) views.set(member.name, view)
    }))
    for (const name of answeredMs.keys()) if (!members.some(member => member.name === name)) answeredMs.delete(name)
    for (const { name } of members) if (views.has(name) || !answeredMs.has(name)) answeredMs.set(name, askedMs)
    return views
  }
  const isSilent = (name: string) => clock() - (answeredMs.get(name) ?? clock()) >= suspendAfterMs

  const store = async (roster: Roster, expectedRevision: number, suspended: string[]) => {
    const members = roster.members.map(member => ({ ...member, suspended: suspended.includes(member.name) }))
    const value = encodeRecord({ ...roster, members })
    const swap = await platform.compareAndSwap({ key: storeKeys.roster, expectedRevision, value }, options.timeoutMs)
    if (!swap.ok) return
    if (swap.val.current) options.updateCopy(swap.val.current)
    if (!swap.val.swapped) return
    const lifted = roster.members.filter(({ name, suspended: was }) => was && !suspended.includes(name))
    log(events.sharesSuspended, { suspended, lifted: lifted.map(({ name }) => name) })
  }

  const round = async () => {
    const { value: roster, revision } = options.roster()
    if (!roster) return
    const views = await ask(roster.members)
    const suspended = nextSuspended(roster.members, views, isSilent)
    const isChanged = roster.members.some(member => (member.suspended ?? false) !== suspended.includes(member.name))
    if (isChanged && options.holdsLease()) await store(roster, revision, suspended)
  }

  for await (const _ of ticks(intervalMs, options.signal)) {
    if (options.holdsLease()) await round()
    else answeredMs.clear()
  }
}
