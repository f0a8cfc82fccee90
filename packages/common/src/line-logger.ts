/**
 * Numbered events as JSON lines on standard output, written asynchronously by `pino`. When the output is not read
 * or the rate limit is exceeded, lines are dropped and counted, so that logging never blocks the program.
 */
import { pino } from 'pino'
import type { EventFields, Logger } from './log.js'

/** Token bucket of log lines: refill rate and capacity. */
const maxLinesPerSec = 1000
const maxBurstLines = 4000
/** Maximum amount of text buffered for writing, in bytes. */
const maxWaitingBytes = 512 * 1024

/** A logger and control of its output. */
export type LineLogger = {
  log: Logger
  /** Sets the listener that is called with the number of dropped lines. */
  onDropped: (listener: (count: number) => void) => void
  /** Flushes the buffered lines synchronously. */
  close: () => void
}

/** Creates a logger that adds the given fields to each line. */
export const createLineLogger = (program: string, common: EventFields = {}): LineLogger => {
  const destination = pino.destination({ fd: 1, sync: false, maxLength: maxWaitingBytes })
  const options = { base: { program, ...common }, timestamp: pino.stdTimeFunctions.isoTime }
  const lines = pino(options, destination)
  let allowance = maxBurstLines
  let filledAtMs = performance.now()
  let noteDropped = (_count: number) => {}
  destination.on('drop', () => noteDropped(1))
  // A closed output pipe must not terminate the program.
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
