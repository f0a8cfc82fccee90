/**
 * Transactions of several sessions at one holder, in random orders of events: late connections and replies, senders
 * that give a statement up, abandon it or not, and go on with the session's next transaction. The statements that the
 * database ran show whether each transaction had a connection of its own.
 */
import { sleepMs } from '@egretyoke/common'
import test from 'ava'
import fc from 'fast-check'
import { createHolderEnvironment, writeRequest } from '../../testing/holder-environment.js'
import type { ExecutedStatement } from '../../testing/memory-group.js'
import type { StatementOutcome, StatementRequest } from '../sessions/statement.js'

const timeoutMs = 40
const transactionIdleMs = 100
const maxConnections = 8
/** The holder leaves two connections to others. */
const usableConnections = maxConnections - 2
const maintenanceIntervalMs = 10

/** One statement: how late the database's replies to it are, and when its sender gives it up. */
type StatementPlan = { beginDelayMs: number, replyDelayMs: number, giveUpAfterMs: number, isAbandonLost: boolean }
type TransactionPlan = { connectDelayMs: number, statements: StatementPlan[], end: 'commit' | 'abandon' | 'leave' }
type SessionPlan = { workspace: string, transactions: TransactionPlan[] }

const delayMs = fc.constantFrom(0, 0, 0, 0, 12, 25, 50)
const statementPlan = fc.record({
  beginDelayMs: delayMs,
  replyDelayMs: delayMs,
  giveUpAfterMs: fc.constantFrom(8, 20, 200, 200),
  isAbandonLost: fc.boolean()
})
const transactionPlan = fc.record({
  connectDelayMs: delayMs,
  statements: fc.array(statementPlan, { minLength: 1, maxLength: 3 }),
  end: fc.constantFrom('commit', 'commit', 'abandon', 'leave')
})
const sessionPlans = fc.array(fc.record({
  workspace: fc.constantFrom('yard-a', 'yard-b'),
  transactions: fc.array(transactionPlan, { minLength: 1, maxLength: 4 })
}), { minLength: 1, maxLength: 3 })

const createEnvironment = () => createHolderEnvironment({ storeMs: 0, transactionIdleMs }, maxConnections)

type Environment = ReturnType<typeof createEnvironment>

const requestOf = (transactionId: string, number: number, workspace: string, verb: StatementRequest['verb']) =>
  writeRequest({
    requestId: `${transactionId}:${number}`,
    workspace,
    transactionId,
    transaction: number === 0 ? 'OPEN_READ_WRITE' : 'CONTINUE',
    verb,
    text: verb === 'COMMIT' ? '' : `WRITE ${number} x`,
    timeoutMs,
    maxQueuedMs: timeoutMs
  })

/** Runs a statement as its sender sees it: undefined if it was given up. */
const send = async (
  { holder }: Environment, request: StatementRequest, plan: StatementPlan
): Promise<StatementOutcome | undefined> => {
  const outcome = await Promise.race([holder.run(request), sleepMs(plan.giveUpAfterMs).then(() => undefined)])
  if (outcome === undefined && !plan.isAbandonLost) holder.abandon(request.transactionId)
  return outcome
}

/** Transactions whose commit was sent, and the number of writes of those whose commit succeeded. */
type Outcomes = { commitSent: Set<string>, writesOfCommitted: Map<string, number> }

const runTransaction = async (
  environment: Environment, id: string, workspace: string, plan: TransactionPlan, outcomes: Outcomes
) => {
  const { database, holder } = environment
  database.connectDelayMs = () => plan.connectDelayMs
  for (const [number, statement] of plan.statements.entries()) {
    database.replyDelayMs = ({ kind }) => kind === 'begin' ? statement.beginDelayMs : statement.replyDelayMs
    const outcome = await send(environment, requestOf(id, number, workspace, 'TEXT'), statement)
    if (outcome?.status !== 'DONE' || !outcome.transactionOpen) return
  }
  if (plan.end === 'abandon') holder.abandon(id)
  if (plan.end !== 'commit') return
  outcomes.commitSent.add(id)
  const number = plan.statements.length
  const outcome = await holder.run(requestOf(id, number, workspace, 'COMMIT'))
  if (outcome.status === 'DONE') outcomes.writesOfCommitted.set(id, number)
}

const transactionOf = (requestId: string) => requestId.split(':')[0] ?? ''

/** What the database ran that a transaction with a connection of its own would not have run. */
const findingsIn = (executed: readonly ExecutedStatement[]): string[] => {
  const findings: string[] = []
  const connectionOf = new Map<string, number>()
  const ended = new Map<number, Set<string>>()
  const current = new Map<number, string>()
  for (const { requestId, connection, inTransaction } of executed) {
    const transaction = transactionOf(requestId)
    if (!inTransaction) findings.push(`${requestId} ran outside of a transaction`)
    const first = connectionOf.get(transaction) ?? connection
    if (first !== connection) findings.push(`${requestId} ran on connection ${connection}, not ${first}`)
    connectionOf.set(transaction, first)
    const before = current.get(connection)
    const endedHere = ended.get(connection) ?? new Set()
    ended.set(connection, endedHere)
    if (before !== undefined && before !== transaction) endedHere.add(before)
    if (endedHere.has(transaction)) findings.push(`${requestId} ran after another transaction on its connection`)
    current.set(connection, transaction)
  }
  return findings
}

/** Number of transactions that can be open at once; fewer than usual if connections are never free again. */
const openAsManyAsPossible = async ({ holder, times }: Environment): Promise<number> => {
  let opened = 0
  times.transactionIdleMs = Infinity
  for (let number = 0; number < usableConnections; number++) {
    const request = requestOf(`probe/${number}`, 0, 'yard-a', 'TEXT')
    const outcome = await holder.run({ ...request, timeoutMs: 2000, maxQueuedMs: 2000 })
    if (outcome.status === 'DONE') opened++
  }
  return opened
}

// Guards against a statement that runs inside another transaction, and connections that are never free again.
test('each transaction has a connection of its own, in whatever order its statements run', async t => {
  t.timeout(120_000)
  let committedCount = 0
  await fc.assert(fc.asyncProperty(sessionPlans, async (sessions: SessionPlan[]) => {
    const environment = createEnvironment()
    const { group, database, holder } = environment
    const outcomes: Outcomes = { commitSent: new Set(), writesOfCommitted: new Map() }
    await Promise.all(sessions.map(async ({ workspace, transactions }, session) => {
      for (const [number, plan] of transactions.entries()) {
        await runTransaction(environment, `s${session}/${number}`, workspace, plan, outcomes)
      }
    }))
    database.connectDelayMs = () => 0
    database.replyDelayMs = () => 0
    const maintenance = setInterval(holder.runMaintenance, maintenanceIntervalMs)
    const isIdle = await holder.waitUntilIdle(2000)
    const executed = [...group.executed]
    const opened = await openAsManyAsPossible(environment)
    clearInterval(maintenance)

    t.deepEqual(findingsIn(executed), [])
    const committed = database.log.map(({ requestId }) => transactionOf(requestId))
    t.deepEqual(committed.filter(id => !outcomes.commitSent.has(id)), [])
    for (const [id, writes] of outcomes.writesOfCommitted) t.is(committed.filter(each => each === id).length, writes)
    committedCount += outcomes.writesOfCommitted.size
    t.true(isIdle)
    t.is(opened, usableConnections)
    holder.close()
    t.is(database.connections, 0)
  }), { seed: 25, numRuns: 100 })
  t.log(`${committedCount} transactions committed`)
})
