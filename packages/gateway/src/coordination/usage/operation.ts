/**
 * What counts as an operation in usage reports: a single statement, or the first statement of a transaction, that a
 * database began to run. A reply that says done or failed, and a lost one, count; a declined statement does not.
 */
import type { DatabaseReply } from '../connections/database-connection.js'
import type { StatementOutcome, StatementReason, StatementRequest } from '../sessions/statement.js'

/** True if the request is an operation if a database begins to run it. */
export const isOperation = ({ transaction, verb }: Pick<StatementRequest, 'transaction' | 'verb'>): boolean =>
  transaction !== 'CONTINUE' && verb !== 'COMMIT'

/** True if the database has begun to run the statement that it replied to in this way. */
export const hasBegun = ({ outcome }: Pick<DatabaseReply, 'outcome'>): boolean => outcome !== 'declined'

/** Reasons with which a holder reports a statement as not run that was sent to the database and may have begun. */
const reasonsAfterSending: ReadonlySet<StatementReason> = new Set(['silent', 'answerLost', 'tooLarge'])

/** True if the statement has begun to run at the database of a holder that replied with this outcome. */
export const hasBegunAtHolder = ({ status, reason }: Pick<StatementOutcome, 'status' | 'reason'>): boolean =>
  status !== 'NOT_RUN' || reasonsAfterSending.has(reason)
