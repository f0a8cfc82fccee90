/**
 * The holders of all databases that this gateway has connections to, created on first use.
 */
import type { Database } from '../state/configuration.js'
import type { FleetView } from '../state/fleet-view.js'
import { createDatabaseHolder } from './database-holder.js'
import type { DatabaseHolder, HolderOptions } from './database-holder.js'
import { takesWork } from './database-duty.js'
import { notRun } from './statement.js'
import type { StatementOutcome, StatementRequest } from './statement.js'

/** All holders of this gateway. */
export type Holders = {
  run: (request: StatementRequest) => Promise<StatementOutcome>
  abandon: (database: string, session: string) => void
  get: (database: string) => DatabaseHolder | undefined
  all: () => DatabaseHolder[]
  /** True if the database has replied to a statement of this gateway recently. */
  hasAnsweredLately: (database: string) => boolean
  /** Closes the holders of removed or restarted databases, and connections that are no longer needed here. */
  retainKnown: () => void
  close: () => void
}

/** Options of a holder that depend on its database. */
type OfOneDatabase = 'database' | 'maxConnections' | 'transactionIdleMs' | 'takesWork' | 'isFirstHolder'

/** Dependencies of the holders. */
export type HoldersOptions = Omit<HolderOptions, OfOneDatabase> & {
  view: FleetView
  isFirstHolder: (database: Database) => boolean
}

/** Interval at which queues and open transactions are checked. */
const upkeepIntervalMs = 50
/** Defaults if the configuration has no value. */
const defaultTransactionIdleMs = 3000
const defaultMaxConnections = 10

/** Creates an empty table of holders. */
export const createHolders = (options: HoldersOptions): Holders => {
  const { view } = options
  const holders = new Map<string, { holder: DatabaseHolder, database: Database }>()

  const holderOf = (id: string): DatabaseHolder | undefined => {
    const known = holders.get(id)
    if (known !== undefined) return known.holder
    const database = view.databases().get(id)
    if (database === undefined) return undefined
    const current = () => view.databases().get(id) ?? database
    const holder = createDatabaseHolder({
      ...options,
      database: current,
      maxConnections: () => view.configuration()?.groups.get(database.group)?.maxConnections ?? defaultMaxConnections,
      transactionIdleMs: () => view.configuration()?.transactionIdleMs ?? defaultTransactionIdleMs,
      isFirstHolder: () => options.isFirstHolder(current()),
      takesWork: () => view.databases().has(id) && takesWork(view, current())
    })
    holders.set(id, { holder, database })
    return holder
  }

  let upkeep: NodeJS.Timeout | undefined
  let running = 0

  const stopUpkeep = () => {
    clearInterval(upkeep)
    upkeep = undefined
  }

  const hasWork = () => running > 0 || [...holders.values()].some(({ holder }) => holder.openTransactions() > 0)

  /** The timer runs only while statements run or transactions are open: most gateways of a large fleet hold none. */
  const startUpkeep = () => {
    upkeep ??= setInterval(() => {
      for (const { holder } of holders.values()) holder.upkeep()
      if (!hasWork()) stopUpkeep()
    }, upkeepIntervalMs)
  }

  const run = async (request: StatementRequest): Promise<StatementOutcome> => {
    running++
    startUpkeep()
    const outcome = await holderOf(request.database)?.run(request)
    running--
    return outcome ?? notRun('moved')
  }

  const isSame = (database: Database) => {
    const now = view.databases().get(database.id)
    return now !== undefined && now.address === database.address && now.bornMs === database.bornMs
  }

  const end = (id: string) => {
    holders.get(id)?.holder.close()
    holders.delete(id)
  }

  return {
    run,
    abandon: (database, session) => holders.get(database)?.holder.abandon(session),
    get: id => holders.get(id)?.holder,
    all: () => [...holders.values()].map(({ holder }) => holder),
    hasAnsweredLately: id => holders.get(id)?.holder.hasAnsweredLately() ?? false,
    retainKnown: () => {
      for (const [id, { database, holder }] of holders) {
        const isGone = !view.databases().has(id)
        // A removed database may still finish its statements and transactions.
        if (isGone ? holder.load() === 0 && holder.openTransactions() === 0 : !isSame(database)) end(id)
        else holder.closeUnused()
      }
    },
    close: () => {
      stopUpkeep()
      for (const id of [...holders.keys()]) end(id)
    }
  }
}
