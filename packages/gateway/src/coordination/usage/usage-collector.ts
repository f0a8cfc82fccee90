/**
 * Asks all gateways for their counts of the open windows, and for their wall clocks. A gateway that does not reply is
 * asked again until the window is final. One that is draining is also asked before the window's end, because it may
 * have left the fleet by then.
 */
import type { FleetState } from '../../state/fleet-state.js'
import { processName } from '../../state/stored-records.js'
import type { Member } from '../../state/stored-records.js'
import type { RelayCalls } from '../routing/relay-calls.js'
import { combineCounts } from './combine-counts.js'
import type { CombinedCounts } from './combine-counts.js'
import type { FleetClock } from './fleet-clock.js'
import { decodeCounts } from './usage-counter.js'
import type { UsageCounter, WindowCounts } from './usage-counter.js'

const callTimeoutMs = 900
const repeatIntervalMs = 1000

/** Counts of a window as far as they are known, and the processes that were members and gave none. */
export type CollectedWindow = CombinedCounts & { silent: string[] }

/** Collects the counts of windows. */
export type UsageCollector = {
  /** Asks the members that have not replied; call often. */
  ask: (window: number) => void
  /** Asks the draining members for what they have counted of a window that is not open yet; call often. */
  askDraining: (window: number) => void
  hasAllReplies: (window: number) => boolean
  /** True if each member had the time of a call to reply. */
  hasAskedAll: (window: number) => boolean
  /** Corrects the clock by those that were read with the counts of the window. */
  compareClocks: (window: number) => void
  combine: (window: number) => CollectedWindow
  /** Forgets all other windows. */
  retain: (windows: readonly number[]) => void
  /** Compares the clocks of all members, once; resolves when all have replied or had the time to. */
  checkClocks: (window: number) => Promise<void>
}

/** Dependencies of the collector. */
export type CollectorOptions = {
  /** NAME/INCARNATION of this process. */
  self: string
  fleetState: Pick<FleetState, 'members'>
  relay: Pick<RelayCalls, 'call'>
  counter: Pick<UsageCounter, 'read'>
  clock: FleetClock
  monotonic: () => number
  wall: () => number
}

type Collection = {
  /** Infinity until the members are asked for their final counts. */
  openedAtMs: number
  /** Processes that were members since the collection was created. */
  seen: Set<string>
  askedAtMs: Map<string, number>
  pending: Set<string>
  /** Counts by process; undefined for one of an earlier version, which counts nothing. */
  replies: Map<string, WindowCounts | undefined>
  /** Counts of draining processes, which count while there is no reply. */
  early: Map<string, WindowCounts>
  earlyAskedAtMs: Map<string, number>
  clockOffsetsMs: Map<string, number>
}

/** Creates a collector without open windows. */
export const createUsageCollector = (options: CollectorOptions): UsageCollector => {
  const { self, fleetState, relay, counter, clock, monotonic, wall } = options
  const collections = new Map<number, Collection>()

  const createCollection = (): Collection => ({
    openedAtMs: Infinity,
    seen: new Set(),
    askedAtMs: new Map(),
    pending: new Set(),
    replies: new Map(),
    early: new Map(),
    earlyAskedAtMs: new Map(),
    clockOffsetsMs: new Map()
  })

  const collectionOf = (window: number): Collection => {
    const collection = collections.get(window) ?? createCollection()
    collections.set(window, collection)
    return collection
  }

  const others = (): Member[] => [...fleetState.members().values()].filter(member => processName(member) !== self)

  const seenMembers = ({ seen }: Collection): Member[] => {
    const members = others()
    for (const member of members) seen.add(processName(member))
    return members
  }

  const readFrom = async (member: Member, window: number) => {
    const wallMs = clock.isConfirmed() ? clock.nowMs() : 0
    return await relay.call(member, { readUsage: { window, wallMs } }, callTimeoutMs)
  }

  const askMember = async (member: Member, window: number, collection: Collection) => {
    const process = processName(member)
    const sentAtMs = monotonic()
    collection.askedAtMs.set(process, sentAtMs)
    collection.pending.add(process)
    const reply = await readFrom(member, window)
    collection.pending.delete(process)
    if (reply.err) return
    const { usageCounts } = reply.val
    collection.replies.set(process, usageCounts ? decodeCounts(usageCounts) : undefined)
    if (usageCounts) collection.clockOffsetsMs.set(process, usageCounts.wallMs - (sentAtMs + monotonic()) / 2)
  }

  const askEarly = async (member: Member, window: number, { early, earlyAskedAtMs }: Collection) => {
    const process = processName(member)
    if (monotonic() - (earlyAskedAtMs.get(process) ?? -Infinity) < repeatIntervalMs) return
    earlyAskedAtMs.set(process, monotonic())
    const reply = await readFrom(member, window)
    if (reply.ok && reply.val.usageCounts) early.set(process, decodeCounts(reply.val.usageCounts))
  }

  const shouldAsk = ({ replies, pending, askedAtMs }: Collection, process: string) =>
    !replies.has(process) && !pending.has(process) &&
    monotonic() - (askedAtMs.get(process) ?? -Infinity) >= repeatIntervalMs

  const correctClock = ({ clockOffsetsMs }: Collection) =>
    clock.correctByMedian([wall() - monotonic(), ...clockOffsetsMs.values()])

  return {
    ask: window => {
      const collection = collectionOf(window)
      collection.openedAtMs = Math.min(collection.openedAtMs, monotonic())
      for (const member of seenMembers(collection)) {
        if (shouldAsk(collection, processName(member))) askMember(member, window, collection)
      }
    },
    askDraining: window => {
      const collection = collectionOf(window)
      for (const member of seenMembers(collection)) if (member.draining) askEarly(member, window, collection)
    },
    hasAllReplies: window => {
      const { replies } = collectionOf(window)
      return others().every(member => replies.has(processName(member)))
    },
    hasAskedAll: window => monotonic() - collectionOf(window).openedAtMs >= callTimeoutMs,
    compareClocks: window => correctClock(collectionOf(window)),
    combine: window => {
      const { replies, early, seen } = collectionOf(window)
      const known = new Map([...early, ...replies, [self, counter.read(window)]])
      const silent = [...seen].filter(process => known.get(process) === undefined)
      return { ...combineCounts(known), silent }
    },
    retain: windows => {
      for (const window of collections.keys()) if (!windows.includes(window)) collections.delete(window)
    },
    checkClocks: async window => {
      const collection = createCollection()
      await Promise.all(others().map(member => askMember(member, window, collection)))
      correctClock(collection)
    }
  }
}
