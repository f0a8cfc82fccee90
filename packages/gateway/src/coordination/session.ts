/**
 * One caller's session: its session variables, prepared statements, open transaction, and the log position of its last
 * commit.
 *
 * Statements that only change session state are handled locally. Statements that access data are routed to a database
 * together with the session state that they require.
 */
import type { Logger } from '@egretyoke/common'
import { events } from '../events.js'
import type { Configuration, Route, Workspace } from '../state/configuration.js'
import { laterPosition } from '../state/position.js'
import type { Admission } from './admission.js'
import type { HeldAt, StatementRouter } from './statement-router.js'
import { notRun } from './statement.js'
import type { StatementOutcome, StatementRequest } from './statement.js'

/** A statement received from a caller. */
export type SessionStatement =
  | { kind: 'begin', readOnly: boolean }
  | { kind: 'commit' }
  | { kind: 'rollback' }
  /** Forwarded to the database unchanged. */
  | { kind: 'text', access: 'read' | 'write', text: string }
  | { kind: 'execute', name: string, operands: string }
  | { kind: 'set', name: string, value: string }
  | { kind: 'prepare', name: string, access: 'read' | 'write', shape: string }
  | { kind: 'deallocate', name: string }
  | { kind: 'malformed' }

/**
 * Why a statement did not succeed. `refused`, `lagging`, `readOnly` and `aborted` guarantee that the statement or
 * transaction had no effect; `failed` and `inDoubt` guarantee nothing.
 */
export type SessionError =
  'refused' | 'lagging' | 'readOnly' | 'aborted' | 'failed' | 'inDoubt' | 'keyUnknown' | 'noSuchDatabase' |
  'noSuchStatement' | 'malformed'

/** Response to a statement. `signature` is empty if no database was involved. */
export type SessionAnswer = {
  error?: SessionError
  message: string
  rows: string[]
  signature: string
  transaction: 'none' | 'open' | 'failed'
  /** True if the session has ended and the caller's connection must be closed. */
  isOver: boolean
}

/** An open session. */
export type Session = {
  handle: (requestId: string, statement: SessionStatement) => Promise<SessionAnswer>
  /** False once the key has been withdrawn or the database's route has been removed. */
  isAllowed: () => boolean
  isInTransaction: () => boolean
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
  knowsKeys: () => boolean
  admission: Admission
  router: StatementRouter
  log: Logger
}

type Transaction = { readOnly: boolean, route: Route, at: HeldAt | undefined, isFailed: boolean }
type Identity = { route: Route, workspace: Workspace | undefined }

const maxValues = 64
const maxPrepared = 256
/** Fraction of the route's target latency that a statement may be queued for before it is sent to a database. */
const maxQueuedFraction = 0.5
/** Fraction of the route's target latency that an operation may wait for a token of its workspace's rate limit. */
const maxTokenWaitFraction = 0.24
/** Retry delay suggested to the caller after a rate limit refusal. */
const limitRetryMs = 500
const busyRetryMs = 100

const limitMessage = `limit reached, retry after ${limitRetryMs} ms`

/** Workspace name for callers without a key, on routes with `openToAll`. */
const openWorkspace = '-'

/** Opens a session; returns an error if the caller is not authorized for the database. */
export const openSession = (options: SessionOptions): Session | SessionError => {
  const { id, database, key, router, admission, log } = options
  const values = new Map<string, string>()
  const prepared = new Map<string, { access: 'read' | 'write', shape: string }>()
  let transaction: Transaction | undefined
  let ownPosition = ''

  const identify = (): Identity | SessionError => {
    const configuration = options.configuration()
    if (configuration === undefined || !options.knowsKeys()) return 'refused'
    // An open transaction keeps the route that it started with; a changed route applies to the next transaction.
    const route = transaction?.route ?? configuration.routes.get(database)
    const workspace = configuration.workspaceByKey.get(key)
    if (route === undefined) return workspace === undefined ? 'keyUnknown' : 'noSuchDatabase'
    return workspace === undefined && !route.openToAll ? 'keyUnknown' : { route, workspace }
  }

  const transactionState = () => transaction === undefined ? 'none' : transaction.isFailed ? 'failed' : 'open'
  const answer = (rest: Partial<SessionAnswer> = {}): SessionAnswer =>
    ({ message: '', rows: [], signature: '', transaction: transactionState(), isOver: false, ...rest })
  const refuse = (error: SessionError, message: string, isOver = false) => answer({ error, message, isOver })

  const homesOf = ({ route, workspace }: Identity): string[] => {
    const routeHomes = route.homeRegions
    const workspaceHomes = workspace?.homeRegions ?? []
    if (routeHomes.length === 0) return [...workspaceHomes]
    if (workspaceHomes.length === 0) return [...routeHomes]
    const both = routeHomes.filter(region => workspaceHomes.includes(region))
    // No region is permitted by both lists: 'none' matches no region. An empty list would permit all.
    return both.length > 0 ? both : ['none']
  }

  const requestOf = (
    requestId: string, { route, workspace }: Identity, rest: Partial<StatementRequest>
  ): StatementRequest => ({
    requestId,
    group: route.group,
    database: '',
    workspace: workspace?.name ?? openWorkspace,
    session: id,
    transaction: 'SINGLE',
    verb: 'TEXT',
    access: 'READ',
    text: '',
    shape: '',
    shapeAccess: 'READ',
    values: [...values].map(([name, value]) => ({ name, value })),
    needsPrimary: false,
    ownPosition: route.kind === 'readYourWrites' ? ownPosition : '',
    maxStalenessMs: route.maxStalenessMs,
    timeoutMs: route.timeoutMs,
    maxQueuedMs: Math.round(route.targetLatencyMs * maxQueuedFraction),
    priority: route.priority,
    ...rest
  })

  const errorOf = (outcome: StatementOutcome, inTransaction: boolean): SessionAnswer => {
    const { reason } = outcome
    if (outcome.status === 'UNKNOWN') return refuse('inDoubt', `outcome not known: ${reason}`)
    if (outcome.status === 'FAILED') return refuse('failed', reason)
    if (inTransaction) return refuse('aborted', `transaction rolled back: ${reason}`)
    if (reason === 'lagging' || reason === 'readOnly') return refuse(reason, `not run, retry after ${busyRetryMs} ms`)
    if (reason === 'failed') return refuse('failed', 'the database does not take the statement')
    return refuse('refused', `not run: ${reason}, retry after ${busyRetryMs} ms`)
  }

  const succeed = (outcome: StatementOutcome, hasCommitted: boolean): SessionAnswer => {
    if (hasCommitted && outcome.position !== '') ownPosition = laterPosition(outcome.position, ownPosition)
    return answer({ rows: outcome.rows, signature: outcome.signature })
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

  /** Runs a statement outside a transaction. A lagging replica falls back to the primary. */
  const runSingle = async (identity: Identity, request: StatementRequest): Promise<SessionAnswer> => {
    const { route } = identity
    if (!await isAdmitted(request.requestId, identity)) return refuse('refused', limitMessage)
    const needsPrimary = route.kind === 'primary' || request.access === 'WRITE'
    let { outcome } = await router.route({ request, route, regions: homesOf(identity), needsPrimary })
    if (outcome.reason === 'lagging' && !needsPrimary) {
      outcome = (await router.route({ request, route, regions: homesOf(identity), needsPrimary: true })).outcome
    }
    logOutcome(request, outcome)
    if (outcome.status !== 'DONE') return errorOf(outcome, false)
    return succeed(outcome, request.access === 'WRITE')
  }

  /** Runs the first statement of a transaction; its database and holder serve the rest of the transaction. */
  const runFirst = async (
    identity: Identity, opened: Transaction, request: StatementRequest
  ): Promise<StatementOutcome> => {
    const { route } = opened
    const needsPrimary = route.kind === 'primary' || !opened.readOnly
    const opening = {
      ...request, transaction: opened.readOnly ? 'OPEN_READ_ONLY' as const : 'OPEN_READ_WRITE' as const
    }
    const regions = homesOf({ ...identity, route })
    let routed = await router.route({ request: opening, route, regions, needsPrimary })
    if (routed.outcome.reason === 'lagging' && !needsPrimary) {
      routed = await router.route({ request: opening, route, regions, needsPrimary: true })
    }
    opened.at = routed.at
    return routed.outcome
  }

  const runInTransaction = async (
    identity: Identity, opened: Transaction, request: StatementRequest
  ): Promise<SessionAnswer> => {
    if (opened.isFailed) return refuse('malformed', 'the transaction has failed; end it first')
    const outcome = opened.at === undefined
      ? await runFirst(identity, opened, request)
      : await router.continueAt({
        ...request, database: opened.at.database, needsPrimary: isAtPrimary(opened), transaction: 'CONTINUE'
      }, opened.at)
    logOutcome(request, outcome)
    if (outcome.status === 'DONE' && outcome.transactionOpen) return succeed(outcome, false)
    opened.isFailed = true
    opened.at = undefined
    if (outcome.status === 'DONE') return refuse('aborted', 'the database ended the transaction')
    return errorOf(outcome.status === 'UNKNOWN' ? notRun(outcome.reason) : outcome, true)
  }

  const isAtPrimary = (opened: Transaction) => opened.route.kind === 'primary' || !opened.readOnly

  const commit = async (requestId: string, identity: Identity, opened: Transaction): Promise<SessionAnswer> => {
    if (opened.isFailed) {
      transaction = undefined
      return refuse('aborted', 'the transaction had failed and was rolled back')
    }
    const request = requestOf(requestId, { ...identity, route: opened.route }, { verb: 'COMMIT', access: 'WRITE' })
    const outcome = opened.at === undefined
      ? await runFirst(identity, opened, request)
      : await router.continueAt({
        ...request, database: opened.at.database, needsPrimary: isAtPrimary(opened), transaction: 'CONTINUE'
      }, opened.at)
    transaction = undefined
    logOutcome(request, outcome)
    if (outcome.status === 'DONE') return succeed(outcome, !opened.readOnly)
    const leavesNoTrace = opened.readOnly && outcome.status === 'UNKNOWN'
    return errorOf(leavesNoTrace ? notRun(outcome.reason) : outcome, true)
  }

  const rollBack = () => {
    if (transaction?.at !== undefined) router.abandon(id, transaction.at)
    transaction = undefined
    return answer()
  }

  const begin = async (requestId: string, identity: Identity, readOnly: boolean): Promise<SessionAnswer> => {
    if (transaction !== undefined) return refuse('malformed', 'a transaction is open already')
    if (!await isAdmitted(requestId, identity)) return refuse('refused', limitMessage)
    transaction = { readOnly, route: identity.route, at: undefined, isFailed: false }
    return answer()
  }

  const setLocally = (change: () => void, map: ReadonlyMap<string, unknown>, name: string, limit: number) => {
    if (transaction?.isFailed) return refuse('malformed', 'the transaction has failed; end it first')
    if (!map.has(name) && map.size >= limit) return refuse('refused', 'too many in this session')
    change()
    return answer()
  }

  const runData = async (
    requestId: string, identity: Identity, rest: Partial<StatementRequest>
  ): Promise<SessionAnswer> => {
    const route = transaction?.route ?? identity.route
    const request = requestOf(requestId, { ...identity, route }, rest)
    if (transaction === undefined) return await runSingle(identity, request)
    return await runInTransaction(identity, transaction, request)
  }

  const execute = async (requestId: string, identity: Identity, name: string, operands: string) => {
    const known = prepared.get(name)
    if (known === undefined) return refuse('noSuchStatement', name)
    const access = known.access === 'write' ? 'WRITE' as const : 'READ' as const
    return await runData(requestId, identity, {
      verb: 'EXECUTE', access, text: operands, shape: known.shape, shapeAccess: access
    })
  }

  const handle = async (requestId: string, statement: SessionStatement): Promise<SessionAnswer> => {
    const identity = identify()
    if (typeof identity === 'string') {
      log(events.sessionRefused, {
        request: requestId, database, reason: identity, version: options.configuration()?.version
      })
      const isOver = identity === 'keyUnknown' || (identity === 'noSuchDatabase' && transaction === undefined)
      if (transaction !== undefined) {
        rollBack()
        return refuse(identity === 'keyUnknown' ? 'keyUnknown' : 'aborted', 'not allowed any more', true)
      }
      return refuse(identity, 'not allowed', isOver)
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
      case 'set': return setLocally(
        () => values.set(statement.name, statement.value), values, statement.name, maxValues
      )
      case 'prepare': {
        const { name, access, shape } = statement
        return setLocally(() => prepared.set(name, { access, shape }), prepared, name, maxPrepared)
      }
      case 'deallocate': return setLocally(
        () => prepared.delete(statement.name), prepared, statement.name, maxPrepared + 1
      )
      case 'malformed': return refuse('malformed', 'not a statement')
    }
  }

  const identity = identify()
  if (typeof identity === 'string') return identity
  return {
    handle,
    isAllowed: () => {
      const now = identify()
      return typeof now !== 'string' || now === 'refused'
    },
    isInTransaction: () => transaction !== undefined,
    close: () => { if (transaction !== undefined) rollBack() }
  }
}
