/**
 * Statements prepared on one connection, and their names there.
 *
 * A name is one field of the database's protocol and must mean one statement for the whole life of the connection. It
 * is therefore numbered, not derived from the statement, whose text belongs to a caller and may contain anything.
 * Statements are identified by a digest, so that their texts are not kept, and their number and length are bounded.
 */
import { createHash } from 'node:crypto'

/** A statement to be prepared, by its content. `shape` is a caller's text. */
export type PreparedStatement = { access: 'read' | 'write', shape: string }

/** Bounds for one connection: number of statements, and total length of their shapes. A single shape is within it. */
export type PreparedLimits = { maxCount: number, maxShapeBytes: number }

const defaultLimits: PreparedLimits = { maxCount: 200, maxShapeBytes: 1024 * 1024 }

/** The prepared statements of a connection. */
export type PreparedStatements = {
  /** Name of a statement that is prepared on the connection, which is used now; undefined otherwise. */
  nameOf: (statement: PreparedStatement) => string | undefined
  /** A name that this connection has not used before. */
  nextName: () => string
  /** Names to be dropped before the statement is prepared, so that the bounds hold; least recently used first. */
  namesToDrop: (statement: PreparedStatement) => string[]
  /** Records that the database has prepared the statement under the name. */
  add: (statement: PreparedStatement, name: string) => void
  /** Records that the database has dropped the name. */
  remove: (name: string) => void
  /** Forgets all statements. Their names stay used. */
  clear: () => void
}

/** Creates the prepared statements of a new connection: none. */
export const createPreparedStatements = (limits: PreparedLimits = defaultLimits): PreparedStatements => {
  /** By digest, the least recently used first. */
  const entries = new Map<string, { name: string, bytes: number }>()
  let usedNames = 0

  // The access is one word, so that the first blank ends it whatever the shape contains.
  const keyOf = ({ access, shape }: PreparedStatement) =>
    createHash('sha256').update(`${access} ${shape}`).digest('base64')

  const nameOf = (statement: PreparedStatement) => {
    const key = keyOf(statement)
    const entry = entries.get(key)
    if (entry === undefined) return undefined
    entries.delete(key)
    entries.set(key, entry)
    return entry.name
  }

  const namesToDrop = ({ shape }: PreparedStatement) => {
    let count = entries.size + 1
    let bytes = Buffer.byteLength(shape)
    for (const entry of entries.values()) bytes += entry.bytes
    const dropped: string[] = []
    for (const entry of entries.values()) {
      if (count <= limits.maxCount && bytes <= limits.maxShapeBytes) break
      dropped.push(entry.name)
      count--
      bytes -= entry.bytes
    }
    return dropped
  }

  return {
    nameOf,
    namesToDrop,
    nextName: () => `p${++usedNames}`,
    add: (statement, name) => {
      entries.set(keyOf(statement), { name, bytes: Buffer.byteLength(statement.shape) })
    },
    remove: name => {
      for (const [key, entry] of entries) if (entry.name === name) entries.delete(key)
    },
    clear: () => entries.clear()
  }
}
