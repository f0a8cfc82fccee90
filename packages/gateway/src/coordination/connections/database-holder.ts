/**
 * Runs statements at one database: a fair queue for new work, as many concurrent statements as the database has slots,
 * a connection pool by workspace, and transactions that keep their connection.
 */
import { sleepMs } from '@egretyoke/common'
import { createFairQueue } from '@egretyoke/limits'
import type { DropReason, FairQueue } from '@egretyoke/limits'
import { events } from '../../events.js'
import { isPosition, laterPosition } from '../../state/position.js'
import { createConnectionLog } from './connection-log.js'
import { createConnectionPool } from './connection-pool.js'
import type { ConnectionPool } from './connection-pool.js'
import type { DatabaseHolder, DatabaseLoad, HolderOptions } from './database-holder-types.js'
import { createOpenTransactions } from './open-transactions.js'
import { createQueueAdmission } from './queue-admission.js'
import { createStatementExecution, noReplyReasons } from './statement-execution.js'
import type { AcceptedStatement } from './statement-execution.js'
import { nameAtDatabases } from '../sessions/session-identity.js'
import { notRun, opensTransaction } from '../sessions/statement.js'
import type { StatementOutcome, StatementRequest } from '../sessions/statement.js'

const maxQueued = 512
const maxQueuedPerWorkspace = 256
/** Number of priority queues; priorities beyond the last one share it. */
const queueCount = 3
/** Connections of the database's limit that are left for control commands and for a second holder. */
const spareConnections = 2
/** Assumed slot time of a statement until its real duration is known. */
const assumedCostMs = 20
/** A reply within this time shows that the database is running. */
const recentReplyMs = 400
const idlePollMs = 10
/** Maximum idle time of connections while this gateway is not the database's first holder (see `isFirstHolder`). */
const secondaryIdleMs = 1000

/** A statement that is queued for a slot. */
type QueuedStatement = AcceptedStatement & {
  arrivedAtMs: number
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
  let newestPosition = ''
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

  const execution = createStatementExecution({
    database: id,
    group,
    pool,
    transactions,
    connectionLog,
    records,
    positions,
    clock,
    nowMs,
    onPosition: position => { if (isPosition(position)) newestPosition = laterPosition(position, newestPosition) },
    onReplied: () => { lastReplyMs = nowMs() },
    log
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

  const runQueued = async (statement: QueuedStatement) => {
    const { request, arrivedAtMs, complete } = statement
    inFlight++
    const queuedMs = Math.round(nowMs() - arrivedAtMs)
    const startedAtMs = nowMs()
    const outcome = await execution.run(statement)
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
    if (isClosed) return notRun('moved')
    if (request.transaction !== 'CONTINUE' && !options.acceptsNewWork()) return notRun('moved')
    const mustBecomeUser = request.needsPrimary && request.transaction !== 'CONTINUE'
    if (mustBecomeUser && !await records.becomeUser(group, id)) return notRun('moved')
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

  const databaseLoad = (): DatabaseLoad => ({
    slots: database().slots,
    pace: database().slots,
    inFlight,
    queued: queues.map(queue => queue.size()),
    serviceMs: queueAdmission.serviceMs(),
    position: newestPosition,
    connectionsLeft: Math.max(0, pool.maxConnections() - pool.size()),
    ageMs: 0
  })

  const runRequest = async (request: StatementRequest): Promise<StatementOutcome> => {
    if (!opensTransaction(request)) return await admit(request)
    if (!transactions.register(request.transactionId)) return notRun('transactionGone')
    const outcome = await admit(request)
    if (!outcome.transactionOpen) transactions.end(request.transactionId)
    return outcome
  }

  const run = async (request: StatementRequest): Promise<StatementOutcome> =>
    ({ ...await runRequest(request), databaseLoad: databaseLoad() })

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
