/**
 * The databases that may run a statement, best first.
 */
import type { Database, Route } from '../../state/configuration.js'
import type { FleetState } from '../../state/fleet-state.js'
import { acceptsNewWork } from './database-availability.js'
import type { GatewayLocation } from './holder-choice.js'
import type { StatementOutcome } from '../sessions/statement.js'

/** What decides which databases are eligible for a statement. */
export type EligibilityRequest = {
  route: Pick<Route, 'group'>
  /** Regions that the data may enter; an empty list permits all. */
  regions: readonly string[]
  needsPrimary: boolean
  /** True if the replica is known to lag by more than the statement tolerates. */
  isBehind: (database: string) => boolean
}

/** Databases of this gateway's fleet state, with what their replies have shown. */
export type DatabaseCandidates = {
  /** The group's primary; undefined while it is being changed. */
  primaryOf: (group: string) => Database | undefined
  /** Without replicas that are behind, unless no other database is eligible or `includesBehind` is set. */
  ranked: (request: EligibilityRequest, includesBehind: boolean) => Database[]
  recordOutcome: (database: string, outcome: Pick<StatementOutcome, 'reason' | 'load'>) => void
}

/** Dependencies of the candidates. */
export type DatabaseCandidatesOptions = {
  self: GatewayLocation
  fleetState: FleetState
  regionOf: (dataCentre: string) => string
  nowMs: () => number
}

/** Estimated network latency to a database in milliseconds, by its location. */
const networkCostMs = { sameDataCentre: 0, sameRegion: 4, otherRegion: 60 } as const
/** Estimated slot time in milliseconds of each statement queued ahead. */
const assumedStatementMs = 25
/** Backoff after a database could not be reached. */
const failureBackoffMs = 400

/** Creates the candidates of one gateway. */
export const createDatabaseCandidates = (
  { self, fleetState, regionOf, nowMs }: DatabaseCandidatesOptions
): DatabaseCandidates => {
  const loads = new Map<string, number>()
  const backoffUntilMs = new Map<string, number>()

  const recordOutcome: DatabaseCandidates['recordOutcome'] = (database, { reason, load }) => {
    loads.set(database, load)
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

  const ranked: DatabaseCandidates['ranked'] = ({ route, regions, needsPrimary, isBehind }, includesBehind) => {
    const primary = primaryOf(route.group)
    const isEligible = (database: Database) => isInRegions(database, regions) && acceptsNewWork(fleetState, database)
    if (needsPrimary) return [primary].flatMap(database => database ?? []).filter(isEligible)
    const eligible = fleetState.databasesOf(route.group)
      .filter(isEligible)
      .sort((one, other) => costOf(one) - costOf(other))
    const upToDate = eligible.filter(({ id }) => id === primary?.id || !isBehind(id))
    if (upToDate.length === 0) return eligible
    return includesBehind ? [...upToDate, ...eligible.filter(database => !upToDate.includes(database))] : upToDate
  }

  return { primaryOf, ranked, recordOutcome }
}
