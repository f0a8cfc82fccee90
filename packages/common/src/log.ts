/**
 * Numbered events as one JSON object per line, written by `debug` under the namespace `egretyoke:PROGRAM`.
 * Each package declares its events in `src/events.ts`; docs/EVENTS.md lists them all.
 */
import createDebug from 'debug'

// Disables the default formatter, which prefixes each line with its own time and namespace.
createDebug.formatArgs = () => {}

/** An event of the catalogue. `id` is the event number. */
export type EventDefinition = {
  id: number
  name: string
  meaning: string
}

/** Declares an event of a package's catalogue. */
export const defineEvent = (id: number, name: string, meaning: string): EventDefinition => ({ id, name, meaning })

/** Fields of one log line. Callers' keys are never logged. */
export type EventFields = Record<string, string | number | boolean | null | undefined | readonly string[]>

/** Writes numbered events. Fields that are costly to compute are passed as a function, called only if logging is on. */
export type Logger = (event: EventDefinition, fields?: EventFields | (() => EventFields)) => void

/** Creates a logger that adds the given fields to each line. Enabled by DEBUG=egretyoke:*. */
export const createLogger = (program: string, common: EventFields = {}): Logger => {
  const write = createDebug(`egretyoke:${program}`)
  return (event, fields = {}) => {
    if (!write.enabled) return
    const values = typeof fields === 'function' ? fields() : fields
    const line = { time: new Date().toISOString(), event: event.id, name: event.name, program, ...common, ...values }
    write('%s', JSON.stringify(line))
  }
}

/** A logger that writes nothing. */
export const silentLogger: Logger = () => {}
