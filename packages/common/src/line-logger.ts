/**
 * Numbered events as JSON lines on standard output, written asynchronously by `pino`, several at a time. When the
 * output is not read or the rate limit is exceeded, lines are dropped and counted, so that logging never blocks the
 * program.
 */
import { pino } from 'pino'
import type { EventFields, Logger } from './log.js'

/** Token bucket of log lines: refill rate and capacity. */
const maxLinesPerSec = 1000
const maxBurstLines = 4000
/** Lines are written together once this many bytes are buffered, or after `flushDelayMs`. */
const writeThresholdBytes = 4096
const flushDelayMs = 200
/** Maximum amount of text buffered for writing, in bytes. */
const maxBufferedBytes = 512 * 1024

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
  const destination = pino.destination({
    fd: 1, sync: false, minLength: writeThresholdBytes, maxLength: maxBufferedBytes
  })
  const options = { base: { program, ...common }, timestamp: pino.stdTimeFunctions.isoTime }
  const pinoLogger = pino(options, destination)
  let availableTokens = maxBurstLines
  let refilledAtMs = performance.now()
  let notifyDropped = (_count: number) => {}
  destination.on('drop', () => notifyDropped(1))
  // A closed output pipe must not terminate the program.
  destination.on('error', () => notifyDropped(1))

  let flushTimer: NodeJS.Timeout | undefined
  const flushSoon = () => {
    flushTimer ??= setTimeout(() => {
      flushTimer = undefined
      destination.flush()
    }, flushDelayMs).unref()
  }

  const tryAcquireToken = () => {
    const nowMs = performance.now()
    availableTokens = Math.min(maxBurstLines, availableTokens + (nowMs - refilledAtMs) / 1000 * maxLinesPerSec)
    refilledAtMs = nowMs
    if (availableTokens < 1) return false
    availableTokens--
    return true
  }

  return {
    log: (event, fields = {}) => {
      if (!tryAcquireToken()) return notifyDropped(1)
      const values = typeof fields === 'function' ? fields() : fields
      pinoLogger.info({ event: event.id, name: event.name, ...values })
      flushSoon()
    },
    onDropped: listener => { notifyDropped = listener },
    close: () => destination.flushSync()
  }
}
