/**
 * Asks all gateways for their counts of the open windows, and for their wall clocks. A gateway that does not reply is
 * asked again until the window is final.
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

/** Counts of a window as far as they are known, and the processes that gave none. */
export type CollectedWindow = CombinedCounts & { silent: string[] }

/** Collects the counts of windows. */
export type UsageCollector = {
  /** Asks the members that have not replied; call often. */
  ask: (window: number) => void
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
  startedAtMs: number
  askedAtMs: Map<string, number>
  pending: Set<string>
  /** Counts by process; undefined for one of an earlier version, which counts nothing. */
  replies: Map<string, WindowCounts | undefined>
  clockOffsetsMs: Map<string, number>
}

/** Creates a collector without open windows. */
export const createUsageCollector = (options: CollectorOptions): UsageCollector => {
  const { self, fleetState, relay, counter, clock, monotonic, wall } = options
  const collections = new Map<number, Collection>()

  const createCollection = (): Collection => ({
    startedAtMs: monotonic(), askedAtMs: new Map(), pending: new Set(), replies: new Map(), clockOffsetsMs: new Map()
  })

  const collectionOf = (window: number): Collection => {
    const collection = collections.get(window) ?? createCollection()
    collections.set(window, collection)
    return collection
  }

  const others = (): Member[] => [...fleetState.members().values()].filter(member => processName(member) !== self)

  const askMember = async (member: Member, window: number, collection: Collection) => {
    const process = processName(member)
    const sentAtMs = monotonic()
    collection.askedAtMs.set(process, sentAtMs)
    collection.pending.add(process)
    const wallMs = clock.isConfirmed() ? clock.nowMs() : 0
    const reply = await relay.call(member, { readUsage: { window, wallMs } }, callTimeoutMs)
    collection.pending.delete(process)
    if (reply.err) return
    const { usageCounts } = reply.val
    collection.replies.set(process, usageCounts ? decodeCounts(usageCounts) : undefined)
    if (usageCounts) collection.clockOffsetsMs.set(process, usageCounts.wallMs - (sentAtMs + monotonic()) / 2)
  }

  const shouldAsk = ({ replies, pending, askedAtMs }: Collection, process: string) =>
    !replies.has(process) && !pending.has(process) &&
    monotonic() - (askedAtMs.get(process) ?? -Infinity) >= repeatIntervalMs

  const correctClock = ({ clockOffsetsMs }: Collection) =>
    clock.correctByMedian([wall() - monotonic(), ...clockOffsetsMs.values()])

  return {
    ask: window => {
      const collection = collectionOf(window)
      for (const member of others()) {
        if (shouldAsk(collection, processName(member))) askMember(member, window, collection)
      }
    },
    hasAllReplies: window => {
      const { replies } = collectionOf(window)
      return others().every(member => replies.has(processName(member)))
    },
    hasAskedAll: window => monotonic() - collectionOf(window).startedAtMs >= callTimeoutMs,
    compareClocks: window => correctClock(collectionOf(window)),
    combine: window => {
      const replies = new Map(collectionOf(window).replies).set(self, counter.read(window))
      const silent = others().map(processName).filter(process => replies.get(process) === undefined)
      return { ...combineCounts(replies), silent }
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
