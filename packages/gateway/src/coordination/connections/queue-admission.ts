/**
 * Admission to the queue of a database: estimates how long a new statement would wait.
 *
 * Load pattern: a full database, as after a power failure of many gateways, with a slow database, or while one
 * workspace sends many times its usual. A statement that would not be sent to the database in time is refused at once,
 * so that its caller can come back earlier; the others may wait for most of their timeout, because a refusal only
 * brings them back as new work.
 *
 * Service times are kept by class of statement: with one average, a class that has become slow would have the
 * statements of all other classes refused, and a fast one would have slow statements admitted that expire.
 */
import { opensTransaction } from '../sessions/statement.js'
import type { StatementRequest } from '../sessions/statement.js'

/** Weight of the latest statement in the smoothed service time. */
const smoothing = 0.1
/** Service time that is assumed until statements have been measured, in milliseconds. */
const initialServiceMs = 20
/** Number of classes with their own service time; further ones share the average of all statements. */
const maxClasses = 64
/** Bounds of the delay that a refusal names; beyond the upper one, an estimate says nothing about the database. */
const retryDelayBoundsMs = { min: 50, max: 5000 } as const
/** Refused callers come back within this fraction of the expected wait after its end. */
const retrySpread = 0.5

type ClassifiedRequest = Pick<StatementRequest, 'priority' | 'access' | 'verb' | 'transaction' | 'maxStalenessMs'>

/** Classes of requests: the estimate for a new statement needs those of all that wait. */
const classes = new WeakMap<ClassifiedRequest, string>()

/**
 * Class of statements that take about the same time. The permitted staleness tells the kinds of routes apart: it is 0
 * on `primary` routes.
 */
export const statementClassOf = (request: ClassifiedRequest): string => {
  const known = classes.get(request)
  if (known !== undefined) return known
  const { priority, access, verb, transaction, maxStalenessMs } = request
  const statementClass = verb === 'COMMIT'
    ? 'commit'
    : [priority, access, maxStalenessMs, opensTransaction({ transaction }) ? 'opens' : ''].join(' ')
  classes.set(request, statementClass)
  return statementClass
}

/** Statements that are served before a new one. */
export type Backlog = {
  /** Slot time of the queued statements that are ahead of the new one. */
  aheadMs: number
  /** Service times of the statements that run now. */
  runningMs: readonly number[]
  /** Number of statements that may run at once. */
  limit: number
}

/** Estimates service and waiting times of one database. */
export type QueueAdmission = {
  /** Records how long a statement of the class occupied a slot. */
  recordService: (statementClass: string, serviceMs: number) => void
  /** Smoothed time that a statement occupies a slot: of the class, or of all statements if none of it was measured. */
  serviceMs: (statementClass?: string) => number
  /** Expected time in milliseconds until a new statement gets a slot. */
  expectedWaitMs: (backlog: Backlog) => number
}

type Average = { ms: number, count: number }

/** The first samples are averaged, so that an assumed time does not outweigh them. */
const addSample = (average: Average, ms: number) => {
  average.count++
  average.ms += (ms - average.ms) * Math.max(smoothing, 1 / average.count)
}

/** Time until the first of the running statements ends, each of them at a random time of its service. */
const firstEndMs = (runningMs: readonly number[]) =>
  runningMs.reduce((sum, ms) => sum + ms, 0) / runningMs.length / (runningMs.length + 1)

/** Creates the estimate of one database. */
export const createQueueAdmission = (): QueueAdmission => {
  const overall: Average = { ms: initialServiceMs, count: 0 }
  const byClass = new Map<string, Average>()

  const recordService = (statementClass: string, serviceMs: number) => {
    addSample(overall, serviceMs)
    const known = byClass.get(statementClass)
    if (known === undefined && byClass.size >= maxClasses) return
    const average = known ?? { ms: 0, count: 0 }
    byClass.set(statementClass, average)
    addSample(average, serviceMs)
  }

  const expectedWaitMs = ({ aheadMs, runningMs, limit }: Backlog) => {
    const excess = runningMs.length - limit + 1
    const untilSlotMs = excess > 0 ? excess * firstEndMs(runningMs) : 0
    return untilSlotMs + aheadMs / Math.max(1, limit)
  }

  return {
    recordService,
    serviceMs: (statementClass = '') => byClass.get(statementClass)?.ms ?? overall.ms,
    expectedWaitMs
  }
}

/** Largest part of a statement's timeout that is kept for its run: a usual time from a slow period refuses nothing. */
const maxRunFraction = 0.5

/**
 * Longest time in the queue. The sender gives the statement up at its timeout, and one that begins too late for that
 * would only occupy a slot.
 */
export const maxQueueWaitMs = (
  { maxQueuedMs, timeoutMs }: Pick<StatementRequest, 'maxQueuedMs' | 'timeoutMs'>, serviceMs: number
): number => Math.min(maxQueuedMs, timeoutMs - Math.min(serviceMs, timeoutMs * maxRunFraction))

/** Longest expected wait with which a statement is queued: it must reach the database within its target latency. */
export const maxExpectedWaitMs = (
  { maxQueuedMs, targetLatencyMs }: Pick<StatementRequest, 'maxQueuedMs' | 'targetLatencyMs'>
): number => targetLatencyMs ? Math.min(maxQueuedMs, targetLatencyMs) : maxQueuedMs

/**
 * Delay after which the caller of a refused statement should come back: when what waits now has been served, spread so
 * that the callers that were refused together do not return together. `random` is from 0 to 1.
 */
export const retryDelayMs = (expectedWaitMs: number, random: number): number => {
  const { min, max } = retryDelayBoundsMs
  return Math.round(Math.min(max, Math.max(min, expectedWaitMs) * (1 + retrySpread * random)))
}
