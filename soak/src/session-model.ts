/**
 * Model of one caller's session: from the caller's statements and the replies to them it derives what the database may
 * have run. It reads statements by the protocol's published rules and shares no code with the product.
 */
import type { StatementReply } from './caller-connection.js'
import type { PlainDatabase, RecordedStatement } from './plain-database.js'

/** A statement as the rules read it; `other` is everything that they do not define. */
type Statement =
  | { kind: 'begin' | 'commit' | 'rollback' | 'data' | 'other' }
  | { kind: 'set', name: string, value: string }
  | { kind: 'prepare', name: string, shape: string }
  | { kind: 'execute', name: string, operands: string }
  | { kind: 'deallocate', name: string }

const readStatement = (text: string): Statement => {
  if (text === 'BEGIN' || text === 'BEGIN READ') return { kind: 'begin' }
  if (text === 'COMMIT') return { kind: 'commit' }
  if (text === 'ROLLBACK') return { kind: 'rollback' }
  if (/^READ [^ ]/.test(text) || /^WRITE [^ ]+ [^]/.test(text)) return { kind: 'data' }
  const [, setName, value = ''] = /^SET ([^ ]+)(?: ([^]*))?$/.exec(text) ?? []
  if (setName !== undefined) return { kind: 'set', name: setName, value }
  const [, preparedName, shape] = /^PREPARE ([^ ]+) ((?:READ|WRITE) [^]+)$/.exec(text) ?? []
  if (preparedName !== undefined) return { kind: 'prepare', name: preparedName, shape }
  const [, executedName, operands] = /^EXECUTE ([^ ]+) ([^]+)$/.exec(text) ?? []
  if (executedName !== undefined) return { kind: 'execute', name: executedName, operands }
  const [, deallocatedName] = /^DEALLOC ([^]+)$/.exec(text) ?? []
  return deallocatedName === undefined ? { kind: 'other' } : { kind: 'deallocate', name: deallocatedName }
}

/** Codes after which the statement may have run. */
const codesWithoutPromise = new Set(['FAILED', 'INDOUBT', 'TIMEOUT'])
/** Codes that a statement by the rules does not get from a database without faults. */
const refusalsOfValid = new Set(['MALFORMED', 'NOSTMT', 'FAILED'])

/** The parts of a run that follow from the session alone. */
const comparable = ({ requestId, workspace, text, prepared, operands, values }: RecordedStatement) =>
  ({ requestId, workspace, text, prepared, operands, values })

/** The model of one session. */
export type SessionModel = {
  /** Takes a statement and its reply, undefined if there was none; returns what contradicts the model. */
  compare: (requestId: string, text: string, reply: StatementReply | undefined) => string[]
  /** Takes the end of the session, and of all sessions beside it; returns what contradicts the model. */
  end: () => string[]
}

/** Creates the model of a new session. `seenTransactions` has the transactions that are assigned to a caller. */
export const createSessionModel = (
  { runs, committed }: Pick<PlainDatabase, 'runs' | 'committed'>, workspace: string, seenTransactions: Set<number>
): SessionModel => {
  const values = new Map<string, string>()
  const prepared = new Map<string, string>()
  const abandoned = new Set<number>()
  let transaction: { number?: number, connection?: number, isFailed: boolean } | undefined

  const expectedOf = (requestId: string, text: string, statement: Statement): RecordedStatement | undefined => {
    const base = {
      requestId,
      connection: 0,
      workspace,
      text,
      prepared: '',
      operands: '',
      transaction: 0,
      signature: '',
      values: [...values].map(pair => JSON.stringify(pair)).sort()
    }
    if (statement.kind === 'data' || statement.kind === 'commit') return base
    if (statement.kind !== 'execute') return undefined
    const shape = prepared.get(statement.name)
    return shape === undefined ? undefined : { ...base, prepared: shape, operands: statement.operands }
  }

  /** Compares what ran with what should; the name of a prepared statement may differ. */
  const compareRun = (run: RecordedStatement, expected: RecordedStatement | undefined): string[] => {
    if (expected === undefined) return [`ran ${JSON.stringify(run)}, though there was nothing to run`]
    const { connection, transaction: number } = run
    const ran = comparable(run)
    const wanted = { ...comparable(expected), ...(expected.prepared === '' ? {} : { text: run.text }) }
    const problems: string[] = []
    if (JSON.stringify(ran) !== JSON.stringify(wanted)) {
      problems.push(`ran ${JSON.stringify(ran)} instead of ${JSON.stringify(wanted)}`)
    }
    if (transaction === undefined) return number === 0 ? problems : [...problems, `ran in transaction ${number}`]
    if (transaction.number === undefined && !seenTransactions.has(number) && number !== 0) {
      Object.assign(transaction, { number, connection })
      seenTransactions.add(number)
    }
    if (transaction.number !== number || transaction.connection !== connection) {
      problems.push(`ran in transaction ${number} of connection ${connection}, not ${JSON.stringify(transaction)}`)
    }
    return problems
  }

  const compareError = (
    { error }: StatementReply, statement: Statement, ran: number, isValidNow: boolean
  ): string[] => {
    const isPromise = transaction === undefined && !codesWithoutPromise.has(error)
    if (isPromise && ran > 0) return [`ran, though the reply is ${error}`]
    if (transaction?.isFailed && ran > 0) return ['ran in a failed transaction']
    if (transaction?.isFailed || statement.kind === 'other' || !isValidNow) return []
    return refusalsOfValid.has(error) ? [`${error}, though the statement is valid`] : []
  }

  const compareDone = (reply: StatementReply, statement: Statement, ran: readonly RecordedStatement[]): string[] => {
    if (statement.kind === 'other') return ['acknowledged, though it is not a statement']
    const isLocal = !['data', 'commit', 'execute'].includes(statement.kind)
    if (isLocal) return ran.length === 0 ? [] : ['ran at the database, though it only concerns the session']
    if (transaction?.isFailed) return ['acknowledged in a failed transaction']
    const [run] = ran
    if (run === undefined) return ['acknowledged, though it did not run']
    const isRead = run.text.startsWith('READ ') || run.prepared.startsWith('READ ')
    const rows = isRead ? [`of ${run.requestId}`] : []
    const isFromRun = reply.signature === run.signature && JSON.stringify(reply.rows) === JSON.stringify(rows)
    return isFromRun ? [] : [`reply ${JSON.stringify(reply)} is not the database's`]
  }

  const changeSession = (statement: Statement) => {
    if (statement.kind === 'set') values.set(statement.name, statement.value)
    if (statement.kind === 'prepare') prepared.set(statement.name, statement.shape)
    if (statement.kind === 'deallocate') prepared.delete(statement.name)
    if (statement.kind === 'begin') transaction = { isFailed: false }
  }

  const abandon = () => {
    if (transaction?.number !== undefined) abandoned.add(transaction.number)
    transaction = undefined
  }

  /** Follows the state that the reply names; a transaction that ended must have been committed, or must never be. */
  const followState = (statement: Statement, { error, state }: StatementReply): string[] => {
    const isDone = error === ''
    if (transaction === undefined) return state === 'I' ? [] : [`state is ${state} outside a transaction`]
    if (state !== 'I') {
      const mustEnd = isDone && (statement.kind === 'commit' || statement.kind === 'rollback')
      transaction.isFailed ||= state === 'E'
      return mustEnd ? [`state is ${state} after the end of the transaction`] : []
    }
    const { number } = transaction
    if (statement.kind === 'commit' && isDone) {
      transaction = undefined
      return number !== undefined && committed.has(number) ? [] : ['COMMIT is acknowledged, though it did not run']
    }
    if (statement.kind === 'commit' && codesWithoutPromise.has(error)) transaction = undefined
    else abandon()
    return isDone && statement.kind !== 'rollback' ? ['the transaction ended without an error'] : []
  }

  /** Whether the statement is valid after those before it. */
  const isAllowedNow = (statement: Statement): boolean => {
    if (statement.kind === 'begin') return transaction === undefined
    if (statement.kind === 'commit') return transaction !== undefined
    const usesPrepared = statement.kind === 'execute' || statement.kind === 'deallocate'
    return !usesPrepared || prepared.has(statement.name)
  }

  const compare = (requestId: string, text: string, reply: StatementReply | undefined): string[] => {
    const statement = readStatement(text)
    const expected = expectedOf(requestId, text, statement)
    const ran = runs.filter(run => run.requestId === requestId)
    const problems = ran.flatMap(run => compareRun(run, expected))
    if (ran.length > 1) problems.push(`ran ${ran.length} times`)
    if (reply === undefined) return [...problems, 'no reply']
    const isValidNow = isAllowedNow(statement)
    if (reply.error === '') {
      problems.push(...compareDone(reply, statement, ran))
      changeSession(statement)
    } else problems.push(...compareError(reply, statement, ran.length, isValidNow))
    return [...problems, ...followState(statement, reply)]
  }

  const end = (): string[] => {
    abandon()
    return [...abandoned].filter(number => committed.has(number))
      .map(number => `transaction ${number} is committed, though its caller has not committed it`)
  }

  return { compare, end }
}
