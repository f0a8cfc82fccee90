/**
 * Runs writes that must run at most once, for use while faults are injected, and records the outcome of each.
 */
import { createRandom, sleepMs } from '@egretyoke/common'
import { connectRawCaller, executeRaw, outcomeOf } from './caller-streams.js'
import type { ReportedOutcome } from './write-checker.js'

/** Options of a write load. */
export type WriteLoadOptions = {
  addresses: string[]
  key: string
  seed: number
  callerCount: number
  writesPerCaller: number
  /** Maximum pause between two writes of a caller. */
  maxPauseMs: number
  timeoutMs: number
}

/** Runs the writes; resolves to the reported outcome by operation ID. */
export const runWrites = async (options: WriteLoadOptions): Promise<Map<string, ReportedOutcome>> => {
  const clients = options.addresses.map(connectRawCaller)
  const reported = new Map<string, ReportedOutcome>()
  const runCaller = async (caller: number) => {
    const random = createRandom(options.seed * 1_000 + caller)
    for (let write = 0; write < options.writesPerCaller; write++) {
      const op = `${caller}-${write}`
      const fields = { route: 'write', key: options.key, timeoutMs: options.timeoutMs }
      const answer = await executeRaw(random.pick(clients), fields, `add counter 1 op=${op}`)
      reported.set(op, outcomeOf(answer).kind as ReportedOutcome)
      await sleepMs(random.integer(0, options.maxPauseMs))
    }
  }
  try {
    await Promise.all(Array.from({ length: options.callerCount }, (_, caller) => runCaller(caller)))
  } finally {
    for (const client of clients) client.close()
  }
  return reported
}

/** Counts the operations by reported outcome. */
export const countOutcomes = (reported: ReadonlyMap<string, ReportedOutcome>): Record<string, number> => {
  const counts: Record<string, number> = {}
  for (const outcome of reported.values()) counts[outcome] = (counts[outcome] ?? 0) + 1
  return counts
}
