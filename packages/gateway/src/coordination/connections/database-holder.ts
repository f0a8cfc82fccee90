/**
 * Runs statements at one database: a fair queue for new work, as many concurrent statements as the database has slots,
 * a connection pool by workspace, and transactions that keep their connection.
 */
import { sleepMs } from '@egretyoke/common'
import { createFairQueue } from '@egretyoke/limits'
import type { DropReason, FairQueue } from '@egretyoke/limits'
import { events } from '../../events.js'
import { laterPosition } from '../../state/position.js'
import { createConnectionLog } from './connection-log.js'
import { createConnectionPool } from './connection-pool.js'
import type { ConnectionPool, PooledConnection } from './connection-pool.js'
import type { DatabaseHolder, HolderOptions } from './database-holder-types.js'
import { createOpenTransactions } from './open-transactions.js'
import { createQueueAdmission } from './queue-admission.js'
import { afterPrimaryChange } from './primary-change-outcome.js'
import { runOnConnection, transactionBefore } from './run-on-connection.js'
import type { ReplyListener, StatementRun } from './run-on-connection.js'
import { nameAtDatabases } from '../sessions/session-identity.js'
import { notRun, opensTransaction } from '../sessions/statement.js'
import type { StatementOutcome, StatementReason, StatementRequest } from '../sessions/statement.js'

const maxQueued = 512
const maxQueuedPerWorkspace = 256
/** Number of priority queues; priorities beyond the last one share it. */
const queueCount = 3
const connectTimeoutMs = 700
/** Connections of the database's limit that are left for control commands and for a second holder. */
const spareConnections = 2
/** Assumed slot time of a statement until its real duration is known. */
const assumedCostMs = 20
/** A reply within this time shows that the database is running. */
const recentReplyMs = 400
const idlePollMs = 10
const capacityPollMs = 10
/** Maximum idle time of connections while this gateway is not the database's first holder (see `isFirstHolder`). */
const secondaryIdleMs = 1000

/** Reasons without a usable reply of the database. */
const noReplyReasons: ReadonlySet<StatementReason> = new Set(['silent', 'answerLost', 'unreachable'])

/** A statement that is queued for a slot. */
type QueuedStatement = {
  request: StatementRequest
  /** Log position that the database must have reached. */
  position: string
  arrivedAtMs: number
  /** No part of the statement may begin after this time, because its sender may have given it up. */
  deadlineMs: number
  complete: (outcome: StatementOutcome) => void
}

/** Creates a holder; connections are opened on demand. */
export const createDatabaseHolder = (options: HolderOptions): DatabaseHolder => {
  const { database, connect, records, positions, clock, nowMs, log } = options
  const { id, group } = database()
  let inFlight = 0
  let isClosed = false
  let pausedUntilMs = -Infinity
  let lastReplyMs = -Infinity
  const continuing: QueuedStatement[] = []
  const queueAdmission = createQueueAdmission()
  const connectionLog = createConnectionLog({ database: id, counters: options.counters, nowMs, log })

  const pool: ConnectionPool = createConnectionPool({
    connect: (workspace, timeoutMs) =>
      connect({ databaseId: id, address: database().address, group, workspace: nameAtDatabases(workspace) }, timeoutMs),
    maxConnections: () => Math.max(1, options.maxConnections() - spareConnections),
    nowMs
  })
  const transactions = createOpenTransactions({
    pool, idleMs: options.transactionIdleMs, nowMs, database: id, onRolledBack: () => dispatch(), log
  })

  const dropQueued = (statement: QueuedStatement, reason: DropReason) => {
    const queuedMs = Math.round(nowMs() - statement.arrivedAtMs)
    log(events.notOffered, { request: statement.request.requestId, database: id, reason, queuedMs, load: load() })
    statement.complete({ ...notRun(reason === 'expired' ? 'queuedTooLong' : 'busy'), queuedMs })
  }
  const queues: Array<FairQueue<QueuedStatement>> = Array.from({ length: queueCount }, () =>
    createFairQueue<QueuedStatement>({ maxQueued, maxQueuedPerWorkspace, onDropped: dropQueued, clock: nowMs }))
  const queueOf = ({ priority }: StatementRequest) => queues[Math.min(priority, queueCount - 1)]
  const queued = () => queues.reduce((sum, queue) => sum + queue.size(), 0)
  const load = () => inFlight + queued() + continuing.length

  const requiredPosition = async (request: StatementRequest): Promise<string | undefined> => {
    if (request.needsPrimary) return ''
    const { maxStalenessMs, ownPosition } = request
    const freshPosition = maxStalenessMs > 0 ? await positions.require(group, maxStalenessMs) : ''
    if (freshPosition === undefined) return undefined
    return laterPosition(freshPosition, ownPosition)
  }

  /** Acquires a connection; waits for capacity while the database refuses connections as too many. */
  const acquireConnection = async ({ request, deadlineMs }: QueuedStatement) => {
    const waitUntilMs = Math.min(deadlineMs, nowMs() + request.maxQueuedMs)
    for (;;) {
      const acquired = await pool.acquire(request.workspace, Math.min(connectTimeoutMs, deadlineMs - nowMs()))
      if (acquired.ok || acquired.val.reason !== 'full') return acquired
      while (!pool.hasCapacity() && nowMs() < waitUntilMs) await sleepMs(capacityPollMs)
      if (nowMs() >= waitUntilMs) return acquired
    }
  }

  /** True if the statement opens a transaction that its session has abandoned meanwhile. */
  const isAbandoned = (request: StatementRequest) =>
    opensTransaction(request) && !transactions.isRegistered(request.transactionId)

  const runOnPooled = async (statement: QueuedStatement): Promise<StatementOutcome> => {
    const { request, position, deadlineMs } = statement
    if (isAbandoned(request)) return notRun('transactionGone')
    if (nowMs() >= deadlineMs) return notRun('queuedTooLong')
    const acquired = await acquireConnection(statement)
    if (acquired.err) {
      log(events.connectFailed, {
        request: request.requestId, database: id, reason: acquired.val.reason, message: acquired.val.message
      })
      return notRun(acquired.val.reason === 'full' ? 'busy' : 'unreachable')
    }
    const pooled = acquired.val
    if (isAbandoned(request)) {
      pool.release(pooled)
      return notRun('transactionGone')
    }
    const run = await runWithPrimaryCheck(pooled, request, position, deadlineMs - nowMs())
    releaseAfter(pooled, request, run)
    return { ...run.outcome, connection: pooled.number }
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
    const onReply: ReplyListener = (command, reply) => {
      use.onReply(command, reply)
      if (reply.isUnsent !== true) hasReplied = reply.outcome !== 'lost'
    }
    const run = await runOnConnection(pooled, request, position, remainingMs, onReply)
    use.end()
    const { outcome } = run
    if (hasReplied && !noReplyReasons.has(outcome.reason)) lastReplyMs = nowMs()
    if (!isAtPrimary) return run
    if (records.canUse(group, id)) {
      if (outcome.position !== '') positions.record(group, { position: outcome.position, coversUntil })
      return run
    }
    if (outcome.status === 'NOT_RUN' || !request.needsPrimary) return run
    log(events.primaryChangedMeanwhile, { request: request.requestId, database: id, status: outcome.status })
    return afterPrimaryChange(request, run)
  }

  const runInTransaction = async ({ request, deadlineMs }: QueuedStatement): Promise<StatementOutcome> => {
    const pooled = transactions.acquire(request.transactionId, request.workspace)
    if (pooled === undefined) return notRun('transactionGone')
    const run = await runWithPrimaryCheck(pooled, request, '', deadlineMs - nowMs())
    releaseAfter(pooled, request, run)
    return { ...run.outcome, connection: pooled.number }
  }

  const runQueued = async (statement: QueuedStatement) => {
    const { request, arrivedAtMs, complete } = statement
    inFlight++
    const queuedMs = Math.round(nowMs() - arrivedAtMs)
    const startedAtMs = nowMs()
    const outcome = await (request.transaction === 'CONTINUE' ? runInTransaction : runOnPooled)(statement)
    inFlight--
    const serviceMs = nowMs() - startedAtMs
    queueOf(request).charge(request.workspace, serviceMs - assumedCostMs)
    if (!noReplyReasons.has(outcome.reason)) queueAdmission.recordService(serviceMs)
    complete({ ...outcome, load: load(), queuedMs })
    dispatch()
  }

  const isPaused = () => nowMs() < pausedUntilMs

  const nextStatement = (): QueuedStatement | undefined => {
    const continued = continuing.shift()
    if (continued !== undefined || isPaused()) return continued
    for (const queue of queues) {
      if (queue.size() === 0) continue
      const statement = queue.pop()
      if (statement !== undefined) return statement
    }
    return undefined
  }

  const dispatch = () => {
    while (inFlight < database().slots) {
      if (continuing.length === 0 && !pool.hasCapacity()) {
        transactions.endIdle()
        return
      }
      const statement = nextStatement()
      if (statement === undefined) return
      runQueued(statement)
    }
  }

  const expectedWaitMs = (request: StatementRequest) => {
    const queue = queueOf(request)
    const moreUrgent = queues.slice(0, queues.indexOf(queue)).reduce((sum, other) => sum + other.size(), 0)
    const ahead = continuing.length + moreUrgent + queue.aheadOf(request.workspace)
    return queueAdmission.expectedWaitMs({ ahead, inFlight, slots: database().slots })
  }

  const refuseAsBusy = (request: StatementRequest, reason: string): StatementOutcome => {
    log(events.notOffered, { request: request.requestId, database: id, reason, queuedMs: 0, load: load() })
    return { ...notRun('busy'), load: load() }
  }

  const admit = async (request: StatementRequest): Promise<StatementOutcome> => {
    const arrivedAtMs = nowMs()
    const deadlineMs = arrivedAtMs + request.timeoutMs
    if (isClosed) return notRun('closed')
    if (request.transaction !== 'CONTINUE' && !options.acceptsNewWork()) return notRun('closed')
    const mustBecomeUser = request.needsPrimary && request.transaction !== 'CONTINUE'
    if (mustBecomeUser && !await records.becomeUser(group, id)) return notRun(records.whyNoUse(group, id))
    // Computed before queueing: commits confirmed after the statement arrived need not be visible to it.
    const position = request.transaction === 'CONTINUE' ? '' : await requiredPosition(request)
    if (position === undefined) return notRun('lagging')
    const isContinuing = request.transaction === 'CONTINUE'
    if (!isContinuing && expectedWaitMs(request) > request.maxQueuedMs) return refuseAsBusy(request, 'expectedWait')
    return await new Promise<StatementOutcome>(resolve => {
      const statement: QueuedStatement = { request, position, arrivedAtMs, deadlineMs, complete: resolve }
      if (isContinuing) {
        continuing.push(statement)
        return dispatch()
      }
      const { workspace, maxQueuedMs } = request
      const queueEntry = { workspace, weight: 1, cost: assumedCostMs, deadlineMs: arrivedAtMs + maxQueuedMs }
      const pushed = queueOf(request).push(statement, queueEntry)
      if (pushed.err) return resolve(refuseAsBusy(request, pushed.val.reason))
      dispatch()
    })
  }

  const run = async (request: StatementRequest): Promise<StatementOutcome> => {
    if (!opensTransaction(request)) return await admit(request)
    if (!transactions.register(request.transactionId)) return notRun('transactionGone')
    const outcome = await admit(request)
    if (!outcome.transactionOpen) transactions.end(request.transactionId)
    return outcome
  }

  const waitUntilIdle = async (timeoutMs: number): Promise<boolean> => {
    const deadlineMs = nowMs() + timeoutMs
    while (nowMs() < deadlineMs) {
      if (inFlight === 0 && transactions.idleCount() === 0) return true
      await sleepMs(idlePollMs)
    }
    return false
  }

  const runMaintenance = () => {
    transactions.endIdle()
    if (queued() + continuing.length === 0) return
    for (const queue of queues) queue.dropExpired()
    dispatch()
  }

  return {
    run,
    abandon: transactions.abandon,
    pause: forMs => { pausedUntilMs = nowMs() + forMs },
    waitUntilIdle,
    load,
    hasRepliedRecently: () => nowMs() - lastReplyMs < recentReplyMs,
    openTransactions: transactions.idleCount,
    connections: pool.size,
    runMaintenance,
    closeUnused: () => {
      connectionLog.writeSuppressedCount()
      if (pool.size() > 0 && !options.isFirstHolder()) pool.closeIdle(secondaryIdleMs)
    },
    close: () => {
      isClosed = true
      for (const queue of queues) queue.close()
      for (const statement of continuing.splice(0)) statement.complete(notRun('transactionGone'))
      transactions.close()
      pool.close()
      connectionLog.writeSuppressedCount()
    }
  }
}
