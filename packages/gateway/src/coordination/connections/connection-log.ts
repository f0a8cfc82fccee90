/**
 * Log lines and counters about one database's connections: which statement was prepared on which connection under which
 * name, which commands the database declined, and statements that share a connection.
 */
import type { Logger } from '@egretyoke/common'
import { events } from '../../events.js'
import { createTokenBucket } from '../../state/token-bucket.js'
import type { PooledConnection } from './connection-pool.js'
import type { DatabaseCommand, DatabaseReply, DeclineReason } from './database-connection.js'
import type { ReplyListener } from './run-on-connection.js'
import type { StatementRequest } from '../sessions/statement.js'

/** Counters of all connections of the process. */
export type ConnectionCounters = {
  countPrepared: () => void
  countDeclined: (kind: DatabaseCommand['kind'], reason: DeclineReason) => void
}

/** Use of a connection by one statement. */
export type ConnectionUse = { onReply: ReplyListener, end: () => void }

/** Writes about the connections to one database. */
export type ConnectionLog = {
  /** Records that the statement runs on the connection until `end` is called. */
  startUse: (pooled: PooledConnection, request: StatementRequest) => ConnectionUse
  /** Writes how many lines about prepared statements were left out since the last call, if any; call periodically. */
  writeLeftOut: () => void
}

/** Dependencies of a connection log. */
export type ConnectionLogOptions = {
  database: string
  counters: ConnectionCounters
  nowMs: () => number
  log: Logger
}

/** Maximum length of a text of a caller or of a database in a log line, in UTF-16 code units. */
export const maxLoggedTextLength = 200

/** Token bucket of the lines about prepared statements of one database: refill rate and capacity. */
export const maxPreparedLinesPerSec = 10
export const maxBurstPreparedLines = 100

/** Reasons that mean that a command was not understood, or that the tracked session state is wrong. */
const loggedReasons: ReadonlySet<DeclineReason> = new Set(['malformed', 'unknownStatement'])

const clip = (text: string) => text.slice(0, maxLoggedTextLength)

/** State of a connection that only the log needs. */
type LoggedState = { resets: number, running: Set<StatementRequest> }

/** Creates the log of one database's connections. */
export const createConnectionLog = ({ database, counters, nowMs, log }: ConnectionLogOptions): ConnectionLog => {
  const states = new WeakMap<PooledConnection, LoggedState>()
  const preparedLines = createTokenBucket({ ratePerSec: maxPreparedLinesPerSec, burst: maxBurstPreparedLines }, nowMs)
  preparedLines.add(maxBurstPreparedLines)
  let leftOut = 0

  const stateOf = (pooled: PooledConnection): LoggedState => {
    const state = states.get(pooled) ?? { resets: 0, running: new Set() }
    states.set(pooled, state)
    return state
  }

  const logReply = (
    pooled: PooledConnection, { requestId }: StatementRequest, command: DatabaseCommand, reply: DatabaseReply
  ) => {
    const { number: connection, workspace } = pooled
    const state = stateOf(pooled)
    if (reply.outcome === 'done' && command.kind === 'reset') state.resets++
    if (reply.outcome === 'done' && command.kind === 'prepare') {
      counters.countPrepared()
      if (preparedLines.acquire(1) === 0) {
        leftOut++
        return
      }
      log(events.statementPrepared, () => ({
        request: requestId,
        database,
        workspace,
        connection,
        resets: state.resets,
        prepared: command.name,
        access: command.access,
        text: clip(command.shape),
        textBytes: Buffer.byteLength(command.shape)
      }))
    }
    const { declineReason } = reply
    if (reply.outcome !== 'declined' || declineReason === undefined || declineReason === 'notSent') return
    counters.countDeclined(command.kind, declineReason)
    if (!loggedReasons.has(declineReason)) return
    log(events.commandDeclined, () => ({
      request: requestId,
      database,
      workspace,
      connection,
      resets: state.resets,
      kind: command.kind,
      prepared: command.kind !== 'set' && 'name' in command ? command.name : undefined,
      reason: declineReason,
      message: clip(reply.message),
      ...reply.isUnsent === true ? { unsent: true } : {}
    }))
  }

  const startUse = (pooled: PooledConnection, request: StatementRequest): ConnectionUse => {
    const { running } = stateOf(pooled)
    for (const { requestId: other } of running) {
      log(events.connectionShared, {
        request: request.requestId, database, workspace: pooled.workspace, connection: pooled.number, other
      })
    }
    running.add(request)
    return {
      onReply: (command, reply) => logReply(pooled, request, command, reply),
      end: () => { running.delete(request) }
    }
  }

  const writeLeftOut = () => {
    if (leftOut === 0) return
    log(events.preparedLinesLeftOut, { database, count: leftOut })
    leftOut = 0
  }

  return { startUse, writeLeftOut }
}
