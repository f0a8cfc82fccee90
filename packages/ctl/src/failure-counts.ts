/**
 * Counts of requests that ended without success, by cause and by the fields of their log lines.
 *
 * A statement that does not succeed, an operation beyond its workspace's limit, and a session that is refused or ended
 * each write one line with their outcome, at the gateway that serves the caller.
 */
import type { LogLine } from './log-files.js'

/** Fields by which failures can be counted. `window` is the start of the span of time that the line lies in. */
export const countFields = ['vm', 'workspace', 'group', 'database', 'access', 'use', 'verb', 'window'] as const
export type CountField = typeof countFields[number]

/** Options of a count. */
export type CountOptions = {
  by: readonly CountField[]
  windowMs: number
  /** Only lines at or after this time, and before `untilMs`. */
  fromMs?: number
  untilMs?: number
}

/** Number of failures with the same cause and the same values of the fields; a field that a line lacks is `-`. */
export type FailureCount = { cause: string, fields: Partial<Record<CountField, string>>, count: number }

const outcomeEvents: ReadonlySet<string> = new Set(['statementNotDone', 'limitRefused', 'sessionRefused'])

const causeOf = ({ name, status, reason }: LogLine): string => {
  if (name === 'limitRefused') return 'limit'
  if (name === 'sessionRefused') return `session ${reason}`
  return `${String(status).toLowerCase()} ${reason}`
}

/** Counts the failures, most frequent first. */
export const countFailures = (lines: readonly LogLine[], options: CountOptions): FailureCount[] => {
  const { by, windowMs, fromMs = -Infinity, untilMs = Infinity } = options
  const valueOf = (line: LogLine, field: CountField): string => {
    if (field === 'window') return new Date(Math.floor(line.timeMs / windowMs) * windowMs).toISOString().slice(11, 23)
    return String(line[field] ?? '-')
  }
  const counts = new Map<string, FailureCount>()
  for (const line of lines) {
    if (!outcomeEvents.has(line.name) || line.timeMs < fromMs || line.timeMs >= untilMs) continue
    const cause = causeOf(line)
    const fields = Object.fromEntries(by.map(field => [field, valueOf(line, field)]))
    const key = JSON.stringify([cause, fields])
    const entry = counts.get(key) ?? { cause, fields, count: 0 }
    entry.count++
    counts.set(key, entry)
  }
  return [...counts.values()].sort((one, other) => other.count - one.count)
}
