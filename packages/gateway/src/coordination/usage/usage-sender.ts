/**
 * Sends the stored windows to the platform, one call at a time: a call that overtakes another one could bring a lower
 * fence after a higher one.
 */
import { sleepMs } from '@egretyoke/common'
import type { Logger, Result, TypedError } from '@egretyoke/common'
import { events } from '../../events.js'
import type { Versioned } from '../../state/fleet-state.js'
import type { UsageRecord, UsageWindow } from '../../state/stored-records.js'
import { callFraction } from './usage-record.js'

/** Operations by workspace that began in one window. */
export type UsageReport = UsageWindow

/** `noAnswer`: the report may or may not have arrived. `refused`: the platform did not accept it. */
export type ReportFailure = TypedError<'noAnswer' | 'refused'>

/** Reports a window to the platform. The fence orders the calls of all processes. */
export type ReportUsage =
  (report: UsageReport, fence: number, timeoutMs: number) => Promise<Result<undefined, ReportFailure>>

/** Results of calls, as they are counted. */
export type ReportResult = 'done' | ReportFailure['reason']

/** Delays after a failed call. */
const retryDelaysMs = { first: 500, longest: 4000 } as const

/** Sends windows and remembers which ones the platform has acknowledged. */
export type UsageSender = {
  /** Sends what is not acknowledged, while `maySend` permits it. */
  send: (stored: Versioned<UsageRecord>, maySend: () => boolean) => Promise<void>
  isAcknowledged: (window: number) => boolean
  /** Time since the first of the failures after the last acknowledged call; 0 if there was none. */
  failingForMs: () => number
  /** Forgets failures from before a claim. */
  forgetFailures: () => void
}

/** Dependencies of the sender. */
export type SenderOptions = {
  report: ReportUsage
  leaseMs: number
  callsPerSec: number
  monotonic: () => number
  onResult: (result: ReportResult) => void
  log: Logger
}

/** Creates a sender. */
export const createUsageSender = (options: SenderOptions): UsageSender => {
  const { report, leaseMs, callsPerSec, monotonic, onResult, log } = options
  const acknowledged = new Set<number>()
  let failingSinceMs: number | undefined
  let retryAtMs = -Infinity
  let retryDelayMs: number = retryDelaysMs.first

  const forgetOld = ({ windows }: UsageRecord) => {
    const stored = new Set(windows.map(({ window }) => window))
    for (const window of acknowledged) if (!stored.has(window)) acknowledged.delete(window)
  }

  const backOff = () => {
    retryAtMs = monotonic() + retryDelayMs
    retryDelayMs = Math.min(retryDelaysMs.longest, retryDelayMs * 2)
  }

  const sendWindow = async (entry: UsageWindow, fence: number): Promise<ReportResult> => {
    const sent = await report(entry, fence, leaseMs * callFraction)
    const result = sent.ok ? 'done' : sent.val.reason
    onResult(result)
    failingSinceMs = sent.ok ? undefined : failingSinceMs ?? monotonic()
    if (sent.ok) {
      acknowledged.add(entry.window)
      log(events.usageReported, { window: entry.window, fence, workspaces: entry.counts.length })
    } else {
      log(events.usageReportFailed, { window: entry.window, fence, reason: result, message: sent.val.message })
    }
    return result
  }

  return {
    isAcknowledged: window => acknowledged.has(window),
    forgetFailures: () => { failingSinceMs = undefined },
    failingForMs: () => failingSinceMs === undefined ? 0 : monotonic() - failingSinceMs,
    send: async ({ record, revision }, maySend) => {
      forgetOld(record)
      if (record.windows.every(({ window }) => acknowledged.has(window))) failingSinceMs = undefined
      if (monotonic() < retryAtMs) return
      let hasFailed = false
      for (const entry of record.windows) {
        if (acknowledged.has(entry.window)) continue
        if (!maySend()) return
        const result = await sendWindow(entry, revision)
        hasFailed ||= result !== 'done'
        // A refused window must not keep back the others; without an answer, the next call would get none, either.
        if (result === 'noAnswer') break
        await sleepMs(1000 / callsPerSec)
      }
      if (hasFailed) backOff()
      else retryDelayMs = retryDelaysMs.first
    }
  }
}
