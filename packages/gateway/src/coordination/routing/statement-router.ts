/**
 * Routes a statement to a database and to a gateway that holds connections to it, and retries elsewhere if the
 * statement was not run.
 */
import { sleepMs } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import { events } from '../../events.js'
import type { Database, Route } from '../../state/configuration.js'
import type { FleetState } from '../../state/fleet-state.js'
import { laterPosition } from '../../state/position.js'
import { processName } from '../../state/stored-records.js'
import type { Member } from '../../state/stored-records.js'
import { causeOf, createAttemptBudget } from './attempt-budget.js'
import type { AttemptCause } from './attempt-budget.js'
import { createDatabaseCandidates } from './database-candidates.js'
import { createHolderCalls } from './holder-calls.js'
import type { HolderCallsOptions, TransactionLocation } from './holder-calls.js'
import type { HolderChoice } from './holder-choice.js'
import { createHolderTrials } from './holder-trials.js'
import { createOutliers } from './outliers.js'
import { createReplicaLag } from './replica-lag.js'
import { decideRetry } from './retry-decision.js'
import { isMovedReason, isRead, notRun } from '../sessions/statement.js'
import type { StatementOutcome, StatementReason, StatementRequest } from '../sessions/statement.js'

export type { TransactionLocation } from './holder-calls.js'

/** A statement to be routed, with its route and the regions that its data may enter. */
export type RoutingRequest = {
  request: StatementRequest
  route: Route
  regions: readonly string[]
  /** True if only the primary may run the statement, because it writes or because of the route. */
  needsPrimary: boolean
  /** Reason for which the statement has not run when it was routed before; its first attempt is paid for, too. */
  previousReason?: StatementReason
}

/** Outcome of a statement, and where it ran. */
export type RoutingResult = {
  outcome: StatementOutcome
  location: TransactionLocation | undefined
  /** True if the primary declined the statement because of its load. */
  isPrimaryFull: boolean
}

/** Routes statements to databases. */
export type StatementRouter = {
  route: (routing: RoutingRequest) => Promise<RoutingResult>
  /** Runs a subsequent statement of a transaction at the database and holder that ran its first one. */
  continueTransaction: (request: StatementRequest, location: TransactionLocation) => Promise<StatementOutcome>
  /** Rolls back a transaction that its session no longer needs. */
  abandon: (transactionId: string, location: TransactionLocation) => void
}

/** Counts of the router. */
export type RoutingCounters = {
  /** Called for each attempt after a statement's first one. */
  countAttempt: (cause: AttemptCause) => void
  /** Called for each attempt that was not made because its budget is used up. */
  countUnpaid: (cause: AttemptCause) => void
}

/** Dependencies of the statement router. */
export type RouterOptions = HolderCallsOptions & {
  fleetState: FleetState
  holders: HolderChoice
  regionOf: (dataCentre: string) => string
  /** True while this gateway may use primaries: it has contact with the store and its lease. */
  hasContact: () => boolean
  counters: RoutingCounters
  log: Logger
  /** Time and randomness; those of the process if left out. */
  nowMs?: () => number
  sleep?: (ms: number) => Promise<void>
  random?: () => number
}

/** Backoff after a holder could not be reached or does not use the database. */
const holderBackoffMs = 400
/** Maximum number of databases that are tried for one statement. */
const maxDatabases = 3
/** Each silent holder takes a part of the statement's time, and the other databases need the rest. */
const maxSilentHolders = 2

/** Failures of the holder rather than the database: another holder may succeed. */
const isRetryableAtOtherHolder = (reason: StatementReason) =>
  reason === 'holderSilent' || reason === 'unreachable' || isMovedReason(reason)

/** Outcome of the attempts at one database; `attempts` is 0 if no holder of it may be sent the statement. */
type DatabaseResult = { outcome: StatementOutcome, location: TransactionLocation | undefined, attempts: number }

/** Creates a statement router. */
export const createStatementRouter = (options: RouterOptions): StatementRouter => {
  const { self, fleetState, holders, regionOf, counters, log, nowMs = () => performance.now() } = options
  const { sleep = sleepMs, random = Math.random } = options
  const calls = createHolderCalls(options)
  const databases = createDatabaseCandidates({ self, fleetState, regionOf, nowMs, random })
  const budget = createAttemptBudget()
  const trials = createHolderTrials(random)
  const replicaLag = createReplicaLag()
  const outliers = createOutliers(random)
  const holderBackoffUntilMs = new Map<string, number>()

  /** Pays for an attempt after the first one of a statement. */
  const tryAttempt = ({ request: { requestId }, route: { group } }: RoutingRequest, cause: AttemptCause): boolean => {
    const isPaid = budget.tryAttempt(group, cause, nowMs())
    if (isPaid) counters.countAttempt(cause)
    else {
      counters.countUnpaid(cause)
      log(events.attemptNotPaid, { request: requestId, group, cause })
    }
    return isPaid
  }

  /** True if the holder may be sent statements that need a primary. */
  const isOpenForPrimary = (member: Member) =>
    (member.name !== self.name || options.hasContact()) && trials.isOpen(processName(member), nowMs())

  /** Candidate holders of the database; those in backoff after a failure come last. */
  const holdersOf = (database: Database, regions: readonly string[], needsPrimary: boolean): Member[] => {
    const isAvoided = ({ name }: Member) => (holderBackoffUntilMs.get(`${name} ${database.id}`) ?? 0) > nowMs()
    return holders.candidates(database, regions, isAvoided, member => needsPrimary && !isOpenForPrimary(member))
  }

  /** Records what the outcome shows of the lag of a replica or of the positions of the primary. */
  const recordPosition = (request: StatementRequest, outcome: StatementOutcome, startedAtMs: number) => {
    const { group, database } = request
    const { status, reason, databaseLoad } = outcome
    const position = laterPosition(outcome.position, databaseLoad?.position ?? '')
    if (request.needsPrimary) return replicaLag.recordPrimary(group, position, nowMs())
    // A reply without a position of its own reports that of an earlier reply, which may be old.
    const shownPosition = outcome.position === '' ? '' : position
    const toleratedMs = replicaLag.toleratedMs(request, startedAtMs)
    const hasFallenBehind = reason === 'lagging'
      ? replicaLag.recordDeclined(database, toleratedMs, startedAtMs, nowMs())
      : replicaLag.recordReplica(group, database, shownPosition, nowMs())
    const hasCaughtUp = status === 'DONE' && replicaLag.recordServed(database, toleratedMs)
    if (hasFallenBehind || hasCaughtUp) {
      log(events.replicaLagChanged, { request: request.requestId, database, isBehind: !hasCaughtUp, toleratedMs })
    }
  }

  /** Records a read that the database has run, failed or not answered; other outcomes tell nothing about it. */
  const recordRead = (request: StatementRequest, outcome: StatementOutcome, startedAtMs: number) => {
    const { group, database } = request
    const { status, reason, queuedMs } = outcome
    const hasFailed = reason === 'failed' || reason === 'silent' || reason === 'unreachable'
    if (!isRead(request) || (status !== 'DONE' && !hasFailed)) return
    const endedAtMs = nowMs()
    const read = { hasFailed, serviceMs: endedAtMs - startedAtMs - queuedMs, startedAtMs, endedAtMs }
    const change = outliers.record(database, fleetState.databasesOf(group).map(({ id }) => id), read)
    if (change !== undefined) log(events.databaseEjected, { group, database, isEjected: change === 'ejected' })
  }

  const recordOutcome = (
    holder: Member, request: StatementRequest, outcome: StatementOutcome, startedAtMs: number
  ) => {
    const { database, needsPrimary } = request
    recordPosition(request, outcome, startedAtMs)
    recordRead(request, outcome, startedAtMs)
    databases.recordOutcome(database, outcome)
    if (isRetryableAtOtherHolder(outcome.reason)) {
      holderBackoffUntilMs.set(`${holder.name} ${database}`, nowMs() + holderBackoffMs)
    }
    if (!needsPrimary) return
    const change = trials.record(processName(holder), outcome, startedAtMs, nowMs())
    if (change === undefined) return
    log(events.holderContactChanged, { holder: holder.name, hasContact: change === 'regained' })
  }

  const runAtHolder = async (holder: Member, request: StatementRequest): Promise<StatementOutcome> => {
    const startedAtMs = nowMs()
    if (request.needsPrimary) trials.start(processName(holder), startedAtMs)
    else replicaLag.start(request.database, replicaLag.toleratedMs(request, startedAtMs), startedAtMs)
    if (isRead(request)) outliers.start(request.database, startedAtMs)
    const outcome = await calls.run(holder, request)
    recordOutcome(holder, request, outcome, startedAtMs)
    log(events.statementRouted, {
      request: request.requestId,
      database: request.database,
      holder: holder.name,
      status: outcome.status,
      reason: outcome.reason,
      load: outcome.load,
      queuedMs: outcome.queuedMs,
      connection: outcome.connection,
      prepared: outcome.prepared,
      needsPrimary: request.needsPrimary
    })
    return outcome
  }

  const tryDatabase = async (
    database: Database, routing: RoutingRequest, remainingMs: () => number
  ): Promise<DatabaseResult> => {
    const { route, regions } = routing
    const needsPrimary = routing.needsPrimary || databases.primaryOf(route.group)?.id === database.id
    let outcome = notRun(needsPrimary ? 'noContact' : 'unreachable')
    let attempts = 0
    let silentHolders = 0
    for (const holder of holdersOf(database, regions, needsPrimary)) {
      // Another statement may have become the holder's trial since the holders were chosen.
      if (needsPrimary && !isOpenForPrimary(holder)) continue
      if (attempts > 0 && !tryAttempt(routing, causeOf(outcome.reason))) break
      attempts++
      outcome = await runAtHolder(holder, {
        ...routing.request, database: database.id, needsPrimary, timeoutMs: Math.max(1, Math.round(remainingMs()))
      })
      const canTryOtherHolder = outcome.status === 'NOT_RUN' && isRetryableAtOtherHolder(outcome.reason)
      if (!canTryOtherHolder || remainingMs() <= 0) {
        return { outcome, location: { database: database.id, holder }, attempts }
      }
      if (outcome.reason === 'holderSilent' && ++silentHolders >= maxSilentHolders) break
    }
    return { outcome, location: undefined, attempts }
  }

  /** Identifies the office of a primary: an attempt at the next primary is not a repetition. */
  const officeOf = (group: string, database: Database) =>
    `${database.id} ${fleetState.group(group)?.record.term ?? 0}`

  const hasOpenHolder = (database: Database | undefined, regions: readonly string[]) =>
    database !== undefined && holdersOf(database, regions, true).length > 0

  /** Databases to try, best first. Replicas that are behind come last after a failure that another one may not have. */
  const candidatesFor = (routing: RoutingRequest, last: StatementReason | undefined): Database[] => {
    const toleratedMs = replicaLag.toleratedMs(routing.request, nowMs())
    const { priority, maxStalenessMs } = routing.request
    const isBehind = (id: string) => !replicaLag.canServe(id, toleratedMs, nowMs())
    const cause = last === undefined ? undefined : causeOf(last)
    const includesBehind = cause !== undefined && cause !== 'overload' && cause !== 'lagging'
    const isEjected = (id: string) => outliers.isEjected(id, nowMs())
    return databases.ranked({ ...routing, priority, maxStalenessMs, isBehind, isEjected }, includesBehind)
  }

  /** Tries a single read that a database failed once at another one; returns the failure unless that serves it. */
  const retryFailedRead = async (
    routing: RoutingRequest, failure: DatabaseResult, tried: ReadonlySet<string>, remainingMs: () => number
  ): Promise<DatabaseResult> => {
    const { request, needsPrimary } = routing
    const { status, reason } = failure.outcome
    const isSingleRead = !needsPrimary && isRead(request) && request.transaction === 'SINGLE'
    if (status !== 'FAILED' || reason !== 'failed' || !isSingleRead || remainingMs() <= 0) return failure
    const other = candidatesFor(routing, reason).find(({ id }) => !tried.has(id))
    if (other === undefined || !tryAttempt(routing, 'failed')) return failure
    const second = await tryDatabase(other, routing, remainingMs)
    return second.outcome.status === 'DONE' ? second : failure
  }

  const route = async (routing: RoutingRequest): Promise<RoutingResult> => {
    const { needsPrimary, regions, previousReason, route: { group } } = routing
    const deadlineMs = nowMs() + routing.request.timeoutMs
    const remainingMs = () => deadlineMs - nowMs()
    const tried = new Set<string>()
    const triedOffices = new Set<string>()
    let refusedWaits = 0
    let isPrimaryFull = false
    let result: DatabaseResult | undefined
    const withLoad = (last: Omit<DatabaseResult, 'attempts'>): RoutingResult =>
      ({ outcome: last.outcome, location: last.location, isPrimaryFull })

    if (previousReason === undefined) budget.recordStatement(group, nowMs())
    else if (!tryAttempt(routing, causeOf(previousReason))) {
      return withLoad({ outcome: notRun(previousReason), location: undefined })
    }
    for (;;) {
      const candidates = tried.size < maxDatabases ? candidatesFor(routing, result?.outcome.reason) : []
      const next = candidates.find(({ id }) => !tried.has(id))
      const primary = databases.primaryOf(group)
      const isFirstAttempt = result === undefined && next !== undefined
      const decision = isFirstAttempt
        ? { kind: 'tryOther' as const }
        : decideRetry({
          reason: result?.outcome.reason,
          wasSent: (result?.attempts ?? 0) > 0,
          needsPrimary,
          isPrimaryActive: primary !== undefined,
          hasOther: next !== undefined,
          isRepetition: next !== undefined && triedOffices.has(officeOf(group, next)),
          hasOpenHolder: hasOpenHolder(primary, regions),
          refusedWaits,
          remainingMs: remainingMs()
        }, { tryAttempt: cause => tryAttempt(routing, cause) })
      if (decision.kind === 'giveUp') return withLoad(result ?? { outcome: notRun('moved'), location: undefined })
      if (decision.kind === 'wait') {
        if (databases.primaryOf(group) !== undefined) refusedWaits++
        await sleep(decision.ms)
        tried.clear()
      } else if (next !== undefined) {
        tried.add(next.id)
        triedOffices.add(officeOf(group, next))
        result = await tryDatabase(next, routing, remainingMs)
        if (result.outcome.status !== 'NOT_RUN') {
          return withLoad(await retryFailedRead(routing, result, tried, remainingMs))
        }
        if (next.id === primary?.id && causeOf(result.outcome.reason) === 'overload') isPrimaryFull = true
      }
    }
  }

  return {
    route,
    continueTransaction: async (request, { holder }) => {
      const outcome = await calls.run(holder, request)
      databases.recordLoad(request.database, outcome)
      // The position of a commit is required by the session's next reads.
      if (request.needsPrimary) replicaLag.recordPrimary(request.group, outcome.position, nowMs())
      return outcome
    },
    abandon: calls.abandon
  }
}
