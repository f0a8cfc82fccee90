/**
 * Finds a database for a statement and the gateway that holds its connections, and tries another where the first did
 * not run it.
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

/** Where an open transaction runs. */
export type HeldAt = { database: string, holder: Member }

/** What the router is asked: the statement but for its database, the route, and where its data may go. */
export type RouteQuestion = {
  request: StatementRequest
  route: Route
  regions: readonly string[]
  /** Only the primary will do: the statement writes, or the route says so. */
  needsPrimary: boolean
}

/** What became of a statement, and where it ran. */
export type Routed = { outcome: StatementOutcome, at: HeldAt | undefined }

/** Routes statements. */
export type StatementRouter = {
  route: (question: RouteQuestion) => Promise<Routed>
  /** Runs a later statement of a transaction where its first one ran. */
  continueAt: (request: StatementRequest, at: HeldAt) => Promise<StatementOutcome>
  abandon: (session: string, at: HeldAt) => void
}

/** What the router works with. */
export type RouterOptions = {
  self: Place
  view: FleetView
  holders: HolderChoice
  relay: RelayCalls
  regionOf: (dataCentre: string) => string
  /** Runs a statement on connections that this gateway holds. */
  runHere: (request: StatementRequest) => Promise<StatementOutcome>
  abandonHere: (database: string, session: string) => void
  log: Logger
}

/** Estimated cost of the way to a database, in milliseconds, by where it is. */
const wayMs = { sameDataCentre: 0, sameRegion: 4, otherRegion: 60 } as const
/** What one more statement ahead costs, in milliseconds of one slot. */
const assumedWorkMs = 25
/** How long a replica that lagged is passed over. */
const lagRestMs = 250
/** How long a database that could not be reached is passed over. */
const failureRestMs = 400
/** Databases that are tried for one statement. */
const maxDatabases = 3
/** Waited for a primary to come into force, in small steps, while the statement's time lasts. */
const primaryPollMs = 25
/** How often the holders of a primary in force are asked again when none of them may use it. */
const maxRoundsInForce = 2
/** Beyond the statement's own time, for the way to the holder and back. */
const relayAllowanceMs = 150

/** Reasons that lie with the gateway that holds the connections. */
const otherHolderMayDo: ReadonlySet<StatementReason> = new Set(['holderSilent', 'unreachable', 'moved'])

const worthAnother: ReadonlySet<StatementReason> =
  new Set(['busy', 'queuedTooLong', 'lagging', 'readOnly', 'moved', 'unreachable', 'silent', 'holderSilent'])

/** Creates a router. */
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

  /** Databases that may run the statement, best first. */
  const choices = ({ route, regions, needsPrimary }: RouteQuestion): Database[] => {
    const primary = primaryOf(route.group)
    const mayTake = (database: Database) => isHome(database, regions) && takesWork(view, database)
    if (needsPrimary) return [primary].flatMap(database => database ?? []).filter(mayTake)
    return view.databasesOf(route.group)
      .filter(mayTake)
      .sort((one, other) => costOf(one) - costOf(other))
  }

  /** Holders that have just failed at the database come last. */
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
   * Whether it is worth waiting: a primary is being changed, or the holders may know a newer record than this
   * gateway.
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
