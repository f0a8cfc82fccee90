/**
 * Interface of connections to databases, implemented by the platform adapter.
 */
import type { Result, TypedError } from '@egretyoke/common'

/** One command to a database. The database declines it if its log has not reached `positionAtLeast`, if given. */
export type DatabaseCommand =
  | { kind: 'begin', readOnly: boolean, positionAtLeast: string }
  | { kind: 'text', requestId: string, text: string, positionAtLeast: string }
  | { kind: 'execute', requestId: string, name: string, operands: string, positionAtLeast: string }
  | { kind: 'commit', requestId: string }
  | { kind: 'rollback' }
  | { kind: 'set', name: string, value: string }
  | { kind: 'prepare', name: string, access: 'read' | 'write', shape: string }
  | { kind: 'deallocate', name: string }
  | { kind: 'reset' }

/**
 * Why a command was not run. `malformed`: the database did not understand it, or it could not be encoded. `notSent`:
 * another command of the call could not be encoded.
 */
export type DeclineReason = 'busy' | 'lagging' | 'readOnly' | 'unknownStatement' | 'malformed' | 'aborted' | 'notSent'

/** State of the transaction on a connection. `failed`: it can only be rolled back. */
export type TransactionState = 'none' | 'open' | 'failed'

/** Reply to a command. `lost`: the connection closed, or no complete reply arrived in time. */
export type DatabaseReply = {
  outcome: 'done' | 'declined' | 'failed' | 'lost'
  /** Set only if the command was declined. */
  declineReason?: DeclineReason
  /** Set only if the command was declined without being sent; it has changed nothing then. */
  isUnsent?: true
  message: string
  rows: string[]
  signature: string
  /** Position of the database's log; empty if unknown. */
  position: string
  transaction: TransactionState
}

/** Status reported by a database. */
export type DatabaseStatus = {
  role: 'primary' | 'replica'
  term: number
  /** Newest log position received, whether or not it is applied. */
  receivedPosition: string
  /** Newest log position applied. */
  appliedPosition: string
}

/** Control command to a database. `demote`: give up the primary role of any term before this one. */
export type ControlCommand =
  | { kind: 'status' }
  | { kind: 'demote', term: number }

/** Why a control command returned no status. */
export type ControlFailure = TypedError<'lost' | 'declined'>

/** An open connection. It runs one call at a time; the commands of one call are pipelined in one write. */
export type DatabaseConnection = {
  /** Runs commands in order. The replies end at the first `lost` one, which also closes the connection. */
  run: (commands: readonly DatabaseCommand[], timeoutMs: number) => Promise<DatabaseReply[]>
  runControl: (command: ControlCommand, timeoutMs: number) => Promise<Result<DatabaseStatus, ControlFailure>>
  isOpen: () => boolean
  onClosed: (listener: () => void) => void
  close: () => void
}

/** Database to connect to, and the workspace that the connection serves. */
export type ConnectionTarget = { databaseId: string, address: string, group: string, workspace: string }

/**
 * Why no connection was established. `unreachable`: nothing listens at the address. `silent`: no reply in time.
 * `full`: too many connections. `otherDatabase`: a different database replied at the address.
 */
export type ConnectFailure = TypedError<'unreachable' | 'silent' | 'full' | 'otherDatabase'>

/** Opens a connection. */
export type ConnectDatabase =
  (target: ConnectionTarget, timeoutMs: number) => Promise<Result<DatabaseConnection, ConnectFailure>>
