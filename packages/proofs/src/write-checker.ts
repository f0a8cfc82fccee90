/**
 * Compares the outcomes that callers received for their writes with the logs of the databases. Each write carries a
 * unique operation ID (`op=ID`).
 */
import type { LogEntry } from '@egretyoke/testbed'

/** Outcome that a caller received for a write. `lost`: no answer arrived. */
export type ReportedOutcome = 'done' | 'notRun' | 'outcomeUnknown' | 'failed' | 'lost'

/** Operation IDs of the writes that violate a guarantee, by kind of violation. */
export type WriteFindings = {
  /** Reported as "not run", but present in the log. */
  falselyNotRun: string[]
  /** Reported as "done", but missing from the log. */
  lostConfirmed: string[]
  /** Present in the log more than once. */
  repeated: string[]
}

const operationIdOf = (statement: string): string | undefined => /(?:^| )op=(\S+)/.exec(statement)?.[1]

/** Counts the occurrences of each operation ID in a log. */
export const countOperations = (log: readonly LogEntry[]): Map<string, number> => {
  const counts = new Map<string, number>()
  for (const statement of log.flatMap(entry => entry.statements)) {
    const op = operationIdOf(statement)
    if (op !== undefined) counts.set(op, (counts.get(op) ?? 0) + 1)
  }
  return counts
}

/** Checks the reported outcomes of writes that must run at most once against the log of the group's primary. */
export const checkWrites = (
  reported: ReadonlyMap<string, ReportedOutcome>,
  log: readonly LogEntry[]
): WriteFindings => {
  const counts = countOperations(log)
  const entries = [...reported]
  return {
    falselyNotRun: entries.filter(([op, outcome]) => outcome === 'notRun' && counts.has(op)).map(([op]) => op),
    lostConfirmed: entries.filter(([op, outcome]) => outcome === 'done' && !counts.has(op)).map(([op]) => op),
    repeated: [...counts].filter(([, count]) => count > 1).map(([op]) => op)
  }
}

/** Findings of a run without violations. */
export const noWriteFindings: WriteFindings = { falselyNotRun: [], lostConfirmed: [], repeated: [] }
