/**
 * Compares the outcomes of writes that callers received with the logs of the groups' final primaries.
 */
import type { LogEntry } from '@egretyoke/testbed'
import type { Operation } from '../history.js'

/** Log of the final primary of each group. */
export type GroupLogs = Map<string, LogEntry[]>

/** Counts of writes whose outcome disagrees with the log. */
export type WriteFindings = {
  /** Confirmed under `majority`, but missing from the log. */
  lostConfirmedWrites: number
  /** Confirmed under `primary`, but missing from the log; the profile allows this after a failover. */
  lostPrimaryConfirmedWrites: number
  /** Excess log entries of writes that are not repeatable but were executed more than once. */
  repeatedWrites: number
  /** Reported as not run, but present in the log. */
  notRunButRan: number
}

const opIdPattern = / op=(\S+)/

/** Returns the number of log entries of each operation. */
const countOperations = (log: LogEntry[]): Map<string, number> => {
  const counts = new Map<string, number>()
  for (const statement of log.flatMap(entry => entry.statements)) {
    const opId = opIdPattern.exec(statement)?.[1]
    if (opId) counts.set(opId, (counts.get(opId) ?? 0) + 1)
  }
  return counts
}

/** Checks all writes to groups with a log in `logs`; other groups are skipped. */
export const checkWrites = (operations: Operation[], logs: GroupLogs): WriteFindings => {
  const findings = { lostConfirmedWrites: 0, lostPrimaryConfirmedWrites: 0, repeatedWrites: 0, notRunButRan: 0 }
  const countsByGroup = new Map([...logs].map(([group, log]) => [group, countOperations(log)]))
  for (const operation of operations) {
    const counts = countsByGroup.get(operation.group)
    if (operation.access !== 'write' || !counts) continue
    const logCount = counts.get(operation.opId) ?? 0
    const isLost = operation.kind === 'done' && logCount === 0
    if (isLost && operation.confirmation === 'majority') findings.lostConfirmedWrites++
    if (isLost && operation.confirmation === 'primary') findings.lostPrimaryConfirmedWrites++
    if (operation.kind === 'notRun' && logCount > 0) findings.notRunButRan++
    if (!operation.isRepeatable && logCount > 1) findings.repeatedWrites += logCount - 1
  }
  return findings
}
