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
  /** Writes how many lines about prepared statements were suppressed since the last call, if any; call periodically. */
  writeSuppressedCount: () => void
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

/** Lines about prepared statements of one database, beyond a burst. */
export const maxPreparedLinesPerSec = 10
/** Such lines that may be written at once. */
export const maxBurstPreparedLines = 100

/** Reasons that mean that a command was not understood, or that the tracked session state is wrong. */
const loggedReasons: ReadonlySet<DeclineReason> = new Set(['malformed', 'unknownStatement'])

const clip = (text: string) => text.slice(0, maxLoggedTextLength)

type PrepareCommand = Extract<DatabaseCommand, { kind: 'prepare' }>

/** State of a connection that only the log needs. */
type LoggedState = { resets: number, running: Set<StatementRequest> }

/** Creates the log of one database's connections. */
export const createConnectionLog = ({ database, counters, nowMs, log }: ConnectionLogOptions): ConnectionLog => {
  const states = new WeakMap<PooledConnection, LoggedState>()
  const preparedLines = createTokenBucket({ ratePerSec: maxPreparedLinesPerSec, burst: maxBurstPreparedLines }, nowMs)
  preparedLines.add(maxBurstPreparedLines)
  let suppressedLines = 0

  const stateOf = (pooled: PooledConnection): LoggedState => {
    const state = states.get(pooled) ?? { resets: 0, running: new Set() }
    states.set(pooled, state)
    return state
  }

  /** Fields of a line that say where a command was run. */
  const placeOf = (pooled: PooledConnection, { requestId }: StatementRequest) => ({
    request: requestId,
    database,
    workspace: pooled.workspace,
    connection: pooled.number,
    resets: stateOf(pooled).resets
  })

  const logPrepared = (
    pooled: PooledConnection, request: StatementRequest, { name, access, shape }: PrepareCommand
  ) => {
    counters.countPrepared()
    if (preparedLines.acquire(1) === 0) {
      suppressedLines++
      return
    }
    log(events.statementPrepared, () => ({
      ...placeOf(pooled, request),
      prepared: name,
      access,
      shape: clip(shape),
      shapeBytes: Buffer.byteLength(shape)
    }))
  }

  const logDeclined = (
    pooled: PooledConnection, request: StatementRequest, command: DatabaseCommand, reply: DatabaseReply
  ) => {
    const { declineReason } = reply
    if (declineReason === undefined || declineReason === 'notSent') return
    counters.countDeclined(command.kind, declineReason)
    if (!loggedReasons.has(declineReason)) return
    log(events.commandDeclined, () => ({
      ...placeOf(pooled, request),
      kind: command.kind,
      prepared: command.kind !== 'set' && 'name' in command ? command.name : undefined,
      reason: declineReason,
      message: clip(reply.message),
      ...reply.isUnsent === true ? { unsent: true } : {}
    }))
  }

  const logReply = (
    pooled: PooledConnection, request: StatementRequest, command: DatabaseCommand, reply: DatabaseReply
  ) => {
    if (reply.outcome === 'declined') return logDeclined(pooled, request, command, reply)
    if (reply.outcome !== 'done') return
    if (command.kind === 'reset') stateOf(pooled).resets++
    if (command.kind === 'prepare') logPrepared(pooled, request, command)
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

  const writeSuppressedCount = () => {
    if (suppressedLines === 0) return
    log(events.preparedLinesSuppressed, { database, count: suppressedLines })
    suppressedLines = 0
  }

  return { startUse, writeSuppressedCount }
}
