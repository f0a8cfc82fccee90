/**
 * Routes a statement to a database and to a gateway that holds connections to it, and retries elsewhere if the
 * statement was not run.
 */
import type { Logger } from '@egretyoke/common'
import { events } from '../events.js'
import type { Database, Route } from '../state/configuration.js'
import type { FleetView } from '../state/fleet-view.js'
import type { Member } from '../state/stored-records.js'
import type { HolderChoice, Place } from './holder-choice.js'
import type { RelayCalls } from './relay-calls.js'
import { takesWork } from './database-duty.js'
import { isRead, notRun, unknownOutcome } from './statement.js'
import type { StatementOutcome, StatementReason, StatementRequest } from './statement.js'

/** Database and holder of an open transaction. */
export type HeldAt = { database: string, holder: Member }

/** A statement to be routed, with its route and the regions that its data may enter. */
export type RouteQuestion = {
  request: StatementRequest
  route: Route
  regions: readonly string[]
  /** True if only the primary may run the statement, because it writes or because of the route. */
  needsPrimary: boolean
}

/** Outcome of a statement, and where it ran. */
export type Routed = { outcome: StatementOutcome, at: HeldAt | undefined }

/** Routes statements to databases. */
export type StatementRouter = {
  route: (question: RouteQuestion) => Promise<Routed>
  /** Runs a subsequent statement of a transaction at the location of its first one. */
  continueAt: (request: StatementRequest, at: HeldAt) => Promise<StatementOutcome>
  abandon: (session: string, at: HeldAt) => void
}

/** Dependencies of the statement router. */
export type RouterOptions = {
  self: Place
  view: FleetView
  holders: HolderChoice
  relay: RelayCalls
  regionOf: (dataCentre: string) => string
  /** Runs a statement on a connection of this gateway. */
  runHere: (request: StatementRequest) => Promise<StatementOutcome>
  abandonHere: (database: string, session: string) => void
  log: Logger
}

/** Estimated network latency to a database in milliseconds, by its location. */
const wayMs = { sameDataCentre: 0, sameRegion: 4, otherRegion: 60 } as const
/** Estimated slot time in milliseconds of each statement queued ahead. */
const assumedWorkMs = 25
/** Back-off after a replica was lagging. */
const lagRestMs = 250
/** Back-off after a database or holder could not be reached. */
const failureRestMs = 400
/** Maximum number of databases that are tried for one statement. */
const maxDatabases = 3
/** Poll interval while a statement waits for a primary to become active, within its time-out. */
const primaryPollMs = 25
/** Maximum number of retries at the holders of an active primary while none of them is permitted to use it. */
const maxRoundsInForce = 2
/** Added to a forwarded statement's time-out, for the round trip to the holder. */
const relayAllowanceMs = 150

/** Failures of the holder rather than the database: another holder may succeed. */
const otherHolderMayDo: ReadonlySet<StatementReason> = new Set(['holderSilent', 'unreachable', 'moved'])

const worthAnother: ReadonlySet<StatementReason> =
  new Set(['busy', 'queuedTooLong', 'lagging', 'readOnly', 'moved', 'unreachable', 'silent', 'holderSilent'])

/** Creates a statement router. */
export const createStatementRouter = (options: RouterOptions): StatementRouter => {
  const { self, view, holders, relay, regionOf, log } = options
  const loads = new Map<string, number>()
  const restUntilMs = new Map<string, number>()
  const holderRestUntilMs = new Map<string, number>()
  const nowMs = () => performance.now()

  const runAt = async (holder: Member, request: StatementRequest): Promise<StatementOutcome> => {
    if (holder.name === self.name) return await options.runHere(request)
    const reply = await relay.ask(holder, { run: request }, request.timeoutMs + relayAllowanceMs)
    if (reply.ok) return (reply.val.statement ?? notRun('moved')) as StatementOutcome
    if (reply.val.reason === 'unsent') return notRun('holderSilent')
    if (request.transaction !== 'SINGLE' && request.verb !== 'COMMIT') return notRun('answerLost')
    return isRead(request) ? notRun('holderSilent') : unknownOutcome('holderSilent')
  }

  const noteOutcome = (database: string, { reason, load }: StatementOutcome) => {
    loads.set(database, load)
    if (reason === 'lagging') restUntilMs.set(database, nowMs() + lagRestMs)
    if (reason === 'unreachable' || reason === 'silent') restUntilMs.set(database, nowMs() + failureRestMs)
  }

  const costOf = (database: Database) => {
    const isNear = database.dataCentre === self.dataCentre
    const isInRegion = regionOf(database.dataCentre) === self.region
    const way = isNear ? wayMs.sameDataCentre : isInRegion ? wayMs.sameRegion : wayMs.otherRegion
    const ahead = Math.max(0, (loads.get(database.id) ?? 0) - database.slots + 1)
    const rest = (restUntilMs.get(database.id) ?? 0) > nowMs() ? 10_000 : 0
    return way + ahead * assumedWorkMs / Math.max(1, database.slots) + rest
  }

  const isHome = (database: Database, regions: readonly string[]) =>
    regions.length === 0 || regions.includes(regionOf(database.dataCentre))

  const primaryOf = (group: string): Database | undefined => {
    const record = view.group(group)?.record
    return record?.phase === 'serving' ? view.databases().get(record.primary) : undefined
  }

  /** Databases that are eligible for the statement, best first. */
  const choices = ({ route, regions, needsPrimary }: RouteQuestion): Database[] => {
    const primary = primaryOf(route.group)
    const mayTake = (database: Database) => isHome(database, regions) && takesWork(view, database)
    if (needsPrimary) return [primary].flatMap(database => database ?? []).filter(mayTake)
    return view.databasesOf(route.group)
      .filter(mayTake)
      .sort((one, other) => costOf(one) - costOf(other))
  }

  /** Candidate holders of the database; those in back-off after a failure come last. */
  const holdersOf = (database: Database, regions: readonly string[]): Member[] => {
    const isResting = ({ name }: Member) => (holderRestUntilMs.get(`${name} ${database.id}`) ?? 0) > nowMs()
    const all = holders.candidates(database, regions)
    return [...all.filter(holder => !isResting(holder)), ...all.filter(isResting)]
  }

  const tryDatabase = async (database: Database, question: RouteQuestion, leftMs: () => number): Promise<Routed> => {
    const { route, regions } = question
    const needsPrimary = question.needsPrimary || primaryOf(route.group)?.id === database.id
    let outcome = notRun('unreachable')
    for (const holder of holdersOf(database, regions)) {
      const request = {
        ...question.request, database: database.id, needsPrimary, timeoutMs: Math.max(1, Math.round(leftMs()))
      }
      outcome = await runAt(holder, request)
      noteOutcome(database.id, outcome)
      log(events.statementRouted, {
        request: request.requestId,
        database: database.id,
        holder: holder.name,
        status: outcome.status,
        reason: outcome.reason,
        load: outcome.load,
        queuedMs: outcome.queuedMs,
        needsPrimary
      })
      const at = { database: database.id, holder }
      const isOtherHolderWorthIt = otherHolderMayDo.has(outcome.reason)
      if (isOtherHolderWorthIt) holderRestUntilMs.set(`${holder.name} ${database.id}`, nowMs() + failureRestMs)
      if (outcome.status !== 'NOT_RUN' || !isOtherHolderWorthIt || leftMs() <= 0) return { outcome, at }
    }
    return { outcome, at: undefined }
  }

  /**
   * True if the statement should wait for a primary: the primary is being changed, or the holders may have a newer
   * group record than this gateway.
   */
  const mayComeIntoForce = (group: string, { reason }: StatementOutcome, rounds: number) => {
    if (view.group(group)?.record.phase !== 'serving') return true
    return reason === 'moved' && rounds < maxRoundsInForce
  }

  const route = async (question: RouteQuestion): Promise<Routed> => {
    const endAtMs = nowMs() + question.request.timeoutMs
    const leftMs = () => endAtMs - nowMs()
    const tried = new Set<string>()
    let rounds = 0
    let last: Routed = { outcome: notRun('moved'), at: undefined }
    while (leftMs() > 0 && tried.size < maxDatabases) {
      const next = choices(question).find(({ id }) => !tried.has(id))
      if (next === undefined) {
        if (!question.needsPrimary || !mayComeIntoForce(question.route.group, last.outcome, rounds++)) break
        tried.clear()
        await new Promise(resolve => setTimeout(resolve, primaryPollMs))
        continue
      }
      tried.add(next.id)
      last = await tryDatabase(next, question, leftMs)
      if (last.outcome.status !== 'NOT_RUN' || !worthAnother.has(last.outcome.reason)) return last
    }
    return last
  }

  return {
    route,
    continueAt: async (request, { holder }) => await runAt(holder, request),
    abandon: (session, { database, holder }) => {
      if (holder.name === self.name) return options.abandonHere(database, session)
      relay.ask(holder, { abandon: { database, session } }, relayAllowanceMs)
    }
  }
}
