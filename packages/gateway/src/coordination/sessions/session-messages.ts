/**
 * What a caller sends to its session, and what it gets back.
 */

/** A statement received from a caller. */
export type SessionStatement =
  | { kind: 'begin', readOnly: boolean }
  | { kind: 'commit' }
  | { kind: 'rollback' }
  /** Forwarded to the database unchanged. */
  | { kind: 'text', access: 'read' | 'write', text: string }
  | { kind: 'execute', name: string, operands: string }
  | { kind: 'set', name: string, value: string }
  | { kind: 'prepare', name: string, access: 'read' | 'write', shape: string }
  | { kind: 'deallocate', name: string }
  | { kind: 'malformed' }

/**
 * Why a statement did not succeed. `refused`, `lagging`, `readOnly` and `aborted` guarantee that the statement or
 * transaction had no effect; `failed` and `inDoubt` guarantee nothing.
 */
export type SessionError =
  'refused' | 'lagging' | 'readOnly' | 'aborted' | 'failed' | 'inDoubt' | 'keyUnknown' | 'noSuchDatabase' |
  'noSuchStatement' | 'malformed'

/** Response to a statement. `signature` is empty if no database was involved. */
export type SessionResponse = {
  error?: SessionError
  message: string
  rows: string[]
  signature: string
  transaction: 'none' | 'open' | 'failed'
  /** True if the session has ended and the caller's connection must be closed. */
  endsSession: boolean
}
