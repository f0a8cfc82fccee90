/**
 * Runs a statement that has a slot: on a pooled connection, or on the connection of its transaction. Its outcome counts
 * only if the primary stayed the current one from request to reply.
 */
import { sleepMs } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import { events } from '../../events.js'
import type { AgeClock } from '../../state/contact.js'
import { termOf } from '../../state/position.js'
import type { GroupPositions } from '../primaries/group-positions.js'
import type { GroupRecords } from '../primaries/group-records.js'
import type { PrimaryEvidence } from '../primaries/primary-evidence.js'
import { notRun, opensTransaction } from '../sessions/statement.js'
import type { StatementOutcome, StatementReason, StatementRequest } from '../sessions/statement.js'
import type { UsageCounter } from '../usage/usage-counter.js'
import type { ConnectionLog } from './connection-log.js'
import type { ConnectionPool, PooledConnection } from './connection-pool.js'
import type { ConnectFailure, DatabaseCommand, DatabaseReply } from './database-connection.js'
import type { OpenTransactions } from './open-transactions.js'
import { afterPrimaryChange } from './primary-change-outcome.js'
import { runOnConnection, transactionBefore } from './run-on-connection.js'
import type { ReplyListener, StatementRun } from './run-on-connection.js'

const connectTimeoutMs = 700
const capacityPollMs = 10

/** Reasons without a usable reply of the database. */
export const noReplyReasons: ReadonlySet<StatementReason> = new Set(['silent', 'answerLost', 'unreachable'])

/** A statement that the holder has accepted. */
export type AcceptedStatement = {
  request: StatementRequest
  /** Log position that the database must have reached. */
  position: string
  /** No part of the statement may begin after this time, because its sender may have given it up. */
  deadlineMs: number
}

/** What has become of a statement. */
export type ExecutedStatement = {
  outcome: StatementOutcome
  /** Time that the database took, with the setup of the session; undefined if it was not sent any part of it. */
  databaseMs: number | undefined
  /** Why no connection could be opened, if the statement was not sent for that reason. */
  connectFailure?: ConnectFailure['reason']
}

/** Runs accepted statements. */
export type StatementExecution = {
  run: (statement: AcceptedStatement) => Promise<ExecutedStatement>
}

/**
 * What a reply shows of the group's primary: the term of its log, and the replica role if it declined work that any
 * primary runs. In a transaction that only reads, a primary declines writes too.
 */
const evidenceOf = (request: StatementRequest, command: DatabaseCommand, reply: DatabaseReply): PrimaryEvidence => {
  const opensWrites = command.kind === 'begin' ? !command.readOnly : request.transaction === 'SINGLE'
  const isReplica = reply.declineReason === 'readOnly' && opensWrites
  return { term: termOf(reply.position), ...isReplica && { role: 'replica' } }
}

const notSent = (reason: StatementReason): ExecutedStatement => ({ outcome: notRun(reason), databaseMs: undefined })

/** Dependencies of the execution at one database. */
export type StatementExecutionOptions = {
  database: string
  group: string
  pool: ConnectionPool
  transactions: OpenTransactions
  connectionLog: ConnectionLog
  records: GroupRecords
  positions: GroupPositions
  clock: AgeClock
  nowMs: () => number
  /** Absent where no usage is reported. */
  usage?: Pick<UsageCounter, 'countHeld'> | undefined
  /** Called with the log position of each reply of the database; it may be empty or malformed. */
  onPosition: (position: string) => void
  /** Called when a statement has ended with a usable reply of the database. */
  onReplied: () => void
  log: Logger
}

/** Creates the execution at one database. */
export const createStatementExecution = (options: StatementExecutionOptions): StatementExecution => {
  const { database: id, group, pool, transactions, connectionLog, records, positions, clock, nowMs, log } = options

  /** Acquires a connection; waits for capacity while the database refuses connections as too many. */
  const acquireConnection = async ({ request, deadlineMs }: AcceptedStatement) => {
    const waitUntilMs = Math.min(deadlineMs, nowMs() + request.maxQueuedMs)
    for (;;) {
      const acquired = await pool.acquire(request.workspace, Math.min(connectTimeoutMs, deadlineMs - nowMs()))
      if (acquired.ok || acquired.val.reason !== 'full') return acquired
      while (!pool.canServe(request.workspace) && nowMs() < waitUntilMs) await sleepMs(capacityPollMs)
      if (nowMs() >= waitUntilMs) return acquired
    }
  }

  /** True if the statement opens a transaction that its session has abandoned meanwhile. */
  const isAbandoned = (request: StatementRequest) =>
    opensTransaction(request) && !transactions.isRegistered(request.transactionId)

  const runOnPooled = async (statement: AcceptedStatement): Promise<ExecutedStatement> => {
    const { request, position, deadlineMs } = statement
    if (isAbandoned(request)) return notSent('transactionGone')
    if (nowMs() >= deadlineMs) return notSent('queuedTooLong')
    const acquired = await acquireConnection(statement)
    if (acquired.err) {
      log(events.connectFailed, {
        request: request.requestId, database: id, reason: acquired.val.reason, message: acquired.val.message
      })
      const connectFailure = acquired.val.reason
      return { ...notSent(connectFailure === 'full' ? 'busy' : 'unreachable'), connectFailure }
    }
    const pooled = acquired.val
    if (isAbandoned(request)) {
      pool.release(pooled)
      return notSent('transactionGone')
    }
    return await runOn(pooled, request, position, deadlineMs - nowMs())
  }

  const runOn = async (
    pooled: PooledConnection, request: StatementRequest, position: string, remainingMs: number
  ): Promise<ExecutedStatement> => {
    const startedAtMs = nowMs()
    const run = await runWithPrimaryCheck(pooled, request, position, remainingMs)
    const databaseMs = nowMs() - startedAtMs
    releaseAfter(pooled, request, run)
    return { outcome: { ...run.outcome, connection: pooled.number }, databaseMs }
  }

  const releaseAfter = (
    pooled: PooledConnection, request: StatementRequest, { outcome, isReusable, transaction }: StatementRun
  ) => {
    if (outcome.transactionOpen) return transactions.keep(request.transactionId, pooled)
    transactions.end(request.transactionId)
    if (!isReusable) return pool.discard(pooled)
    if (transaction === 'none') return pool.release(pooled)
    transactions.rollBack(pooled)
  }

  /** Runs a statement; its outcome counts only if the primary stayed the current one from request to reply. */
  const runWithPrimaryCheck = async (
    pooled: PooledConnection, request: StatementRequest, position: string, remainingMs: number
  ): Promise<StatementRun> => {
    const isAtPrimary = request.needsPrimary || records.canUse(group, id)
    if (request.needsPrimary && !records.canUse(group, id)) {
      return { outcome: notRun(records.whyNoUse(group, id)), isReusable: true, transaction: transactionBefore(request) }
    }
    const coversUntil = clock.now()
    const use = connectionLog.startUse(pooled, request)
    let hasReplied = false
    let countReply: ReturnType<UsageCounter['countHeld']>
    const onSend = () => { countReply = options.usage?.countHeld(request) }
    const sentAtMs = nowMs()
    const onReply: ReplyListener = (command, reply) => {
      use.onReply(command, reply)
      records.observe({ id, group }, evidenceOf(request, command, reply), sentAtMs)
      countReply?.(reply)
      options.onPosition(reply.position)
      if (reply.isUnsent !== true) hasReplied = reply.outcome !== 'lost'
    }
    const run = await runOnConnection(pooled, request, position, remainingMs, onReply, onSend, nowMs)
    use.end()
    const { outcome } = run
    if (hasReplied && !noReplyReasons.has(outcome.reason)) options.onReplied()
    if (!isAtPrimary) return run
    if (records.canUse(group, id)) {
      if (outcome.position !== '') positions.record(group, { position: outcome.position, coversUntil })
      return run
    }
    if (outcome.status === 'NOT_RUN' || !request.needsPrimary) return run
    log(events.primaryChangedMeanwhile, { request: request.requestId, database: id, status: outcome.status })
    return afterPrimaryChange(request, run)
  }

  const runInTransaction = async ({ request, deadlineMs }: AcceptedStatement): Promise<ExecutedStatement> => {
    const pooled = transactions.acquire(request.transactionId, request.workspace)
    if (pooled === undefined) return notSent('transactionGone')
    return await runOn(pooled, request, '', deadlineMs - nowMs())
  }

  return {
    run: async statement =>
      await (statement.request.transaction === 'CONTINUE' ? runInTransaction : runOnPooled)(statement)
  }
}
