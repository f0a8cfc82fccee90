/**
 * Session values that are set on one connection.
 *
 * Load pattern: callers that set long values in short sessions. Connections keep the values after the sessions have
 * ended, so that the next session sends only the difference, and there are many connections. Long names and values are
 * remembered by a digest, so that what a connection keeps is bounded by the number of values of a session.
 */
import { createHash } from 'node:crypto'
import { detachedText } from '../../state/detached-text.js'

/** Longer texts are remembered by their digest, which has about this length. */
const maxKeptLength = 64

/** A session variable. */
export type SessionValue = { name: string, value: string }

/** The values that are set on a connection. */
export type SetValues = {
  /** True if the name is set to this value. */
  has: (variable: SessionValue) => boolean
  /** True if a name is set that is not among these. */
  hasOtherThan: (variables: readonly SessionValue[]) => boolean
  /** Records that the database has set the value. */
  add: (variable: SessionValue) => void
  /** Records that the database has dropped all values. */
  clear: () => void
}

/** Stands for a text; the first character tells a short text from a digest. */
const keyOf = (text: string): string =>
  text.length <= maxKeptLength ? `=${text}` : `#${createHash('sha256').update(text).digest('base64')}`

/** Creates the values of a new connection: none. */
export const createSetValues = (): SetValues => {
  const values = new Map<string, string>()
  return {
    has: ({ name, value }) => values.get(keyOf(name)) === keyOf(value),
    hasOtherThan: variables => {
      const names = new Set(variables.map(({ name }) => keyOf(name)))
      return [...values.keys()].some(name => !names.has(name))
    },
    add: ({ name, value }) => { values.set(detachedText(keyOf(name)), detachedText(keyOf(value))) },
    clear: () => values.clear()
  }
}
