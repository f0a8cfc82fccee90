/**
 * Status requests and control commands to databases, over one dedicated connection per database.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import type { Result, TypedError } from '@egretyoke/common'
import type { Database } from '../state/configuration.js'
import type { ConnectDatabase, DatabaseConnection, DatabaseOrder, DatabaseStatus } from './database-connection.js'

/** Workspace name of the control connections. */
const ordersWorkspace = 'egretyoke'
/** A control connection that is unused for longer is closed. */
const unusedCloseMs = 10_000

/**
 * Why a control command failed. `unreachable`: nothing listens at the address, or the connection was reset. `silent`:
 * no reply in time. `declined`: the database is running but refused the command or the connection.
 */
export type OrderError = TypedError<'unreachable' | 'silent' | 'declined'>

/** Control commands to databases. */
export type DatabaseOrders = {
  give: (database: Database, order: DatabaseOrder, timeoutMs: number) => Promise<Result<DatabaseStatus, OrderError>>
  close: () => void
}

type Kept = { connection: DatabaseConnection, address: string, usedAtMs: number }

/** Creates the control commands; connections are opened on first use. */
export const createDatabaseOrders = (connect: ConnectDatabase): DatabaseOrders => {
  const kept = new Map<string, Kept>()

  const drop = (id: string) => {
    kept.get(id)?.connection.close()
    kept.delete(id)
  }

  const connectionTo = async (
    database: Database, timeoutMs: number
  ): Promise<Result<DatabaseConnection, OrderError>> => {
    const { id, address, group } = database
    const known = kept.get(id)
    if (known !== undefined && known.connection.isOpen() && known.address === address) {
      known.usedAtMs = performance.now()
      return Ok(known.connection)
    }
    drop(id)
    const connected = await connect({ databaseId: id, address, group, workspace: ordersWorkspace }, timeoutMs)
    if (connected.err) {
      const { reason, message } = connected.val
      return Err(typedError(reason === 'silent' ? 'silent' : reason === 'full' ? 'declined' : 'unreachable', message))
    }
    kept.set(id, { connection: connected.val, address, usedAtMs: performance.now() })
    return connected
  }

  const give = async (database: Database, order: DatabaseOrder, timeoutMs: number) => {
    const connection = await connectionTo(database, timeoutMs)
    if (connection.err) return Err(connection.val)
    const status = await connection.val.order(order, timeoutMs)
    if (status.ok) return status
    if (status.val.reason === 'declined') return Err(typedError('declined' as const, status.val.message))
    drop(database.id)
    const isSilent = status.val.metadata.timedOut === true
    return Err(typedError(isSilent ? 'silent' as const : 'unreachable' as const, status.val.message))
  }

  const upkeep = setInterval(() => {
    for (const [id, { usedAtMs }] of kept) if (performance.now() - usedAtMs > unusedCloseMs) drop(id)
  }, unusedCloseMs / 2)

  return {
    give,
    close: () => {
      clearInterval(upkeep)
      for (const id of [...kept.keys()]) drop(id)
    }
  }
}
