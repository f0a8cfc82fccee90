/**
 * The loop of the usage reporter: claims the duty, collects each window after its end, stores its counts, and sends
 * what is stored. Exactly what is stored is sent, by this process or a successor.
 */
import { sleepUntilTick } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import { events } from '../../events.js'
import type { UsageRecord, UsageWindow } from '../../state/stored-records.js'
import type { FleetClock } from './fleet-clock.js'
import type { CollectedWindow, UsageCollector } from './usage-collector.js'
import type { UsageDuty } from './usage-duty.js'
import { callFraction, firstDueWindow, maySend, withCounted } from './usage-record.js'
import type { UsageSender } from './usage-sender.js'
import { isCollected, windowAt, windowsAhead, windowsToCollect } from './usage-windows.js'

const stepIntervalMs = 200
/** A fleet's first reporter claims this long after its start, when other gateways can be asked for their clocks. */
const firstClaimDelayMs = 1000

/** Time for which a reporter that the platform does not answer leaves the duty to others, which it may answer. */
const abstainMs = 60_000
/** Names of silent processes in a log line. */
const maxLoggedNames = 10

/** Settings of usage reports. */
export type UsageSettings = {
  /** Length of a window. */
  windowMs: number
  /** Time after a window's end at which its report is due. */
  lateMs: number
  /** Accepted relative error of a count. */
  tolerance: number
  /** Time within which holders of the duty must not act in the order A, B, A. */
  leaseMs: number
  /** Calls of the whole fleet per second. */
  callsPerSec: number
}

/** The reporter of a process. */
export type UsageReporter = {
  /** One pass of the loop of `run`. */
  step: () => Promise<void>
  run: (signal: AbortSignal) => Promise<void>
  /** Releases the claim; the process claims it no more. */
  leave: () => Promise<void>
}

/** Dependencies of the reporter. */
export type ReporterOptions = {
  settings: UsageSettings
  duty: UsageDuty
  collector: UsageCollector
  sender: UsageSender
  clock: FleetClock
  isLeaseHeld: (forMs: number) => boolean
  /** Age of this gateway's copy of the store. */
  contactAgeMs: () => number
  monotonic: () => number
  log: Logger
}

/** Creates the reporter; it does nothing before `run`. */
export const createUsageReporter = (options: ReporterOptions): UsageReporter => {
  const { settings, duty, collector, sender, clock, isLeaseHeld, contactAgeMs, monotonic, log } = options
  const { windowMs, lateMs, leaseMs, tolerance } = settings
  const startedAtMs = monotonic()
  let isLeaving = false
  let isSuccessor = false
  let lastStep: Promise<void> = Promise.resolve()

  /** True time at which this process started. */
  const startMs = () => clock.nowMs() - (monotonic() - startedAtMs)

  const claim = async () => {
    if (!duty.hasRecord() && monotonic() - startedAtMs < firstClaimDelayMs) return
    if (!clock.isConfirmed()) await collector.checkClocks(windowAt(clock.nowMs(), windowMs))
    if (isLeaving || !duty.shouldClaim()) return
    isSuccessor = duty.hasRecord()
    await duty.claim(windowAt(startMs(), windowMs))
  }

  const isFinal = (window: number) => isCollected({
    window,
    nowMs: clock.nowMs(),
    windowMs,
    lateMs,
    hasAllReplies: collector.hasAllReplies(window),
    hasAskedAll: collector.hasAskedAll(window)
  })

  const logIncomplete = (window: number, { silent, fromSenders, total }: CollectedWindow) => {
    // Of a window from before its start, a successor does not know which processes were members.
    const isFromBefore = isSuccessor && window * windowMs < startMs()
    if (silent.length === 0 && fromSenders <= total * tolerance && !isFromBefore) return
    const names = silent.slice(0, maxLoggedNames)
    log(events.usageIncomplete, { window, silent: silent.length, names, isFromBefore, fromSenders, total })
  }

  const storeCounted = async (record: UsageRecord, windows: readonly number[]) => {
    const collected = windows.map(window => ({ window, ...collector.combine(window) }))
    const counted = collected.map(({ window, counts }): UsageWindow => ({ window, counts }))
    const next = withCounted(record, counted, sender.isAcknowledged)
    if (!await duty.save(next.record)) return
    for (const entry of collected) logIncomplete(entry.window, entry)
    for (const window of next.dropped) log(events.usageDropped, { window })
  }

  const collect = async (stored: UsageRecord) => {
    const nowMs = clock.nowMs()
    const nextWindow = firstDueWindow(stored.nextWindow, windowAt(nowMs, windowMs))
    const open = windowsToCollect(nextWindow, nowMs, windowMs)
    const ahead = windowsAhead(nextWindow, nowMs, windowMs)
    collector.retain([...open, ...ahead])
    for (const window of open) collector.ask(window)
    for (const window of ahead) collector.askDraining(window)
    if (duty.isBackingOff()) return
    const firstOpen = open.findIndex(window => !isFinal(window))
    const final = firstOpen === -1 ? open : open.slice(0, firstOpen)
    for (const window of final) collector.compareClocks(window)
    // By the corrected time, a window may not have ended yet; what was collected of it is forgotten in the next pass.
    const due = windowsToCollect(nextWindow, clock.nowMs(), windowMs)
    const counted = final.filter(window => due.includes(window))
    if (counted.length > 0) await storeCounted({ ...stored, nextWindow }, counted)
  }

  const maySendNow = () => !isLeaving && duty.owned() !== undefined && maySend({
    leaseMs,
    sinceClaimMs: duty.sinceClaimMs(),
    sinceProofMs: Math.min(duty.sinceSavedMs(), contactAgeMs()),
    isLeaseHeld: isLeaseHeld(leaseMs * callFraction)
  })

  const release = async (record: UsageRecord) => {
    const { record: remaining } = withCounted(record, [], sender.isAcknowledged)
    await duty.release(remaining, abstainMs)
  }

  const step = async () => {
    const owned = duty.owned()
    if (owned === undefined) {
      sender.forgetFailures()
      if (duty.shouldClaim()) await claim()
      return
    }
    await collect(owned.record)
    const stored = duty.owned()
    if (stored === undefined) return
    await sender.send(stored, maySendNow)
    if (sender.failingForMs() < lateMs || duty.isBackingOff()) return
    log(events.usageHandedOver, { failingForMs: Math.round(sender.failingForMs()) })
    await release(stored.record)
  }

  return {
    step,
    run: async signal => {
      while (!signal.aborted && !isLeaving) {
        lastStep = step()
        await lastStep
        await sleepUntilTick(stepIntervalMs, signal)
      }
    },
    leave: async () => {
      isLeaving = true
      await lastStep
      const owned = duty.owned()
      if (owned === undefined) return
      await release(owned.record)
    }
  }
}
