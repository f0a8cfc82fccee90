/**
 * Outcome of a statement during which its group's primary changed.
 */
import type { StatementRun } from './run-on-connection.js'
import { notRun, unknownOutcome } from '../sessions/statement.js'
import type { StatementRequest } from '../sessions/statement.js'

/**
 * What is reported of a statement that ran at a database which was not the current primary all the time. Its connection
 * is not used again, except after a read outside of a transaction.
 */
export const afterPrimaryChange = (
  request: StatementRequest, { outcome: { prepared }, isReusable, transaction }: StatementRun
): StatementRun => {
  const mayHaveCommitted = request.verb === 'COMMIT' ||
    (request.access === 'WRITE' && request.transaction === 'SINGLE')
  if (mayHaveCommitted) {
    return { outcome: { ...unknownOutcome('moved'), prepared }, isReusable: false, transaction }
  }
  if (request.transaction === 'SINGLE') {
    return { outcome: { ...notRun('moved'), prepared }, isReusable, transaction }
  }
  // A statement that has run in a transaction must not run in a second one.
  return { outcome: { ...notRun('answerLost'), prepared }, isReusable: false, transaction }
}
