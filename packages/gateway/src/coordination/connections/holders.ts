/**
 * The holders of all databases that this gateway has connections to, created on first use.
 */
import type { Database } from '../../state/configuration.js'
import type { FleetState } from '../../state/fleet-state.js'
import { createDatabaseHolder } from './database-holder.js'
import type { DatabaseHolder, HolderOptions } from './database-holder-types.js'
import { acceptsNewWork } from '../routing/database-availability.js'
import { notRun } from '../sessions/statement.js'
import type { StatementOutcome, StatementRequest } from '../sessions/statement.js'

/** All holders of this gateway. */
export type Holders = {
  run: (request: StatementRequest) => Promise<StatementOutcome>
  abandon: (database: string, transactionId: string) => void
  get: (database: string) => DatabaseHolder | undefined
  all: () => DatabaseHolder[]
  /** True if the database has replied to a statement of this gateway recently. */
  hasRepliedRecently: (database: string) => boolean
  /** Closes the holders of removed or restarted databases, and connections that are no longer needed here. */
  closeObsolete: () => void
  close: () => void
}

/** Options of a holder that depend on its database. */
type PerDatabaseOptions = 'database' | 'maxConnections' | 'transactionIdleMs' | 'acceptsNewWork' | 'isFirstHolder' |
  'hasJustStarted' | 'primaryTerm' | 'orphanedConnections'

/** Dependencies of the holders. */
export type HoldersOptions = Omit<HolderOptions, PerDatabaseOptions> & {
  fleetState: FleetState
  isFirstHolder: (database: Database) => boolean
  /** False once this gateway, which stops, begins no new statements. */
  startsNewWork?: () => boolean
  /** Connections that lost holders have left at the database, which it may still count. */
  orphanedConnections?: (database: string) => number
}

/** Interval at which queues and open transactions are checked. */
const maintenanceIntervalMs = 50
/** Defaults if the configuration has no value. */
const defaultTransactionIdleMs = 3000
export const defaultMaxConnections = 10
/** A database is new for this long after its start; the wall clocks of VMs may differ by seconds. */
const newDatabaseMs = 5000

/** Creates an empty table of holders. */
export const createHolders = (options: HoldersOptions): Holders => {
  const { fleetState, startsNewWork = () => true } = options
  const holders = new Map<string, { holder: DatabaseHolder, database: Database }>()
  /** Databases whose holder was closed because their process has been replaced. */
  const restarted = new Set<string>()

  const holderOf = (id: string): DatabaseHolder | undefined => {
    const existing = holders.get(id)
    if (existing !== undefined) return existing.holder
    const database = fleetState.databases().get(id)
    if (database === undefined) return undefined
    const current = () => fleetState.databases().get(id) ?? database
    const primaryTerm = () => {
      const record = fleetState.group(database.group)?.record
      return record?.phase === 'serving' && record.primary === id ? record.term : undefined
    }
    const holder = createDatabaseHolder({
      ...options,
      database: current,
      maxConnections: () =>
        fleetState.configuration()?.groups.get(database.group)?.maxConnections ?? defaultMaxConnections,
      orphanedConnections: () => options.orphanedConnections?.(id) ?? 0,
      transactionIdleMs: () => fleetState.configuration()?.transactionIdleMs ?? defaultTransactionIdleMs,
      isFirstHolder: () => options.isFirstHolder(current()),
      hasJustStarted: () => restarted.delete(id) || Math.abs(Date.now() - database.startedAtMs) < newDatabaseMs,
      primaryTerm,
      acceptsNewWork: () =>
        startsNewWork() && fleetState.databases().has(id) && acceptsNewWork(fleetState, current())
    })
    holders.set(id, { holder, database })
    return holder
  }

  let maintenanceTimer: NodeJS.Timeout | undefined
  let runningCount = 0

  const stopMaintenance = () => {
    clearInterval(maintenanceTimer)
    maintenanceTimer = undefined
  }

  const hasWork = () => runningCount > 0 || [...holders.values()].some(({ holder }) => holder.openTransactions() > 0)

  /** The timer runs only while statements run or transactions are open; most gateways of a large fleet have neither. */
  const startMaintenance = () => {
    maintenanceTimer ??= setInterval(() => {
      for (const { holder } of holders.values()) holder.runMaintenance()
      if (!hasWork()) stopMaintenance()
    }, maintenanceIntervalMs)
  }

  const run = async (request: StatementRequest): Promise<StatementOutcome> => {
    runningCount++
    startMaintenance()
    const outcome = await holderOf(request.database)?.run(request)
    runningCount--
    return outcome ?? notRun('closed')
  }

  const isSameInstance = (database: Database) => {
    const latest = fleetState.databases().get(database.id)
    return latest !== undefined && latest.address === database.address && latest.startedAtMs === database.startedAtMs
  }

  const closeHolder = (id: string) => {
    if (fleetState.databases().has(id)) restarted.add(id)
    else restarted.delete(id)
    holders.get(id)?.holder.close()
    holders.delete(id)
  }

  return {
    run,
    abandon: (database, transactionId) => holders.get(database)?.holder.abandon(transactionId),
    get: id => holders.get(id)?.holder,
    all: () => [...holders.values()].map(({ holder }) => holder),
    hasRepliedRecently: id => holders.get(id)?.holder.hasRepliedRecently() ?? false,
    closeObsolete: () => {
      for (const [id, { database, holder }] of holders) {
        const isRemoved = !fleetState.databases().has(id)
        // A removed database may still finish its statements and transactions.
        if (
          isRemoved ? holder.load() === 0 && holder.openTransactions() === 0 : !isSameInstance(database)
        ) closeHolder(id)
        else holder.closeUnused()
      }
    },
    close: () => {
      stopMaintenance()
      for (const id of [...holders.keys()]) closeHolder(id)
    }
  }
}
