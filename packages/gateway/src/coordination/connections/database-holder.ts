/**
 * Runs statements at one database: an ordered queue for new work, as many concurrent statements as the database has
 * slots, a connection pool by workspace, and transactions that keep their connection.
 */
import { sleepMs } from '@egretyoke/common'
import type { DropReason, FlightOutcome } from '@egretyoke/limits'
import { events } from '../../events.js'
import { isPosition, laterPosition } from '../../state/position.js'
import { createConnectionLog } from './connection-log.js'
import { createConnectionPool } from './connection-pool.js'
import type { ConnectionPool } from './connection-pool.js'
import type { DatabaseHolder, DatabaseLoad, HolderOptions } from './database-holder-types.js'
import { createDatabasePace } from './database-pace.js'
import { createOpenTransactions } from './open-transactions.js'
import {
  createQueueAdmission, maxExpectedWaitMs, maxQueueWaitMs, retryDelayMs, statementClassOf
} from './queue-admission.js'
import { createRunningStatements } from './running-statements.js'
import { createStatementExecution, noReplyReasons } from './statement-execution.js'
import type { AcceptedStatement, ExecutedStatement } from './statement-execution.js'
import { createStatementQueue } from './statement-queue.js'
import { nameAtDatabases } from '../sessions/session-identity.js'
import { notRun, opensTransaction } from '../sessions/statement.js'
import type { StatementOutcome, StatementReason, StatementRequest } from '../sessions/statement.js'

/** Connections of the database's limit that are left for control commands and for a second holder. */
const spareConnections = 2
/** A reply within this time shows that the database is running. */
const recentReplyMs = 400
/** A statement without a reply for less than this had too little time left to show that the database is silent. */
const minSilenceMs = 200
const idlePollMs = 10
/** Fraction of a read's time in which requests for the primary's position may start; the last one takes more of it. */
const maxPositionWaitFraction = 0.4
/** Maximum idle time of connections while this gateway is not the database's first holder (see `isFirstHolder`). */
const secondaryIdleMs = 1000

/** A statement that is queued for a slot. */
type QueuedStatement = AcceptedStatement & {
  arrivedAtMs: number
  complete: (outcome: StatementOutcome) => void
}

/** Another holder may run the statements of one that has closed. */
const outcomeOfDropped: Record<DropReason, StatementReason> = {
  expired: 'queuedTooLong', displaced: 'busy', notAllowed: 'busy', closed: 'closed'
}

const paceSignalOf = ({ status, reason }: StatementOutcome, databaseMs: number | undefined): FlightOutcome => {
  if (databaseMs === undefined) return 'ignored'
  return status === 'DONE' ? 'answered' : reason === 'busy' ? 'declined' : 'ignored'
}

/** Creates a holder; connections are opened on demand. */
export const createDatabaseHolder = (options: HolderOptions): DatabaseHolder => {
  const { database, connect, records, positions, clock, nowMs, log, random = Math.random } = options
  const { id, group } = database()
  let isClosed = false
  let pausedUntilMs = -Infinity
  let lastReplyMs = -Infinity
  let newestPosition = ''
  const continuing: QueuedStatement[] = []
  const queueAdmission = createQueueAdmission()
  const running = createRunningStatements(nowMs)
  const connectionLog = createConnectionLog({ database: id, counters: options.counters, nowMs, log })

  const pool: ConnectionPool = createConnectionPool({
    connect: (workspace, timeoutMs) =>
      connect({ databaseId: id, address: database().address, group, workspace: nameAtDatabases(workspace) }, timeoutMs),
    maxConnections: () => Math.max(1, options.maxConnections() - spareConnections),
    connectionsOfOthers: options.orphanedConnections,
    minConnections: () => database().slots,
    onAttemptEnded: () => dispatch(),
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
    usage: options.usage,
    onPosition: position => { if (isPosition(position)) newestPosition = laterPosition(position, newestPosition) },
    onReplied: () => { lastReplyMs = nowMs() },
    log
  })

  const dropQueued = (statement: QueuedStatement, reason: DropReason) => {
    const queuedMs = Math.round(nowMs() - statement.arrivedAtMs)
    const retryAfterMs = recordNotOffered(statement.request, reason, queuedMs)
    statement.complete({ ...notRun(outcomeOfDropped[reason]), queuedMs, retryAfterMs })
  }
  const pace = createDatabasePace({
    slots: () => database().slots,
    nowMs,
    onChange: ({ cause, pace: statements }) =>
      log(cause === undefined ? events.paceSettled : events.paceLowered, { database: id, pace: statements, cause })
  })
  if (options.hasJustStarted?.() ?? false) pace.restart('started')
  let primaryTerm = options.primaryTerm?.()
  const serviceMs = (request: StatementRequest) => queueAdmission.serviceMs(statementClassOf(request))
  const queue = createStatementQueue<QueuedStatement>({
    onDropped: dropQueued,
    serviceMs,
    runningOf: running.countOf,
    canStart: pool.canServe,
    isReady: pool.hasIdle,
    limit: pace.limit,
    nowMs
  })
  const load = () => running.count() + queue.size() + continuing.length

  const requiredPosition = async (request: StatementRequest): Promise<string | undefined> => {
    if (request.needsPrimary) return ''
    const { maxStalenessMs, ownPosition } = request
    const waitMs = request.timeoutMs * maxPositionWaitFraction
    if (maxStalenessMs === undefined) return ownPosition
    const freshPosition = await positions.require(group, maxStalenessMs, waitMs)
    if (freshPosition === undefined) return undefined
    return laterPosition(freshPosition, ownPosition)
  }

  const runQueued = async (statement: QueuedStatement) => {
    const { request, arrivedAtMs, complete } = statement
    const estimatedMs = serviceMs(request)
    const ended = running.start(request, estimatedMs)
    const paced = pace.start()
    const startedAtMs = nowMs()
    const queuedMs = Math.round(startedAtMs - arrivedAtMs)
    const executed = await execution.run(statement)
    const { outcome, databaseMs } = executed
    const measuredMs = ended()
    const statementClass = statementClassOf(request)
    // Only statements that were queued have been charged their estimate.
    queue.charge(request, request.transaction === 'CONTINUE' ? measuredMs : measuredMs - estimatedMs)
    const wasAnswered = databaseMs !== undefined && !noReplyReasons.has(outcome.reason)
    if (wasAnswered) queueAdmission.recordService(statementClass, measuredMs)
    paced.end(paceSignalOf(outcome, databaseMs), databaseMs ?? 0, statementClass)
    if (showsSilence(executed, startedAtMs)) pace.restart('noReply')
    complete({ ...outcome, load: load(), queuedMs })
    dispatch()
  }

  /**
   * True if the database gave no sign of life while a statement ran. That a connection was lost is none: the database
   * may have closed it while it was idle. A refused connection needs no time to show it, but one that timed out does.
   */
  const showsSilence = ({ outcome, connectFailure }: ExecutedStatement, startedAtMs: number) => {
    if (!noReplyReasons.has(outcome.reason) || lastReplyMs >= startedAtMs) return false
    const hasBeenRefused = connectFailure !== undefined && connectFailure !== 'silent'
    return hasBeenRefused || nowMs() - startedAtMs >= minSilenceMs
  }

  /** A database that has become the primary receives the statements of the whole group at once. */
  const noticePromotion = () => {
    const term = options.primaryTerm?.()
    if (term !== undefined && term !== primaryTerm) pace.restart('promoted')
    primaryTerm = term ?? primaryTerm
  }

  const isPaused = () => nowMs() < pausedUntilMs

  const nextStatement = (): QueuedStatement | undefined => {
    const continued = continuing.shift()
    if (continued !== undefined || isPaused()) return continued
    // Open transactions hold locks and connections: the pace does not keep their next statements waiting.
    return running.count() < pace.limit() ? queue.pop() : undefined
  }

  const dispatch = () => {
    while (running.count() < database().slots) {
      if (continuing.length === 0 && !pool.hasCapacity()) {
        transactions.endIdle()
        return
      }
      const statement = nextStatement()
      if (statement === undefined) return
      runQueued(statement)
    }
  }

  const expectedWaitMs = (request: StatementRequest, dropAtMs: number) => {
    const continuingMs = continuing.reduce((sum, statement) => sum + serviceMs(statement.request), 0)
    const aheadMs = continuingMs + queue.aheadMs(request, dropAtMs)
    return queueAdmission.expectedWaitMs({ aheadMs, runningMs: running.serviceTimesMs(), limit: pace.limit() })
  }

  /** For a statement that came back, whose time would end after that of the waiting ones. */
  const delayUntilServed = (request: StatementRequest) => retryDelayMs(expectedWaitMs(request, Infinity), random())

  /** Returns the delay after which the caller should come back; undefined if this holder will not serve it. */
  const recordNotOffered = (request: StatementRequest, reason: string, queuedMs: number) => {
    const retryAfterMs = isClosed ? undefined : delayUntilServed(request)
    options.countNotOffered?.(reason)
    log(events.notOffered, {
      request: request.requestId, database: id, reason, queuedMs, load: load(), pace: pace.limit(), retryAfterMs
    })
    return retryAfterMs
  }

  const refuseAsBusy = (request: StatementRequest, reason: string): StatementOutcome =>
    ({ ...notRun('busy'), load: load(), retryAfterMs: recordNotOffered(request, reason, 0) })

  const admit = async (request: StatementRequest): Promise<StatementOutcome> => {
    const arrivedAtMs = nowMs()
    const deadlineMs = arrivedAtMs + request.timeoutMs
    if (isClosed) return notRun('closed')
    noticePromotion()
    if (request.transaction !== 'CONTINUE' && !options.acceptsNewWork()) return notRun('closed')
    const mustBecomeUser = request.needsPrimary && request.transaction !== 'CONTINUE'
    if (mustBecomeUser && !await records.becomeUser(group, id)) return notRun(records.whyNoUse(group, id))
    // Computed before queueing: commits confirmed after the statement arrived need not be visible to it.
    const position = request.transaction === 'CONTINUE' ? '' : await requiredPosition(request)
    if (position === undefined) return notRun('lagging')
    const isContinuing = request.transaction === 'CONTINUE'
    const maxWaitMs = maxQueueWaitMs(request, serviceMs(request))
    const dropAtMs = arrivedAtMs + maxWaitMs
    const waitedMs = nowMs() - arrivedAtMs
    const maxExpectedMs = Math.min(maxWaitMs, maxExpectedWaitMs(request)) - waitedMs
    if (!isContinuing && expectedWaitMs(request, dropAtMs) > maxExpectedMs) {
      return refuseAsBusy(request, 'expectedWait')
    }
    return await new Promise<StatementOutcome>(resolve => {
      const statement: QueuedStatement = { request, position, arrivedAtMs, deadlineMs, complete: resolve }
      if (isContinuing) {
        continuing.push(statement)
        return dispatch()
      }
      const pushed = queue.push(statement, dropAtMs)
      if (pushed.err) return resolve(isClosed ? notRun('closed') : refuseAsBusy(request, pushed.val.reason))
      dispatch()
    })
  }

  const databaseLoad = (): DatabaseLoad => ({
    slots: database().slots,
    pace: pace.limit(),
    inFlight: running.count(),
    queued: queue.sizes(),
    serviceMs: queueAdmission.serviceMs(),
    position: newestPosition,
    connectionsLeft: pool.connectionsLeft(),
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

  const waitUntilIdle = async (timeoutMs: number, transactionsMs = timeoutMs): Promise<boolean> => {
    const startedAtMs = nowMs()
    const elapsedMs = () => nowMs() - startedAtMs
    while (elapsedMs() < timeoutMs) {
      const hasTransactions = transactions.idleCount() > 0
      if (running.count() === 0 && !hasTransactions) return true
      if (running.count() === 0 && elapsedMs() >= transactionsMs) return false
      await sleepMs(idlePollMs)
    }
    return false
  }

  const runMaintenance = () => {
    transactions.endIdle()
    if (queue.size() + continuing.length === 0) return
    queue.dropExpired()
    dispatch()
  }

  return {
    run,
    abandon: transactions.abandon,
    pause: forMs => { pausedUntilMs = nowMs() + forMs },
    waitUntilIdle,
    load,
    hasRepliedRecently: () => nowMs() - lastReplyMs < recentReplyMs && !records.isContradicted(group),
    openTransactions: transactions.idleCount,
    connections: pool.size,
    isPaceSettled: pace.isSettled,
    runMaintenance,
    closeUnused: () => {
      connectionLog.writeSuppressedCount()
      if (pool.size() > 0 && !options.isFirstHolder()) pool.closeIdle(secondaryIdleMs)
    },
    close: () => {
      isClosed = true
      queue.close()
      for (const statement of continuing.splice(0)) statement.complete(notRun('transactionGone'))
      transactions.close()
      pool.close()
      connectionLog.writeSuppressedCount()
    }
  }
}
