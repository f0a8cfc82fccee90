/**
 * Statement requests to the holder of a database's connections, and their outcomes.
 */
import type { RelayMessages } from '@egretyoke/protocol'

type RunStatement = RelayMessages.RunStatement__Output

/** A statement to be run at one database. */
export type StatementRequest = Omit<RunStatement, 'earlierMaxStalenessMs' | 'staleness'> & {
  /**
   * The data must include all commits confirmed longer ago than this. 0: all that were confirmed before the statement
   * arrives. Undefined: no bound.
   */
  maxStalenessMs: number | undefined
}

/** Range of the bound in messages of earlier versions, which take 0 for no bound where replicas may run a statement. */
const earlierBoundsMs = { min: 1, max: 2 ** 32 - 1 } as const

const earlierMaxStalenessMs = ({ maxStalenessMs, needsPrimary }: StatementRequest): number => {
  if (maxStalenessMs === undefined || (needsPrimary && maxStalenessMs === 0)) return 0
  const { min, max } = earlierBoundsMs
  return Math.max(min, Math.min(max, Math.floor(maxStalenessMs)))
}

/** The message that has another gateway run the statement. */
export const runMessageOf = (request: StatementRequest): RelayMessages.RunStatement => {
  const { maxStalenessMs, ...rest } = request
  const staleness = maxStalenessMs === undefined ? {} : { maxMs: maxStalenessMs }
  return { ...rest, staleness, earlierMaxStalenessMs: earlierMaxStalenessMs(request) }
}

/** A bound that is no bound could hide commits from a read; the strictest one hides none. */
const usableBoundMs = (maxMs: number): number => maxMs >= 0 ? maxMs : 0

/** The statement in the message of another gateway. One of an earlier version may have sent 0 for any bound below 1. */
export const requestIn = (message: RunStatement): StatementRequest => {
  const { staleness, earlierMaxStalenessMs: earlierMs, ...rest } = message
  const maxMs = staleness ? staleness.maxMs : earlierMs
  return { ...rest, maxStalenessMs: maxMs === undefined ? undefined : usableBoundMs(maxMs) }
}

/** Why a statement was not run, failed, or has an unknown outcome. */
export type StatementReason =
  | ''
  /** The database's queue is full, or the database accepts no more connections. */
  | 'busy'
  /** The statement reached its maximum queue time. */
  | 'queuedTooLong'
  /** The replica has not reached the required log position, or the required position is unknown. */
  | 'lagging'
  | 'readOnly'
  /**
   * The holder does not use the database for the sender's purpose and gives no more precise reason: it is of an earlier
   * version, or another gateway changed the group record at the same time.
   */
  | 'moved'
  /** The holder has no contact with the store or no lease, without which it may not use a primary. */
  | 'noContact'
  /** The holder knows another primary, or the primary is being changed. */
  | 'notPrimary'
  /** The database is closed to new work, or the holder has closed its connections. */
  | 'closed'
  /** No connection to the database could be established, or it could not be set up for the session. */
  | 'unreachable'
  /** The transaction is no longer open and was rolled back. */
  | 'transactionGone'
  /** The database reported an error. */
  | 'failed'
  /** The database did not reply in time. */
  | 'silent'
  /** The gateway that holds the connections did not reply. */
  | 'holderSilent'
  /**
   * The reply was lost, reports an open transaction where none can be, or came after a change of the primary. The
   * statement may have run in an uncommitted transaction and must not run in a second one.
   */
  | 'answerLost'
  /** The statement with its session state, or its result, is too large for a message between gateways. */
  | 'tooLarge'

/** Outcome of a statement. */
export type StatementOutcome =
  Omit<RelayMessages.StatementReply__Output, 'reason' | 'movedReason'> & { reason: StatementReason }

/** Why a holder does not use a database, as the sender may have expected. */
export type MovedReason = 'moved' | 'noContact' | 'notPrimary' | 'closed'

const movedReasons: ReadonlySet<string> = new Set<MovedReason>(['moved', 'noContact', 'notPrimary', 'closed'])

/** True if the holder does not use the database for the sender's purpose, so that another one might. */
export const isMovedReason = (reason: string): reason is MovedReason => movedReasons.has(reason)

/** The reply to another gateway. One of an earlier version retries at another holder only after `moved`. */
export const replyOf = (outcome: StatementOutcome): Omit<RelayMessages.StatementReply__Output, 'databaseLoad'> &
  Pick<StatementOutcome, 'databaseLoad'> => {
  const { reason } = outcome
  return isMovedReason(reason) ? { ...outcome, reason: 'moved', movedReason: reason } : { ...outcome, movedReason: '' }
}

/** The outcome in the reply of another gateway. */
export const outcomeIn = (reply: RelayMessages.StatementReply__Output): StatementOutcome => {
  const { movedReason, ...rest } = reply
  const reason = rest.reason === 'moved' && isMovedReason(movedReason) ? movedReason : rest.reason as StatementReason
  return { ...rest, reason }
}

const emptyOutcome: StatementOutcome = {
  status: 'NOT_RUN',
  reason: '',
  rows: [],
  signature: '',
  position: '',
  transactionOpen: false,
  load: 0,
  queuedMs: 0,
  connection: 0,
  prepared: '',
  databaseLoad: null
}

/** Outcome of a statement that did not run and never will. */
export const notRun = (reason: StatementReason): StatementOutcome => ({ ...emptyOutcome, reason })

/** Outcome of a statement that ran and failed. */
export const failed = (reason: StatementReason): StatementOutcome => ({ ...emptyOutcome, status: 'FAILED', reason })

/** Outcome of a statement that may or may not have run. */
export const unknownOutcome = (reason: StatementReason): StatementOutcome =>
  ({ ...emptyOutcome, status: 'UNKNOWN', reason })

/** True if the statement does not modify data. */
export const isRead = ({ verb, access }: Pick<StatementRequest, 'verb' | 'access'>): boolean =>
  verb !== 'COMMIT' && access === 'READ'

/** True if the statement is the first one of a transaction. */
export const opensTransaction = ({ transaction }: Pick<StatementRequest, 'transaction'>): boolean =>
  transaction === 'OPEN_READ_WRITE' || transaction === 'OPEN_READ_ONLY'

/**
 * Outcome of a statement that ran at another gateway and whose result is too large to be returned. A write may be
 * committed; in a transaction it is not, because the session rolls back.
 */
export const outcomeWithoutRows = (
  request: Pick<StatementRequest, 'verb' | 'access' | 'transaction'>
): StatementOutcome => {
  if (isRead(request)) return failed('tooLarge')
  const mayBeCommitted = request.transaction === 'SINGLE' || request.verb === 'COMMIT'
  return mayBeCommitted ? unknownOutcome('tooLarge') : notRun('tooLarge')
}
