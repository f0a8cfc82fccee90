/**
 * Routes a statement to a database and to a gateway that holds connections to it, and retries elsewhere if the
 * statement was not run.
 */
import { sleepMs } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import { createRetryBudget } from '@egretyoke/limits'
import { events } from '../../events.js'
import type { Database, Route } from '../../state/configuration.js'
import type { FleetState } from '../../state/fleet-state.js'
import { isPosition } from '../../state/position.js'
import type { Member } from '../../state/stored-records.js'
import type { HolderChoice, GatewayLocation } from './holder-choice.js'
import type { RelayCalls, RelayReply } from './relay-calls.js'
import { acceptsNewWork } from './database-availability.js'
import { decideRetry } from './retry-decision.js'
import { isRead, notRun, opensTransaction, unknownOutcome } from '../sessions/statement.js'
import type { StatementOutcome, StatementReason, StatementRequest } from '../sessions/statement.js'

/** Database and holder of an open transaction. */
export type TransactionLocation = { database: string, holder: Member }

/** A statement to be routed, with its route and the regions that its data may enter. */
export type RoutingRequest = {
  request: StatementRequest
  route: Route
  regions: readonly string[]
  /** True if only the primary may run the statement, because it writes or because of the route. */
  needsPrimary: boolean
}

/** Outcome of a statement, and where it ran. */
export type RoutingResult = { outcome: StatementOutcome, location: TransactionLocation | undefined }

/** Routes statements to databases. */
export type StatementRouter = {
  route: (routing: RoutingRequest) => Promise<RoutingResult>
  /** Runs a subsequent statement of a transaction at the database and holder that ran its first one. */
  continueTransaction: (request: StatementRequest, location: TransactionLocation) => Promise<StatementOutcome>
  /** Rolls back a transaction that its session no longer needs. */
  abandon: (transactionId: string, location: TransactionLocation) => void
}

/** Dependencies of the statement router. */
export type RouterOptions = {
  self: GatewayLocation
  fleetState: FleetState
  holders: HolderChoice
  relay: RelayCalls
  regionOf: (dataCentre: string) => string
  /** Runs a statement on a connection of this gateway. */
  runLocally: (request: StatementRequest) => Promise<StatementOutcome>
  abandonLocally: (database: string, transactionId: string) => void
  log: Logger
}

/** Estimated network latency to a database in milliseconds, by its location. */
const networkCostMs = { sameDataCentre: 0, sameRegion: 4, otherRegion: 60 } as const
/** Estimated slot time in milliseconds of each statement queued ahead. */
const assumedStatementMs = 25
/** Backoff after a replica was lagging. */
const lagBackoffMs = 250
/** Backoff after a database or holder could not be reached. */
const failureBackoffMs = 400
/** Maximum number of databases that are tried for one statement. */
const maxDatabases = 3
/** Added to a forwarded statement's time-out, for the round trip to the holder. */
const relayAllowanceMs = 150

/** Failures of the holder rather than the database: another holder may succeed. */
const retryableAtOtherHolder: ReadonlySet<StatementReason> = new Set(['holderSilent', 'unreachable', 'moved'])

/** False for a position that cannot be compared: with it, a session could miss its own write. The reply is unusable. */
const hasUsablePosition = ({ statement }: RelayReply): boolean => {
  const position = statement?.position ?? ''
  return position === '' || isPosition(position)
}

/** Creates a statement router. */
export const createStatementRouter = (options: RouterOptions): StatementRouter => {
  const { self, fleetState, holders, relay, regionOf, log } = options
  const loads = new Map<string, number>()
  const backoffUntilMs = new Map<string, number>()
  const holderBackoffUntilMs = new Map<string, number>()
  const retryBudget = createRetryBudget()
  const nowMs = () => performance.now()

  const abandon = (transactionId: string, { database, holder }: TransactionLocation) => {
    if (holder.name === self.name) return options.abandonLocally(database, transactionId)
    relay.call(holder, { abandon: { database, transactionId } }, relayAllowanceMs)
  }

  const runAtHolder = async (holder: Member, request: StatementRequest): Promise<StatementOutcome> => {
    if (holder.name === self.name) return await options.runLocally(request)
    const reply = await relay.call(holder, { run: request }, request.timeoutMs + relayAllowanceMs)
    if (reply.ok && hasUsablePosition(reply.val)) return (reply.val.statement ?? notRun('moved')) as StatementOutcome
    if (reply.err && reply.val.reason === 'tooLarge') return notRun('tooLarge')
    if (reply.err && reply.val.reason === 'unsent') return notRun('holderSilent')
    if (request.transaction !== 'SINGLE' && request.verb !== 'COMMIT') {
      // Only this router knows where a first statement was sent.
      if (opensTransaction(request)) abandon(request.transactionId, { database: request.database, holder })
      return notRun('answerLost')
    }
    return isRead(request) ? notRun('holderSilent') : unknownOutcome('holderSilent')
  }

  const recordOutcome = (database: string, { reason, load }: StatementOutcome) => {
    loads.set(database, load)
    if (reason === 'lagging') backoffUntilMs.set(database, nowMs() + lagBackoffMs)
    if (reason === 'unreachable' || reason === 'silent') backoffUntilMs.set(database, nowMs() + failureBackoffMs)
  }

  const costOf = (database: Database) => {
    const isLocal = database.dataCentre === self.dataCentre
    const isInRegion = regionOf(database.dataCentre) === self.region
    const networkCost = isLocal
      ? networkCostMs.sameDataCentre
      : isInRegion ? networkCostMs.sameRegion : networkCostMs.otherRegion
    const queuedAhead = Math.max(0, (loads.get(database.id) ?? 0) - database.slots + 1)
    const penalty = (backoffUntilMs.get(database.id) ?? 0) > nowMs() ? 10_000 : 0
    return networkCost + queuedAhead * assumedStatementMs / Math.max(1, database.slots) + penalty
  }

  const isInRegions = (database: Database, regions: readonly string[]) =>
    regions.length === 0 || regions.includes(regionOf(database.dataCentre))

  const primaryOf = (group: string): Database | undefined => {
    const record = fleetState.group(group)?.record
    return record?.phase === 'serving' ? fleetState.databases().get(record.primary) : undefined
  }

  /** Databases that are eligible for the statement, best first. */
  const candidatesFor = ({ route, regions, needsPrimary }: RoutingRequest): Database[] => {
    const primary = primaryOf(route.group)
    const isEligible = (database: Database) => isInRegions(database, regions) && acceptsNewWork(fleetState, database)
    if (needsPrimary) return [primary].flatMap(database => database ?? []).filter(isEligible)
    return fleetState.databasesOf(route.group)
      .filter(isEligible)
      .sort((one, other) => costOf(one) - costOf(other))
  }

  /** Candidate holders of the database; those in backoff after a failure come last. */
  const holdersOf = (database: Database, regions: readonly string[]): Member[] =>
    holders.candidates(database, regions, ({ name }) =>
      (holderBackoffUntilMs.get(`${name} ${database.id}`) ?? 0) > nowMs())

  const tryDatabase = async (
    database: Database, routing: RoutingRequest, remainingMs: () => number
  ): Promise<RoutingResult> => {
    const { route, regions } = routing
    const needsPrimary = routing.needsPrimary || primaryOf(route.group)?.id === database.id
    let outcome = notRun('unreachable')
    for (const holder of holdersOf(database, regions)) {
      const request = {
        ...routing.request, database: database.id, needsPrimary, timeoutMs: Math.max(1, Math.round(remainingMs()))
      }
      outcome = await runAtHolder(holder, request)
      recordOutcome(database.id, outcome)
      log(events.statementRouted, {
        request: request.requestId,
        database: database.id,
        holder: holder.name,
        status: outcome.status,
        reason: outcome.reason,
        load: outcome.load,
        queuedMs: outcome.queuedMs,
        connection: outcome.connection,
        prepared: outcome.prepared,
        needsPrimary
      })
      const location = { database: database.id, holder }
      const canTryOtherHolder = retryableAtOtherHolder.has(outcome.reason)
      if (canTryOtherHolder) holderBackoffUntilMs.set(`${holder.name} ${database.id}`, nowMs() + failureBackoffMs)
      if (outcome.status !== 'NOT_RUN' || !canTryOtherHolder || remainingMs() <= 0) return { outcome, location }
    }
    return { outcome, location: undefined }
  }

  const route = async (routing: RoutingRequest): Promise<RoutingResult> => {
    const { needsPrimary } = routing
    const { group } = routing.route
    const deadlineMs = nowMs() + routing.request.timeoutMs
    const remainingMs = () => deadlineMs - nowMs()
    const tried = new Set<string>()
    let refusedWaits = 0
    let result: RoutingResult | undefined
    retryBudget.recordRequest()
    for (;;) {
      const next = tried.size < maxDatabases ? candidatesFor(routing).find(({ id }) => !tried.has(id)) : undefined
      const isFirstAttempt = result === undefined && next !== undefined
      const decision = isFirstAttempt
        ? { kind: 'tryOther' as const }
        : decideRetry({
          reason: result?.outcome.reason,
          needsPrimary,
          isPrimaryActive: primaryOf(group) !== undefined,
          hasOther: next !== undefined,
          refusedWaits,
          remainingMs: remainingMs()
        }, retryBudget)
      if (decision.kind === 'giveUp') return result ?? { outcome: notRun('moved'), location: undefined }
      if (decision.kind === 'wait') {
        if (primaryOf(group) !== undefined) refusedWaits++
        await sleepMs(decision.ms)
        tried.clear()
      } else if (next !== undefined) {
        tried.add(next.id)
        result = await tryDatabase(next, routing, remainingMs)
        if (result.outcome.status !== 'NOT_RUN') return result
      }
    }
  }

  return {
    route,
    continueTransaction: async (request, { holder }) => await runAtHolder(holder, request),
    abandon
  }
}
