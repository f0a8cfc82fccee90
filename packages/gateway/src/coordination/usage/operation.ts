/**
 * What counts as an operation in usage reports: a single statement, or the first statement of a transaction, that a
 * database began to run. A reply that says done or failed, and a lost one, count; a declined statement does not. Nor do
 * statements of callers without a key, who belong to no workspace.
 */
import type { DatabaseReply } from '../connections/database-connection.js'
import { nameAtDatabases, openWorkspace } from '../sessions/session-identity.js'
import type { StatementOutcome, StatementReason, StatementRequest } from '../sessions/statement.js'

/** Name of the workspace that the statement counts for once a database begins to run it; undefined for none. */
export const countedWorkspace = (
  { transaction, verb, workspace }: Pick<StatementRequest, 'transaction' | 'verb' | 'workspace'>
): string | undefined => {
  if (transaction === 'CONTINUE' || verb === 'COMMIT') return undefined
  return workspace === openWorkspace ? undefined : nameAtDatabases(workspace)
}

/** True if the database has begun to run the statement that it replied to in this way. */
export const hasBegun = ({ outcome }: Pick<DatabaseReply, 'outcome'>): boolean => outcome !== 'declined'

/** Reasons with which a holder reports a statement as not run that was sent to the database and may have begun. */
const reasonsAfterSending: ReadonlySet<StatementReason> = new Set(['silent', 'answerLost', 'tooLarge'])

/** True if the statement has begun to run at the database of a holder that replied with this outcome. */
export const hasBegunAtHolder = ({ status, reason }: Pick<StatementOutcome, 'status' | 'reason'>): boolean =>
  status !== 'NOT_RUN' || reasonsAfterSending.has(reason)
