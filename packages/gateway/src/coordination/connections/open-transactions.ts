/**
 * The open transactions at one database. A transaction owns at most one connection, and a connection that a transaction
 * owns serves no other one. Owners are identified by the transaction, not by its session: a statement that runs after
 * its sender has given the transaction up finds the transaction ended, and cannot reach the session's next one.
 */
import type { Logger } from '@egretyoke/common'
import { events } from '../../events.js'
import type { ConnectionPool, PooledConnection } from './connection-pool.js'

const rollBackTimeoutMs = 500

/** Open transactions by their ids, which are unique in the fleet. */
export type OpenTransactions = {
  /** Registers a transaction before its first statement runs; false if the id is registered already. */
  register: (id: string) => boolean
  /** False once the transaction has ended, or was abandoned. */
  isRegistered: (id: string) => boolean
  /**
   * Lends the transaction's connection to its next statement; the caller passes it to `keep`, or ends the transaction.
   * Undefined if the transaction has ended, a statement of it is running, or it was opened for another workspace.
   */
  acquire: (id: string, workspace: string) => PooledConnection | undefined
  /** Assigns the connection to the transaction until its next statement. Rolls back if the transaction has ended. */
  keep: (id: string, pooled: PooledConnection) => void
  /** Removes a transaction that has ended on its connection, or that has none. */
  end: (id: string) => void
  /** Ends a transaction that its session no longer needs. It is rolled back at once, or after its running statement. */
  abandon: (id: string) => void
  /** Rolls back the open transaction and releases the connection to the pool; discards it if the rollback fails. */
  rollBack: (pooled: PooledConnection) => Promise<void>
  /** Rolls back transactions that have been idle for longer than `idleMs`. */
  endIdle: () => void
  /** Number of transactions that wait for their next statement. */
  idleCount: () => number
  close: () => void
}

/** Dependencies of the open transactions. */
export type OpenTransactionsOptions = {
  pool: ConnectionPool
  idleMs: () => number
  nowMs: () => number
  database: string
  /** Called when a rollback has ended, so that its connection may be available. */
  onRolledBack: () => void
  log: Logger
}

/** `running`: no connection yet, or lent to a statement. */
type State = { kind: 'running' } | { kind: 'idle', pooled: PooledConnection, sinceMs: number }

/** Creates an empty table of transactions. */
export const createOpenTransactions = (
  { pool, idleMs, nowMs, database, onRolledBack, log }: OpenTransactionsOptions
): OpenTransactions => {
  const states = new Map<string, State>()

  const rollBackOn = async (pooled: PooledConnection) => {
    if (!pooled.connection.isOpen()) return pool.discard(pooled)
    const [reply] = await pooled.connection.run([{ kind: 'rollback' }], rollBackTimeoutMs)
    if (reply?.transaction === 'none' && reply.outcome !== 'lost') return pool.release(pooled)
    pool.discard(pooled)
  }

  const rollBack = async (pooled: PooledConnection) => {
    await rollBackOn(pooled)
    onRolledBack()
  }

  const register = (id: string) => {
    if (states.has(id)) return false
    states.set(id, { kind: 'running' })
    return true
  }

  const abandon = (id: string) => {
    const state = states.get(id)
    states.delete(id)
    if (state?.kind === 'idle') rollBack(state.pooled)
  }

  const acquire = (id: string, workspace: string) => {
    const state = states.get(id)
    if (state?.kind !== 'idle') return undefined
    if (state.pooled.workspace !== workspace || !state.pooled.connection.isOpen()) {
      abandon(id)
      return undefined
    }
    states.set(id, { kind: 'running' })
    return state.pooled
  }

  const keep = (id: string, pooled: PooledConnection) => {
    if (states.get(id)?.kind === 'running') states.set(id, { kind: 'idle', pooled, sinceMs: nowMs() })
    else rollBack(pooled)
  }

  const idle = () => [...states].flatMap(([id, state]) => state.kind === 'idle' ? [{ id, ...state }] : [])

  const endIdle = () => {
    const limitMs = idleMs()
    for (const { id, sinceMs } of idle()) {
      const idleForMs = nowMs() - sinceMs
      if (idleForMs < limitMs) continue
      log(events.idleTransactionEnded, { transaction: id, database, idleForMs: Math.round(idleForMs) })
      abandon(id)
    }
  }

  return {
    register,
    isRegistered: id => states.has(id),
    acquire,
    keep,
    end: id => { states.delete(id) },
    abandon,
    rollBack,
    endIdle,
    idleCount: () => idle().length,
    close: () => {
      for (const { pooled } of idle()) pool.discard(pooled)
      states.clear()
    }
  }
}
