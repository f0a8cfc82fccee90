/**
 * Types of a database's holder as a gateway creates and uses it.
 */
import type { Logger } from '@egretyoke/common'
import type { Database } from '../../state/configuration.js'
import type { AgeClock } from '../../state/contact.js'
import type { GroupPositions } from '../primaries/group-positions.js'
import type { GroupRecords } from '../primaries/group-records.js'
import type { StatementOutcome, StatementRequest } from '../sessions/statement.js'
import type { ConnectionCounters } from './connection-log.js'
import type { ConnectDatabase } from './database-connection.js'
import type { UsageCounter } from '../usage/usage-counter.js'

/** State of a database as its holder reports it with each outcome. */
export type DatabaseLoad = NonNullable<StatementOutcome['databaseLoad']>

/** Runs statements at one database. */
export type DatabaseHolder = {
  run: (request: StatementRequest) => Promise<StatementOutcome>
  /** Ends a transaction that its session no longer needs. */
  abandon: (transactionId: string) => void
  /** Starts no new work for `forMs`; queued statements stay queued. */
  pause: (forMs: number) => void
  /**
   * Resolves with true once nothing runs and no transaction is open, or with false after `timeoutMs`. Transactions
   * between two statements are waited for no longer than `transactionsMs`, if given.
   */
  waitUntilIdle: (timeoutMs: number, transactionsMs?: number) => Promise<boolean>
  load: () => number
  /** True if the database has replied to a statement recently, and no reply contradicts its group's record. */
  hasRepliedRecently: () => boolean
  openTransactions: () => number
  connections: () => number
  /** False while fewer statements run at once than the database has slots, because it has just come back. */
  isPaceSettled: () => boolean
  /** Drops expired statements, ends idle transactions and dispatches the queue; call often while work is pending. */
  runMaintenance: () => void
  /**
   * Closes idle connections while this gateway is not the database's first holder, and writes how many log lines were
   * left out; call periodically.
   */
  closeUnused: () => void
  close: () => void
}

/** Dependencies of a database holder. */
export type HolderOptions = {
  database: () => Database
  maxConnections: () => number
  /** Connections that lost holders have left at the database, which it may still count. */
  orphanedConnections?: () => number
  transactionIdleMs: () => number
  connect: ConnectDatabase
  /** True while other gateways send the database's statements here first: it ranks first and has store contact. */
  isFirstHolder: () => boolean
  /** False while the database accepts no new work. */
  acceptsNewWork: () => boolean
  /** True if the database's process has just started. */
  hasJustStarted?: () => boolean
  /** Term in which the database is its group's primary; undefined if it is not. */
  primaryTerm?: () => number | undefined
  records: GroupRecords
  positions: GroupPositions
  clock: AgeClock
  nowMs: () => number
  /** From 0 to 1; spreads the delays that refusals name. */
  random?: () => number
  counters: ConnectionCounters
  /** Counts a statement that was refused before it was sent to the database. */
  countNotOffered?: (reason: string) => void
  /** Absent where no usage is reported. */
  usage?: Pick<UsageCounter, 'countHeld'> | undefined
  log: Logger
}
