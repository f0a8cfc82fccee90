/**
 * A member's log and the key-value data that results from its applied entries.
 */
import { parseStatement } from './statement.js'
import type { Statement } from './statement.js'

/** One log entry: the writes of one statement or transaction. Positions count from 1. */
export type LogEntry = {
  term: number
  position: number
  statements: Buffer[]
}

/** Start of a term in the log; `startPosition` is the position of the last entry before the term. */
export type TermStart = { term: number, startPosition: number }

/** Maximum number of entries in a member's log; a full log declines writes. */
export const maxLogEntries = 2_000_000

/** Returns a key's value; undefined when it was never written. */
export type ReadValue = (key: string) => string | undefined

/** Returns the value of the key after a write statement. */
export const valueAfter = (statement: Statement, read: ReadValue): string => {
  if (statement.verb === 'put') return statement.value
  return String(Number(read(statement.key) ?? 0) + Number(statement.value))
}

/** The log of one member. */
export type DatabaseLog = ReturnType<typeof createDatabaseLog>

/** Creates an empty log. */
export const createDatabaseLog = () => {
  let entries: LogEntry[] = []
  let data = new Map<string, string>()
  let appliedPosition = 0

  const read: ReadValue = key => data.get(key)

  const applyEntry = (entry: LogEntry) => {
    for (const text of entry.statements) {
      const statement = parseStatement(text)
      if (statement.ok) data.set(statement.val.key, valueAfter(statement.val, read))
    }
    appliedPosition = entry.position
  }

  const applyUpTo = (position: number) => {
    const last = Math.min(position, entries.length)
    while (appliedPosition < last) applyEntry(entries[appliedPosition])
  }

  const append = (entry: LogEntry) => {
    entries.push(entry)
  }

  /** Removes all entries after a position; rebuilds the data when any of them was applied. */
  const truncateAfter = (position: number) => {
    if (position >= entries.length) return
    entries = entries.slice(0, position)
    if (appliedPosition <= position) return
    data = new Map()
    appliedPosition = 0
    applyUpTo(position)
  }

  return {
    read,
    append,
    applyUpTo,
    truncateAfter,
    entriesAfter: (position: number, maxCount: number): LogEntry[] => entries.slice(position, position + maxCount),
    receivedPosition: () => entries.length,
    appliedPosition: () => appliedPosition,
    lastEntryTerm: () => entries.at(-1)?.term ?? 0,
    isFull: () => entries.length >= maxLogEntries
  }
}
