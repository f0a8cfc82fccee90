/**
 * Statements on their way to the holder of a database's connections, and what became of them.
 */
import type { RelayMessages } from '@egretyoke/protocol'

/** A statement for one database. */
export type StatementRequest = RelayMessages.RunStatement__Output

/** Why a statement was not run, failed, or has no known outcome. */
export type StatementReason =
  | ''
  /** Too much waits at the database. */
  | 'busy'
  /** It waited as long as it may. */
  | 'queuedTooLong'
  /** The data lacks a position that it must have. */
  | 'lagging'
  | 'readOnly'
  /** The database is not, or no longer, what the sender took it for. */
  | 'moved'
  /** No connection to the database came about. */
  | 'unreachable'
  /** The transaction is not open any more; nothing of it is kept. */
  | 'transactionGone'
  /** The database reports a failure. */
  | 'failed'
  /** The database did not answer in time. */
  | 'silent'
  /** The gateway that holds the connections did not answer. */
  | 'holderSilent'
  /** It may have run, but in a transaction that is not committed; it must not run in a second one. */
  | 'answerLost'

/** What became of a statement. */
export type StatementOutcome = Omit<RelayMessages.StatementReply__Output, 'reason'> & { reason: StatementReason }

const nothing: StatementOutcome = {
  status: 'NOT_RUN', reason: '', rows: [], signature: '', position: '', transactionOpen: false, load: 0, queuedMs: 0
}

/** The statement has not run and never will. */
export const notRun = (reason: StatementReason): StatementOutcome => ({ ...nothing, reason })

/** The statement ran and failed. */
export const failed = (reason: StatementReason): StatementOutcome => ({ ...nothing, status: 'FAILED', reason })

/** Nobody here knows whether the statement ran. */
export const unknownOutcome = (reason: StatementReason): StatementOutcome => ({ ...nothing, status: 'UNKNOWN', reason })

/** True when the statement leaves no trace in the data. */
export const isRead = ({ verb, access }: Pick<StatementRequest, 'verb' | 'access'>): boolean =>
  verb !== 'COMMIT' && access === 'READ'
