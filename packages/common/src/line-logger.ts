/**
 * Numbered events as JSON lines on standard output, written in the background by `pino`. When nobody reads them, or
 * when there are too many, lines are left out and counted: logging never holds the program up.
 */
import { pino } from 'pino'
import type { EventFields, Logger } from './log.js'

/** Lines a second, on average, and at once. */
const maxLinesPerSec = 1000
const maxBurstLines = 4000
/** Text that may wait to be written, in bytes. */
const maxWaitingBytes = 512 * 1024

/** A logger with its destination. */
export type LineLogger = {
  log: Logger
  /** Hears how many lines were left out. */
  onDropped: (listener: (count: number) => void) => void
  /** Writes what waits, and ends. */
  close: () => void
}

/** Creates a logger whose lines carry the given fields. */
export const createLineLogger = (program: string, common: EventFields = {}): LineLogger => {
  const destination = pino.destination({ fd: 1, sync: false, maxLength: maxWaitingBytes })
  const options = { base: { program, ...common }, timestamp: pino.stdTimeFunctions.isoTime }
  const lines = pino(options, destination)
  let allowance = maxBurstLines
  let filledAtMs = performance.now()
  let noteDropped = (_count: number) => {}
  destination.on('drop', () => noteDropped(1))
  // A reader that went away must not end the program.
  destination.on('error', () => noteDropped(1))

  const isAllowed = () => {
    const nowMs = performance.now()
    allowance = Math.min(maxBurstLines, allowance + (nowMs - filledAtMs) / 1000 * maxLinesPerSec)
    filledAtMs = nowMs
    if (allowance < 1) return false
    allowance--
    return true
  }

  return {
    log: (event, fields = {}) => {
      if (!isAllowed()) return noteDropped(1)
      const gathered = typeof fields === 'function' ? fields() : fields
      lines.info({ event: event.id, name: event.name, ...gathered })
    },
    onDropped: listener => { noteDropped = listener },
    close: () => destination.flushSync()
  }
}
