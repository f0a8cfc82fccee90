/**
 * Connections to databases as a record of functions. The adapter of a platform implements them.
 */
import type { Result, TypedError } from '@egretyoke/common'

/** One command to a database. A position asks the database to decline when its log lacks it. */
export type DatabaseCommand =
  | { kind: 'begin', readOnly: boolean, positionAtLeast: string }
  | { kind: 'text', requestId: string, text: string, positionAtLeast: string }
  | { kind: 'execute', requestId: string, name: string, operands: string, positionAtLeast: string }
  | { kind: 'commit', requestId: string }
  | { kind: 'rollback' }
  | { kind: 'set', name: string, value: string }
  | { kind: 'prepare', name: string, access: 'read' | 'write', shape: string }
  | { kind: 'reset' }

/** Why a database did not run a command. */
export type DeclineReason = 'busy' | 'lagging' | 'readOnly' | 'unknownStatement' | 'malformed' | 'aborted'

/** What became of a command. `lost`: the connection ended, or no whole answer came in time. */
export type DatabaseReply = {
  outcome: 'done' | 'declined' | 'failed' | 'lost'
  /** Of a declined command. */
  declineReason?: DeclineReason
  message: string
  rows: string[]
  signature: string
  /** Position of the database's log; empty when not known. */
  position: string
  transaction: 'none' | 'open' | 'failed'
}

/** What a database says of itself. */
export type DatabaseStatus = {
  role: 'primary' | 'replica'
  term: number
  /** The newest position that it has received, applied or not. */
  receivedPosition: string
  /** Position up to which it has applied. */
  appliedPosition: string
}

/** Orders to a database. `demote`: lead no earlier term than this one. */
export type DatabaseOrder =
  | { kind: 'status' }
  | { kind: 'demote', term: number }

/** Why an order brought no status. */
export type OrderFailure = TypedError<'lost' | 'declined'>

/** An open connection. One command at a time; commands given together are written together. */
export type DatabaseConnection = {
  /** Runs commands in order; the replies end with the first that is `lost`, which also ends the connection. */
  run: (commands: readonly DatabaseCommand[], timeoutMs: number) => Promise<DatabaseReply[]>
  order: (order: DatabaseOrder, timeoutMs: number) => Promise<Result<DatabaseStatus, OrderFailure>>
  isOpen: () => boolean
  onClosed: (listener: () => void) => void
  close: () => void
}

/** Where to connect, and for whom. */
export type ConnectionTarget = { databaseId: string, address: string, group: string, workspace: string }

/**
 * Why no connection came about. `unreachable`: nothing listens there. `silent`: no answer in time. `full`: too many
 * connections. `otherDatabase`: another database answers at the address.
 */
export type ConnectFailure = TypedError<'unreachable' | 'silent' | 'full' | 'otherDatabase'>

/** Opens a connection. */
export type ConnectDatabase =
  (target: ConnectionTarget, timeoutMs: number) => Promise<Result<DatabaseConnection, ConnectFailure>>
