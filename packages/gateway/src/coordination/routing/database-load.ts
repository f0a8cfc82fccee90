/**
 * Load of the databases as their holders report it, and the time that a statement can expect to take there.
 *
 * Load pattern: databases of one group with unequal load, such as a slow one, one that has just started, or one that a
 * workspace at several times its rate has filled. The report in each reply tells what is queued ahead of a statement of
 * a certain priority, and how fast it is worked off. A report ages: a queue of a second ago says little about the queue
 * of now, so that the estimate decays to that of a database without a report.
 */
import type { Database } from '../../state/configuration.js'
import type { StatementOutcome } from '../sessions/statement.js'

/** What a reply tells about the load; gateways of an earlier version send only the number of statements. */
export type LoadReport = Pick<StatementOutcome, 'load' | 'databaseLoad'>

/** Loads by database. Times are readings of one monotonic clock. */
export type DatabaseLoads = {
  record: (database: string, report: LoadReport, nowMs: number) => void
  /** Expected wait for a slot and time in it, in milliseconds, of a statement with this priority. */
  expectedMs: (database: Pick<Database, 'id' | 'slots'>, priority: number, nowMs: number) => number
}

/** Estimated time that a statement occupies a slot, without a report. */
const assumedServiceMs = 25
/** Time in which the weight of a report falls to 37%. */
const reportLifetimeMs = 1000
/** Larger values in a report of another gateway are not plausible and count as these. */
const plausible = { statements: 100_000, serviceMs: 60_000, ageMs: 60_000 } as const

type Observation = {
  /** Undefined if the report does not tell; then the number of slots counts. */
  pace: number | undefined
  inFlight: number
  queued: readonly number[]
  serviceMs: number
  observedAtMs: number
}

/** A number of a report within 0 and `max`; `fallback` if it is none. */
const bounded = (value: number, max: number, fallback: number) =>
  Number.isFinite(value) && value >= 0 ? Math.min(value, max) : fallback

const observationOf = ({ load, databaseLoad }: LoadReport, nowMs: number): Observation => {
  const countOf = (value: number) => bounded(value, plausible.statements, 0)
  if (databaseLoad === null) {
    const inFlight = countOf(load)
    return { pace: undefined, inFlight, queued: [], serviceMs: assumedServiceMs, observedAtMs: nowMs }
  }
  const { pace, inFlight, queued, serviceMs, ageMs } = databaseLoad
  return {
    pace: countOf(pace) || undefined,
    inFlight: countOf(inFlight),
    queued: queued.map(countOf),
    serviceMs: bounded(serviceMs, plausible.serviceMs, 0) || assumedServiceMs,
    observedAtMs: nowMs - bounded(ageMs, plausible.ageMs, 0)
  }
}

/** Creates a table without reports. */
export const createDatabaseLoads = (): DatabaseLoads => {
  const observations = new Map<string, Observation>()

  const record = (database: string, report: LoadReport, nowMs: number) => {
    observations.set(database, observationOf(report, nowMs))
  }

  const expectedMs: DatabaseLoads['expectedMs'] = ({ id, slots }, priority, nowMs) => {
    const observation = observations.get(id)
    if (observation === undefined) return assumedServiceMs
    const { inFlight, queued, serviceMs, observedAtMs } = observation
    const pace = Math.max(1, observation.pace ?? slots)
    const ahead = inFlight + queued.slice(0, priority + 1).reduce((sum, count) => sum + count, 0)
    const waitMs = Math.max(0, ahead - pace + 1) * serviceMs / pace
    const weight = Math.exp(-Math.max(0, nowMs - observedAtMs) / reportLifetimeMs)
    return assumedServiceMs + weight * (waitMs + serviceMs - assumedServiceMs)
  }

  return { record, expectedMs }
}
