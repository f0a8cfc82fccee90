/**
 * Runs one statement on one connection: sets up the session state that the statement requires, opens the transaction if
 * this is its first statement, and derives the outcome from the database's replies.
 */
import { recordDone, setupFor } from './connection-pool.js'
import type { PooledConnection, RequiredState } from './connection-pool.js'
import type { DatabaseCommand, DatabaseReply, TransactionState } from './database-connection.js'
import { failed, isRead, notRun, opensTransaction, unknownOutcome } from '../sessions/statement.js'
import type { StatementOutcome, StatementReason, StatementRequest } from '../sessions/statement.js'

const preparedOf = ({ verb, shape, shapeAccess }: StatementRequest): RequiredState['prepared'] =>
  verb === 'EXECUTE' ? { access: shapeAccess === 'WRITE' ? 'write' : 'read', shape } : undefined

/** The statement's command. `preparedName` is the name on this connection of the statement that EXECUTE runs. */
const commandOf = (
  request: StatementRequest, preparedName: string | undefined, positionAtLeast: string
): DatabaseCommand => {
  const { requestId, verb, text } = request
  if (verb === 'COMMIT') return { kind: 'commit', requestId }
  if (preparedName === undefined) return { kind: 'text', requestId, text, positionAtLeast }
  return { kind: 'execute', requestId, name: preparedName, operands: text, positionAtLeast }
}

const reasonOfDecline: Record<NonNullable<DatabaseReply['declineReason']>, StatementReason> = {
  busy: 'busy',
  lagging: 'lagging',
  readOnly: 'readOnly',
  unknownStatement: 'moved',
  malformed: 'failed',
  notSent: 'failed',
  aborted: 'transactionGone'
}

const outcomeOf = (request: StatementRequest, reply: DatabaseReply): StatementOutcome => {
  if (reply.outcome === 'done') {
    const { rows, signature, position, transaction } = reply
    // What is written in a transaction that is still open is not committed.
    const mustHaveEnded = endsOutsideTransaction(request)
    if (mustHaveEnded && transaction !== 'none' && !isRead(request)) return unknownOutcome('answerLost')
    const transactionOpen = !mustHaveEnded && transaction === 'open'
    return { ...notRun(''), status: 'DONE', rows, signature, position, transactionOpen }
  }
  if (reply.outcome === 'declined') return notRun(reasonOfDecline[reply.declineReason ?? 'malformed'])
  if (reply.outcome === 'failed') return failed('failed')
  if (request.transaction !== 'SINGLE' && request.verb !== 'COMMIT') return notRun('answerLost')
  return isRead(request) ? notRun('silent') : unknownOutcome('silent')
}

const setupOutcome = (reply: DatabaseReply): StatementOutcome =>
  notRun(reply.outcome === 'declined' ? reasonOfDecline[reply.declineReason ?? 'malformed'] : 'unreachable')

/** What has become of a statement, and of the connection that it was sent on. */
export type StatementRun = {
  outcome: StatementOutcome
  /**
   * False if no later statement may use the connection: its session state or transaction is uncertain, its prepared
   * statements exceed their bounds, or its primary has changed.
   */
  isReusable: boolean
  /** Transaction that is open on the connection. Meaningless if the connection is not reusable. */
  transaction: TransactionState
}

/** The transaction on the connection before a statement. */
export const transactionBefore = ({ transaction }: StatementRequest): TransactionState =>
  transaction === 'CONTINUE' ? 'open' : 'none'

/** The transaction after the replies to commands that began in the state `before`. */
const transactionAfter = (replies: readonly DatabaseReply[], before: TransactionState): TransactionState =>
  replies.findLast(({ isUnsent }) => isUnsent !== true)?.transaction ?? before

/** True if no transaction may be open on the connection once the statement has run. */
const endsOutsideTransaction = ({ transaction, verb }: StatementRequest) =>
  transaction === 'SINGLE' || verb === 'COMMIT'

/** Only tracked names are sent: a database that has dropped one may have dropped the session's values with it. */
const contradictsTracking = ({ declineReason }: DatabaseReply) => declineReason === 'unknownStatement'

/** A command that failed has run, and a lost reply tells nothing: the effect of both on the state is unknown. */
const hasKnownEffect = (reply: DatabaseReply) =>
  (reply.outcome === 'done' || reply.outcome === 'declined') && !contradictsTracking(reply)

/** True if a name could not be dropped: the statements of the connection would exceed their bounds. */
const exceedsBounds = ({ kind }: DatabaseCommand, { outcome, isUnsent }: DatabaseReply) =>
  kind === 'deallocate' && outcome !== 'done' && isUnsent !== true

/** True if a statement was prepared again although its earlier name was not reset: that name is no longer recorded. */
const hasUnrecordedName = (setup: readonly DatabaseCommand[], replies: readonly DatabaseReply[]) => {
  const isDone = (kind: DatabaseCommand['kind']) =>
    setup.some((command, index) => command.kind === kind && replies[index]?.outcome === 'done')
  return setup.some(({ kind }) => kind === 'reset') && !isDone('reset') && isDone('prepare')
}

/** Called with each reply of the database. */
export type ReplyListener = (command: DatabaseCommand, reply: DatabaseReply) => void

/**
 * Runs the setup commands, and tracks all that have succeeded: they are pipelined, so that those behind a declined one
 * have run, too. Returns what becomes of the statement if a command did not succeed, or if the transaction that the
 * database reports is not the one that the commands leave open.
 */
const runSetup = async (
  pooled: PooledConnection, request: StatementRequest, setup: readonly DatabaseCommand[], timeoutMs: number,
  onReply: ReplyListener
): Promise<StatementRun | undefined> => {
  if (setup.length === 0) return undefined
  const before = transactionBefore(request)
  const replies = await pooled.connection.run(setup, timeoutMs)
  for (const [index, reply] of replies.entries()) {
    const command = setup[index]!
    onReply(command, reply)
    if (reply.outcome === 'done') recordDone(pooled, command)
  }
  const firstNotDone = replies.find(({ outcome, declineReason }) => outcome !== 'done' && declineReason !== 'notSent')
  if (firstNotDone !== undefined) {
    const transaction = transactionAfter(replies, before)
    const isReusable = !hasUnrecordedName(setup, replies) &&
      replies.every((reply, index) => hasKnownEffect(reply) && !exceedsBounds(setup[index]!, reply))
    return { outcome: setupOutcome(firstNotDone), isReusable, transaction }
  }
  const isExpected = setup.every(({ kind }, index) =>
    replies[index]?.transaction === (kind === 'begin' ? 'open' : before))
  if (isExpected) return undefined
  const reason = request.transaction === 'CONTINUE' ? 'transactionGone' : 'unreachable'
  return { outcome: notRun(reason), isReusable: false, transaction: 'none' }
}

/**
 * Runs the statement. `positionAtLeast` is attached to the first command that reads. The statement is sent only after
 * all setup commands have succeeded: pipelined behind a declined one, it would run in the wrong session state or
 * outside its transaction. `onSend` is called just before; later replies are those of the statement itself.
 */
export const runOnConnection = async (
  pooled: PooledConnection, request: StatementRequest, positionAtLeast: string, timeoutMs: number,
  onReply: ReplyListener, onSend: () => void = () => {}, nowMs: () => number = () => performance.now()
): Promise<StatementRun> => {
  const readOnly = request.transaction === 'OPEN_READ_ONLY'
  const required = { values: request.values, prepared: preparedOf(request) }
  const { commands: setup, preparedName } = setupFor(pooled, required)
  if (opensTransaction(request)) setup.push({ kind: 'begin', readOnly, positionAtLeast })
  const startedAtMs = nowMs()

  const notSetUp = await runSetup(pooled, request, setup, timeoutMs, onReply)
  if (notSetUp !== undefined) return notSetUp

  const remainingMs = timeoutMs - (nowMs() - startedAtMs)
  if (remainingMs <= 0) {
    // The setup, if any, has succeeded, so that the connection's state is known.
    const transaction = opensTransaction(request) ? 'open' : transactionBefore(request)
    return { outcome: notRun('silent'), isReusable: true, transaction }
  }
  const requiresPosition = request.transaction === 'SINGLE' && request.access === 'READ'
  const command = commandOf(request, preparedName, requiresPosition ? positionAtLeast : '')
  onSend()
  const [reply] = await pooled.connection.run([command], remainingMs)
  const prepared = preparedName ?? ''
  if (reply === undefined) {
    return { outcome: { ...unknownOutcome('silent'), prepared }, isReusable: false, transaction: 'none' }
  }
  onReply(command, reply)
  // A statement that fails leaves the session state as it was; only a setup command changes it.
  const transaction = transactionAfter([reply], request.transaction === 'SINGLE' ? 'none' : 'open')
  const hasWrongTransaction = reply.outcome === 'done' && endsOutsideTransaction(request) && transaction !== 'none'
  const isReusable = reply.outcome !== 'lost' && !contradictsTracking(reply) && !hasWrongTransaction
  return { outcome: { ...outcomeOf(request, reply), prepared }, isReusable, transaction }
}
