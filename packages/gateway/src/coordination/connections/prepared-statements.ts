/**
 * Statements prepared on one connection, and their names there.
 *
 * A name is one field of the database's protocol and must mean one statement for the whole life of the connection. It
 * is therefore counted, not derived from the statement, whose text belongs to a caller and may contain anything.
 */

/** A statement to be prepared, by its content. `shape` is a caller's text. */
export type PreparedStatement = { access: 'read' | 'write', shape: string }

/** The prepared statements of a connection. */
export type PreparedStatements = {
  /** Name of a statement that is prepared on the connection; undefined otherwise. */
  nameOf: (statement: PreparedStatement) => string | undefined
  /** A name that this connection has not used before. */
  nextName: () => string
  /** Records that the database has prepared the statement under the name. */
  add: (statement: PreparedStatement, name: string) => void
  /** Forgets all statements. Their names stay used. */
  clear: () => void
}

/** Creates the prepared statements of a new connection: none. */
export const createPreparedStatements = (): PreparedStatements => {
  const names = new Map<string, string>()
  let usedNames = 0

  // The access is one word, so that the first blank ends it whatever the shape contains.
  const keyOf = ({ access, shape }: PreparedStatement) => `${access} ${shape}`

  return {
    nameOf: statement => names.get(keyOf(statement)),
    nextName: () => `p${++usedNames}`,
    add: (statement, name) => { names.set(keyOf(statement), name) },
    clear: () => names.clear()
  }
}
