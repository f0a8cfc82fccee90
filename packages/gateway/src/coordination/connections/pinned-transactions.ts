/**
 * Connections that are pinned to a session until its transaction ends.
 */
import type { Logger } from '@egretyoke/common'
import { events } from '../../events.js'
import type { ConnectionPool, PooledConnection } from './connection-pool.js'

const rollBackTimeoutMs = 500

/** Open transactions by session. */
export type PinnedTransactions = {
  pin: (session: string, pooled: PooledConnection) => void
  /** Unpins and returns the session's connection; undefined if its transaction has ended. */
  unpin: (session: string) => PooledConnection | undefined
  /** Rolls back the open transaction and releases the connection to the pool; discards it if the rollback fails. */
  rollBack: (pooled: PooledConnection) => Promise<void>
  /** Rolls back transactions that have been idle for longer than `idleMs`. */
  endIdle: () => void
  size: () => number
  close: () => void
}

/** Dependencies of the pinned transactions. */
export type PinnedOptions = {
  pool: ConnectionPool
  idleMs: () => number
  nowMs: () => number
  database: string
  log: Logger
}

/** Creates an empty table of pinned transactions. */
export const createPinnedTransactions = ({ pool, idleMs, nowMs, database, log }: PinnedOptions): PinnedTransactions => {
  const bySession = new Map<string, { pooled: PooledConnection, sinceMs: number }>()

  const rollBack = async (pooled: PooledConnection) => {
    if (!pooled.connection.isOpen()) return pool.discard(pooled)
    const [reply] = await pooled.connection.run([{ kind: 'rollback' }], rollBackTimeoutMs)
    if (reply?.transaction === 'none' && reply.outcome !== 'lost') return pool.release(pooled)
    pool.discard(pooled)
  }

  const unpin = (session: string) => {
    const entry = bySession.get(session)
    bySession.delete(session)
    if (entry === undefined || entry.pooled.connection.isOpen()) return entry?.pooled
    pool.discard(entry.pooled)
    return undefined
  }

  const endIdle = () => {
    const limitMs = idleMs()
    for (const [session, { pooled, sinceMs }] of bySession) {
      const idleForMs = nowMs() - sinceMs
      if (idleForMs < limitMs) continue
      bySession.delete(session)
      log(events.idleTransactionEnded, { session, database, idleForMs: Math.round(idleForMs) })
      rollBack(pooled)
    }
  }

  return {
    pin: (session, pooled) => { bySession.set(session, { pooled, sinceMs: nowMs() }) },
    unpin,
    rollBack,
    endIdle,
    size: () => bySession.size,
    close: () => {
      for (const { pooled } of bySession.values()) pool.discard(pooled)
      bySession.clear()
    }
  }
}
