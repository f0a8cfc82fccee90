/**
 * The databases that may run a statement, best first.
 */
import type { Database, Route } from '../../state/configuration.js'
import type { FleetState } from '../../state/fleet-state.js'
import { maxSharedAgeMs } from '../primaries/group-positions.js'
import { acceptsNewWork } from './database-availability.js'
import { orderByTime } from './database-choice.js'
import { createDatabaseLoads } from './database-load.js'
import type { GatewayLocation } from './holder-choice.js'
import type { StatementOutcome } from '../sessions/statement.js'

/** What decides which databases are eligible for a statement. */
export type EligibilityRequest = {
  route: Pick<Route, 'group'>
  /** Regions that the data may enter; an empty list permits all. */
  regions: readonly string[]
  needsPrimary: boolean
  priority: number
  /** The read must see all commits confirmed longer ago than this; undefined: no bound. */
  maxStalenessMs: number | undefined
  /** True if the replica is known to lag by more than the statement tolerates. */
  isBehind: (database: string) => boolean
  /** True if the database fails more reads than the others of its group; it then comes last. */
  isEjected: (database: string) => boolean
}

/** Databases of this gateway's fleet state, with what their replies have shown. */
export type DatabaseCandidates = {
  /** The group's primary; undefined while it is being changed. */
  primaryOf: (group: string) => Database | undefined
  /**
   * Without replicas that are behind, unless no other database is eligible or `includesBehind` is set. A replica counts
   * as behind if gateways of an earlier version cannot show that its data are new enough.
   */
  ranked: (request: EligibilityRequest, includesBehind: boolean) => Database[]
  recordOutcome: (database: string, outcome: StatementOutcome) => void
  /** Records only the load, as for a later statement of a transaction, whose failure concerns the transaction. */
  recordLoad: (database: string, outcome: StatementOutcome) => void
}

/** Dependencies of the candidates. */
export type DatabaseCandidatesOptions = {
  self: GatewayLocation
  fleetState: FleetState
  regionOf: (dataCentre: string) => string
  nowMs: () => number
  random: () => number
}

/** Estimated network latency to a database in milliseconds, by its location. */
const networkCostMs = { sameDataCentre: 0, sameRegion: 4, otherRegion: 60 } as const
/** Service time of a status request to a primary. */
const statusMs = 2
/** Backoff after a database could not be reached. */
const failureBackoffMs = 400
/** Added to the latency during a backoff, so that the database comes last. */
const backoffPenaltyMs = 100_000

/** Outcomes of a statement that the database or its queue has decided on, whose number of statements is thus known. */
const isFromDatabase = ({ status, reason }: StatementOutcome) =>
  status === 'DONE' || status === 'FAILED' || reason === 'busy' || reason === 'queuedTooLong'

/** Creates the candidates of one gateway. */
export const createDatabaseCandidates = (
  { self, fleetState, regionOf, nowMs, random }: DatabaseCandidatesOptions
): DatabaseCandidates => {
  const loads = createDatabaseLoads()
  const backoffUntilMs = new Map<string, number>()

  const recordLoad: DatabaseCandidates['recordLoad'] = (database, outcome) => {
    if (outcome.databaseLoad !== null || isFromDatabase(outcome)) loads.record(database, outcome, nowMs())
  }

  const recordOutcome: DatabaseCandidates['recordOutcome'] = (database, outcome) => {
    const { reason } = outcome
    recordLoad(database, outcome)
    if (reason === 'unreachable' || reason === 'silent') backoffUntilMs.set(database, nowMs() + failureBackoffMs)
  }

  const isInOwnRegion = ({ dataCentre }: Database) => regionOf(dataCentre) === self.region

  const latencyMsTo = (database: Database) => {
    if (database.dataCentre === self.dataCentre) return networkCostMs.sameDataCentre
    return isInOwnRegion(database) ? networkCostMs.sameRegion : networkCostMs.otherRegion
  }

  const networkMsTo = (database: Database) =>
    latencyMsTo(database) + ((backoffUntilMs.get(database.id) ?? 0) > nowMs() ? backoffPenaltyMs : 0)

  /** Time for which a read at a replica waits for a position that is new enough: it has to come from the primary. */
  const positionWaitMs = (primary: Database | undefined, maxStalenessMs = Infinity) => {
    if (primary === undefined) return 0
    const requestMs = latencyMsTo(primary) + statusMs
    // With a longer bound, a position that is known already serves most reads.
    return maxStalenessMs < requestMs ? requestMs : 0
  }

  /**
   * True if a read at a replica could wait in vain for a new position. A gateway of an earlier version passes on those
   * that it knows, up to this age, instead of reading one.
   */
  const canWaitInVain = (maxStalenessMs = Infinity) => maxStalenessMs < maxSharedAgeMs &&
    [...fleetState.members().values()].some(({ readsNewPositions }) => readsNewPositions !== true)

  const withCost = (database: Database, priority: number, waitMs: number) => ({
    database,
    isInOwnRegion: isInOwnRegion(database),
    networkMs: networkMsTo(database) + waitMs,
    expectedMs: loads.expectedMs(database, priority, nowMs())
  })

  const isInRegions = (database: Database, regions: readonly string[]) =>
    regions.length === 0 || regions.includes(regionOf(database.dataCentre))

  const primaryOf = (group: string): Database | undefined => {
    const record = fleetState.group(group)?.record
    return record?.phase === 'serving' ? fleetState.databases().get(record.primary) : undefined
  }

  const ranked: DatabaseCandidates['ranked'] = (request, includesBehind) => {
    const { route, regions, needsPrimary, priority, maxStalenessMs, isBehind, isEjected } = request
    const primary = primaryOf(route.group)
    const isEligible = (database: Database) => isInRegions(database, regions) && acceptsNewWork(fleetState, database)
    if (needsPrimary) return [primary].flatMap(database => database ?? []).filter(isEligible)
    const replicaWaitMs = positionWaitMs(primary, maxStalenessMs)
    const byTime = (databases: readonly Database[]) => orderByTime(databases.map(database =>
      withCost(database, priority, database.id === primary?.id ? 0 : replicaWaitMs)), random)
    const inOrder = (databases: readonly Database[]) => [
      ...byTime(databases.filter(({ id }) => !isEjected(id))), ...byTime(databases.filter(({ id }) => isEjected(id)))
    ]
    const eligible = fleetState.databasesOf(route.group).filter(isEligible)
    const avoidsReplicas = canWaitInVain(maxStalenessMs)
    const upToDate = eligible.filter(({ id }) => id === primary?.id || !(avoidsReplicas || isBehind(id)))
    if (upToDate.length === 0) return inOrder(eligible)
    if (!includesBehind) return inOrder(upToDate)
    return [...inOrder(upToDate), ...inOrder(eligible.filter(database => !upToDate.includes(database)))]
  }

  return { primaryOf, ranked, recordOutcome, recordLoad }
}
