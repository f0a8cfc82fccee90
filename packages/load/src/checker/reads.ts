/**
 * Checks the results of reads: read-your-writes within a session, and the maximum age that the profile allows.
 */
import { counterValue } from '../history.js'
import type { Operation } from '../history.js'

const isCompletedRead = (operation: Operation): boolean => operation.access === 'read' && operation.kind === 'done'

/** Counts reads that miss a write of their session which had been confirmed before the read was sent. */
export const countSessionViolations = (operations: Operation[]): number =>
  operations.filter(operation =>
    isCompletedRead(operation) && counterValue(operation) < operation.confirmedWriteCount).length

type ClockWrite = { value: number, confirmedMs: number }

const clockWritesOf = (operations: Operation[]): ClockWrite[] => {
  const writes = operations
    .filter(operation => operation.access === 'write' && operation.kind === 'done')
    .map(operation => ({ value: counterValue(operation), confirmedMs: operation.receivedMs }))
  return writes.sort((left, right) => left.confirmedMs - right.confirmedMs)
}

/** Returns the greatest value confirmed before `beforeMs`; `runningMaxima` holds the maximum of each prefix. */
const maxConfirmedBefore = (writes: ClockWrite[], runningMaxima: number[], beforeMs: number): number => {
  let low = 0
  let high = writes.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (writes[middle].confirmedMs < beforeMs) low = middle + 1
    else high = middle
  }
  return low === 0 ? 0 : runningMaxima[low - 1]
}

/**
 * Counts reads that returned data older than their maximum age. A write that was confirmed more than that age before
 * the read was sent must be visible. A write commits before its confirmation arrives, and a read runs after the caller
 * has sent it; one clock times both, so the check can miss violations but reports no false ones.
 */
export const countAgeViolations = (operations: Operation[], clockKey: string): number => {
  const clockOperations = operations.filter(operation => operation.key === clockKey)
  const groups = new Set(clockOperations.map(operation => operation.group))
  let violations = 0
  for (const group of groups) {
    const groupOperations = clockOperations.filter(operation => operation.group === group)
    const writes = clockWritesOf(groupOperations)
    let runningMax = 0
    const runningMaxima = writes.map(write => {
      runningMax = Math.max(runningMax, write.value)
      return runningMax
    })
    for (const read of groupOperations.filter(isCompletedRead)) {
      if (counterValue(read) < maxConfirmedBefore(writes, runningMaxima, read.sentMs - read.maxAgeMs)) violations++
    }
  }
  return violations
}
