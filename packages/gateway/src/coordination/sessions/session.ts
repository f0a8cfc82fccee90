/**
 * One caller's session: its session variables, prepared statements, open transaction, and the log position of its last
 * commit.
 *
 * Statements that only change session state are handled locally. Statements that access data are routed to a database
 * together with the session state that they require.
 */
import { Ok } from '@egretyoke/common'
import type { Logger, Result } from '@egretyoke/common'
import { events } from '../../events.js'
import type { Configuration, Route } from '../../state/configuration.js'
import { laterPosition } from '../../state/position.js'
import type { Admission } from '../limits/admission.js'
import type {
  RoutingRequest, RoutingResult, StatementRouter, TransactionLocation
} from '../routing/statement-router.js'
import { permittedRegionsOf, workspaceNameOf } from './session-identity.js'
import type { Identity } from './session-identity.js'
import type { SessionError, SessionResponse, SessionStatement } from './session-messages.js'
import { createSessionState } from './session-state.js'
import type { StateBudget, StateRefusal } from './session-state.js'
import { notRun } from './statement.js'
import type { StatementOutcome, StatementRequest } from './statement.js'

/** An open session. */
export type Session = {
  handle: (requestId: string, statement: SessionStatement) => Promise<SessionResponse>
  /** False once the key has been withdrawn or the database's route has been removed. */
  isAllowed: () => boolean
  isInTransaction: () => boolean
  /** Workspace of the key at the session's start; empty for a caller without one. */
  workspace: string
  close: () => void
}

/** Dependencies of a session. */
export type SessionOptions = {
  /** Session identifier, unique in the fleet. */
  id: string
  database: string
  key: string
  configuration: () => Configuration | undefined
  /** False while this gateway's list of keys may be too old to reflect withdrawals. */
  hasCurrentKeys: () => boolean
  /** False once the gateway, which stops, begins no new statements. */
  startsNewWork: () => boolean
  admission: Admission
  router: StatementRouter
  /** Of this session; what it takes is shared with other sessions. */
  stateBudget: StateBudget
  log: Logger
}

type Transaction = {
  /** Unique in the fleet. */
  id: string
  readOnly: boolean
  route: Route
  /** Workspace that the caller's key named at the beginning; no statement runs for another one. */
  workspace: string
  location: TransactionLocation | undefined
  isFailed: boolean
}

/**
 * Fractions of the route's target latency and of its timeout; a statement may be queued for the longer of both before
 * it is sent to a database.
 */
const maxQueuedFraction = { ofTargetLatency: 0.5, ofTimeout: 0.7 } as const
/** Fraction of the route's target latency that an operation may wait for a token of its workspace's rate limit. */
const maxTokenWaitFraction = 0.24
/** Retry delay suggested to the caller after a rate limit refusal. */
const limitRetryMs = 500
/** Retry delay suggested after a refusal for which no holder has named one. */
const busyRetryMs = 100

const limitMessage = `limit reached, retry after ${limitRetryMs} ms`

const stoppingMessage = 'this gateway stops, connect again'

/** Opens a session; returns an error if the caller is not authorized for the database, or the gateway stops. */
export const openSession = (options: SessionOptions): Session | SessionError => {
  const { id, database, key, router, admission, log } = options
  const state = createSessionState(options.stateBudget)
  let transaction: Transaction | undefined
  let transactionCount = 0
  let ownPosition = ''

  const identify = (): Identity | SessionError => {
    const configuration = options.configuration()
    if (configuration === undefined || !options.hasCurrentKeys()) return 'refused'
    // An open transaction keeps the route that it started with; a changed route applies to the next transaction.
    const route = transaction?.route ?? configuration.routes.get(database)
    const workspace = configuration.workspaceByKey.get(key)
    if (route === undefined) return workspace === undefined ? 'keyUnknown' : 'noSuchDatabase'
    return workspace === undefined && !route.openToAll ? 'keyUnknown' : { route, workspace }
  }

  const transactionState = () => transaction === undefined ? 'none' : transaction.isFailed ? 'failed' : 'open'
  const respond = (overrides: Partial<SessionResponse> = {}): SessionResponse =>
    ({ message: '', rows: [], signature: '', transaction: transactionState(), endsSession: false, ...overrides })
  const refuse = (error: SessionError, message: string, endsSession = false) => respond({ error, message, endsSession })

  const requestOf = (
    requestId: string, { route, workspace }: Identity, overrides: Partial<StatementRequest>
  ): StatementRequest => ({
    requestId,
    group: route.group,
    database: '',
    workspace: workspaceNameOf({ workspace }),
    transactionId: transaction?.id ?? '',
    transaction: 'SINGLE',
    verb: 'TEXT',
    access: 'READ',
    text: '',
    shape: '',
    shapeAccess: 'READ',
    values: state.values(),
    needsPrimary: false,
    ownPosition: route.kind === 'readYourWrites' ? ownPosition : '',
    maxStalenessMs: route.maxStalenessMs,
    timeoutMs: route.timeoutMs,
    maxQueuedMs: Math.round(Math.max(
      route.targetLatencyMs * maxQueuedFraction.ofTargetLatency, route.timeoutMs * maxQueuedFraction.ofTimeout
    )),
    priority: route.priority,
    targetLatencyMs: route.targetLatencyMs,
    ...overrides
  })

  const errorResponse = (outcome: StatementOutcome, inTransaction: boolean): SessionResponse => {
    const { reason } = outcome
    if (outcome.status === 'UNKNOWN') return refuse('inDoubt', `outcome not known: ${reason}`)
    if (outcome.status === 'FAILED') return refuse('failed', reason === 'tooLarge' ? 'the result is too large' : reason)
    if (inTransaction) return refuse('aborted', `transaction rolled back: ${reason}`)
    if (reason === 'lagging' || reason === 'readOnly') return refuse(reason, `not run, retry after ${busyRetryMs} ms`)
    if (reason === 'tooLarge') return refuse('refused', 'not run: the statement with the session state is too large')
    if (reason === 'failed') return refuse('failed', 'not run: the statement is malformed or too long')
    return refuse('refused', `not run: ${reason}, retry after ${outcome.retryAfterMs ?? busyRetryMs} ms`)
  }

  const succeed = (outcome: StatementOutcome, hasCommitted: boolean): SessionResponse => {
    if (hasCommitted && outcome.position !== '') ownPosition = laterPosition(outcome.position, ownPosition)
    return respond({ rows: outcome.rows, signature: outcome.signature })
  }

  const logOutcome = (request: StatementRequest, outcome: StatementOutcome) => {
    if (outcome.status === 'DONE') return
    const { requestId, workspace, transaction: use, verb, access } = request
    const { status, reason, queuedMs, load } = outcome
    log(events.statementNotDone, {
      request: requestId, workspace, group: request.group, use, verb, access, status, reason, queuedMs, load
    })
  }

  /** Applies the workspace's rate limit. Callers without a workspace, on routes with `openToAll`, have no limit. */
  const isAdmitted = async (requestId: string, { route, workspace }: Identity): Promise<boolean> => {
    if (workspace === undefined) return true
    if (await admission.admit(workspace.name, route.targetLatencyMs * maxTokenWaitFraction)) return true
    const { name, ratePerSec, burst } = workspace
    log(events.limitRefused, { request: requestId, workspace: name, database, ratePerSec, burst })
    return false
  }

  /** Routes a statement; after lagging replicas, a primary that is not full may run it in the rest of its time. */
  const routeWithFallback = async (routing: RoutingRequest): Promise<RoutingResult> => {
    const startedAtMs = performance.now()
    const result = await router.route(routing)
    const { request, needsPrimary } = routing
    const timeoutMs = Math.round(request.timeoutMs - (performance.now() - startedAtMs))
    const { outcome: { reason: previousReason }, isPrimaryFull } = result
    if (previousReason !== 'lagging' || needsPrimary || isPrimaryFull || timeoutMs <= 0) return result
    return await router.route({ ...routing, request: { ...request, timeoutMs }, needsPrimary: true, previousReason })
  }

  /** Runs a statement outside a transaction. */
  const runSingle = async (identity: Identity, request: StatementRequest): Promise<SessionResponse> => {
    const { route } = identity
    if (!await isAdmitted(request.requestId, identity)) return refuse('refused', limitMessage)
    const needsPrimary = route.kind === 'primary' || request.access === 'WRITE'
    const { outcome } = await routeWithFallback({ request, route, regions: permittedRegionsOf(identity), needsPrimary })
    logOutcome(request, outcome)
    if (outcome.status !== 'DONE') return errorResponse(outcome, false)
    return succeed(outcome, request.access === 'WRITE')
  }

  /** Ends a transaction wherever it may still be open; the caller has yet to end it too. */
  const abandon = (current: Transaction) => {
    if (current.location !== undefined) router.abandon(current.id, current.location)
    current.location = undefined
    current.isFailed = true
  }

  const isAtPrimary = ({ route, readOnly }: Transaction) => route.kind === 'primary' || !readOnly

  /** Runs the first statement of a transaction; its database and holder serve the rest of the transaction. */
  const runFirstStatement = async (
    identity: Identity, current: Transaction, request: StatementRequest
  ): Promise<StatementOutcome> => {
    const { route } = current
    const needsPrimary = isAtPrimary(current)
    const openingRequest = {
      ...request, transaction: current.readOnly ? 'OPEN_READ_ONLY' as const : 'OPEN_READ_WRITE' as const
    }
    const regions = permittedRegionsOf({ ...identity, route })
    const result = await routeWithFallback({ request: openingRequest, route, regions, needsPrimary })
    current.location = result.location
    const hasEnded = transaction !== current
    if (hasEnded && result.location !== undefined) router.abandon(current.id, result.location)
    return result.outcome
  }

  const runNextStatement = async (
    identity: Identity, current: Transaction, request: StatementRequest
  ): Promise<StatementOutcome> => {
    const { location } = current
    if (location === undefined) return await runFirstStatement(identity, current, request)
    const needsPrimary = isAtPrimary(current)
    return await router.continueTransaction({
      ...request, database: location.database, needsPrimary, transaction: 'CONTINUE'
    }, location)
  }

  const runInTransaction = async (
    identity: Identity, current: Transaction, request: StatementRequest
  ): Promise<SessionResponse> => {
    if (current.isFailed) return refuse('malformed', 'the transaction has failed; end it first')
    const outcome = await runNextStatement(identity, current, request)
    logOutcome(request, outcome)
    if (outcome.status === 'DONE' && outcome.transactionOpen) return succeed(outcome, false)
    abandon(current)
    if (outcome.status === 'DONE') return refuse('aborted', 'the database ended the transaction')
    return errorResponse(outcome.status === 'UNKNOWN' ? notRun(outcome.reason) : outcome, true)
  }

  const commit = async (requestId: string, identity: Identity, current: Transaction): Promise<SessionResponse> => {
    if (current.isFailed) {
      transaction = undefined
      return refuse('aborted', 'the transaction had failed and was rolled back')
    }
    const request = requestOf(requestId, { ...identity, route: current.route }, { verb: 'COMMIT', access: 'WRITE' })
    const outcome = await runNextStatement(identity, current, request)
    transaction = undefined
    logOutcome(request, outcome)
    if (outcome.status === 'DONE') return succeed(outcome, !current.readOnly)
    if (outcome.status === 'NOT_RUN') abandon(current)
    const hasNoEffect = current.readOnly && outcome.status === 'UNKNOWN'
    return errorResponse(hasNoEffect ? notRun(outcome.reason) : outcome, true)
  }

  const rollBack = () => {
    if (transaction !== undefined) abandon(transaction)
    transaction = undefined
    return respond()
  }

  /** True if the open transaction was begun for a workspace that no longer holds the caller's key. */
  const hasLostWorkspace = (identity: Identity) => transaction !== undefined && !transaction.isFailed &&
    transaction.workspace !== workspaceNameOf(identity)

  const begin = async (requestId: string, identity: Identity, readOnly: boolean): Promise<SessionResponse> => {
    if (transaction !== undefined) return refuse('malformed', 'a transaction is open already')
    if (!await isAdmitted(requestId, identity)) return refuse('refused', limitMessage)
    transaction = {
      id: `${id}/${++transactionCount}`,
      readOnly,
      route: identity.route,
      workspace: workspaceNameOf(identity),
      location: undefined,
      isFailed: false
    }
    return respond()
  }

  const changeSessionState = (change: () => Result<void, StateRefusal>) => {
    if (transaction?.isFailed) return refuse('malformed', 'the transaction has failed; end it first')
    const changed = change()
    return changed.err ? refuse('refused', changed.val.message) : respond()
  }

  const runData = async (
    requestId: string, identity: Identity, overrides: Partial<StatementRequest>
  ): Promise<SessionResponse> => {
    const route = transaction?.route ?? identity.route
    const request = requestOf(requestId, { ...identity, route }, overrides)
    if (transaction === undefined) return await runSingle(identity, request)
    return await runInTransaction(identity, transaction, request)
  }

  const execute = async (requestId: string, identity: Identity, name: string, operands: string) => {
    const preparedStatement = state.prepared(name)
    if (preparedStatement === undefined) return refuse('noSuchStatement', name)
    const access = preparedStatement.access === 'write' ? 'WRITE' as const : 'READ' as const
    return await runData(requestId, identity, {
      verb: 'EXECUTE', access, text: operands, shape: preparedStatement.shape, shapeAccess: access
    })
  }

  /** Refuses a statement at a gateway that stops: there may be no time left to answer it. */
  const refuseNewWork = (): SessionResponse => {
    if (transaction === undefined) return refuse('refused', `not run: ${stoppingMessage}`, true)
    rollBack()
    return refuse('aborted', `transaction rolled back: ${stoppingMessage}`, true)
  }

  const handle = async (requestId: string, statement: SessionStatement): Promise<SessionResponse> => {
    const endsTransaction = statement.kind === 'commit' || statement.kind === 'rollback'
    if (!options.startsNewWork() && !(endsTransaction && transaction !== undefined)) return refuseNewWork()
    const identity = identify()
    if (typeof identity === 'string') {
      log(events.sessionRefused, {
        request: requestId, database, reason: identity, version: options.configuration()?.version
      })
      const endsSession = identity === 'keyUnknown' || (identity === 'noSuchDatabase' && transaction === undefined)
      if (transaction !== undefined) {
        rollBack()
        return refuse(identity === 'keyUnknown' ? 'keyUnknown' : 'aborted', 'not allowed any more', true)
      }
      return refuse(identity, 'not allowed', endsSession)
    }
    if (transaction !== undefined && hasLostWorkspace(identity)) {
      log(events.transactionLostKey, { request: requestId, database, workspace: transaction.workspace })
      abandon(transaction)
      if (!endsTransaction) return refuse('aborted', 'transaction rolled back: its key names another workspace now')
    }
    switch (statement.kind) {
      case 'begin': return await begin(requestId, identity, statement.readOnly)
      case 'commit': return transaction === undefined
        ? refuse(
          'malformed', 'no transaction is open'
        )
        : await commit(requestId, identity, transaction)
      case 'rollback': return rollBack()
      case 'text': {
        const access = statement.access === 'write' ? 'WRITE' as const : 'READ' as const
        return await runData(requestId, identity, { access, text: statement.text })
      }
      case 'execute': return await execute(requestId, identity, statement.name, statement.operands)
      case 'set': return changeSessionState(() => state.set(statement.name, statement.value))
      case 'prepare': {
        const { name, access, shape } = statement
        return changeSessionState(() => state.prepare(name, { access, shape }))
      }
      case 'deallocate': return changeSessionState(() => Ok(state.deallocate(statement.name)))
      case 'malformed': return refuse('malformed', 'not a statement')
    }
  }

  const identity = options.startsNewWork() ? identify() : 'refused'
  if (typeof identity === 'string') return identity
  return {
    handle,
    isAllowed: () => {
      const current = identify()
      return typeof current !== 'string' || current === 'refused'
    },
    isInTransaction: () => transaction !== undefined,
    workspace: workspaceNameOf(identity),
    close: () => {
      if (transaction !== undefined) rollBack()
      state.close()
    }
  }
}
