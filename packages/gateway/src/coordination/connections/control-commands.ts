/**
 * Status requests and control commands to databases, over one dedicated connection per database.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import type { Result, TypedError } from '@egretyoke/common'
import type { Database } from '../../state/configuration.js'
import type { ConnectDatabase, DatabaseConnection, ControlCommand, DatabaseStatus } from './database-connection.js'

/** Workspace name of the control connections. */
const controlWorkspace = 'egretyoke'
/** A control connection that is unused for longer is closed. */
const idleCloseMs = 10_000

/**
 * Why a control command failed. `unreachable`: nothing listens at the address, or the connection was reset. `silent`:
 * no reply in time. `declined`: the database is running but refused the command or the connection.
 */
export type ControlError = TypedError<'unreachable' | 'silent' | 'declined'>

/** Database to send a control command to. */
export type ControlTarget = Pick<Database, 'id' | 'address' | 'group'>

/** Control commands to databases. */
export type ControlCommands = {
  run: (
    database: ControlTarget, command: ControlCommand, timeoutMs: number
  ) => Promise<Result<DatabaseStatus, ControlError>>
  close: () => void
}

type ControlConnection = { connection: DatabaseConnection, address: string, usedAtMs: number }

/** Called with each status of a database; its request was sent at `sentAtMs`. */
export type StatusListener = (database: ControlTarget, status: DatabaseStatus, sentAtMs: number) => void

/** Creates the control commands; connections are opened on first use. */
export const createControlCommands = (
  connect: ConnectDatabase, onStatus: StatusListener = () => {}
): ControlCommands => {
  const connections = new Map<string, ControlConnection>()

  const drop = (id: string) => {
    connections.get(id)?.connection.close()
    connections.delete(id)
  }

  const connectionTo = async (
    database: ControlTarget, timeoutMs: number
  ): Promise<Result<DatabaseConnection, ControlError>> => {
    const { id, address, group } = database
    const existing = connections.get(id)
    if (existing !== undefined && existing.connection.isOpen() && existing.address === address) {
      existing.usedAtMs = performance.now()
      return Ok(existing.connection)
    }
    drop(id)
    const connected = await connect({ databaseId: id, address, group, workspace: controlWorkspace }, timeoutMs)
    if (connected.err) {
      const { reason, message } = connected.val
      return Err(typedError(reason === 'silent' ? 'silent' : reason === 'full' ? 'declined' : 'unreachable', message))
    }
    connections.set(id, { connection: connected.val, address, usedAtMs: performance.now() })
    return connected
  }

  const run = async (database: ControlTarget, command: ControlCommand, timeoutMs: number) => {
    const connection = await connectionTo(database, timeoutMs)
    if (connection.err) return Err(connection.val)
    const sentAtMs = performance.now()
    const status = await connection.val.runControl(command, timeoutMs)
    if (status.ok) {
      onStatus(database, status.val, sentAtMs)
      return status
    }
    if (status.val.reason === 'declined') return Err(typedError('declined' as const, status.val.message))
    drop(database.id)
    const isSilent = status.val.metadata.timedOut === true
    return Err(typedError(isSilent ? 'silent' as const : 'unreachable' as const, status.val.message))
  }

  const closeTimer = setInterval(() => {
    for (const [id, { usedAtMs }] of connections) if (performance.now() - usedAtMs > idleCloseMs) drop(id)
  }, idleCloseMs / 2)

  return {
    run,
    close: () => {
      clearInterval(closeTimer)
      for (const id of [...connections.keys()]) drop(id)
    }
  }
}
