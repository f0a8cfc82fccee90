/**
 * Statements at a holder that wait for the store or for a connection, and what becomes of them after their timeout.
 */
import { sleepMs } from '@egretyoke/common'
import test from 'ava'
import { createHolderEnvironment, writeRequest } from '../../testing/holder-environment.js'
import type { StatementRequest } from '../sessions/statement.js'

const timeoutMs = 60
const longWaitMs = 120

const createEnvironment = () => createHolderEnvironment({ storeMs: 0, transactionIdleMs: 1000 })

/** A holder whose time stands still, for tests that no timeout may end: a busy process can use up 60 ms by itself. */
const createTimelessEnvironment = () =>
  createHolderEnvironment({ storeMs: 0, transactionIdleMs: 1000 }, 10, { nowMs: () => 0 })

const write = (transaction: StatementRequest['transaction'] = 'SINGLE') => writeRequest({
  transaction, transactionId: transaction === 'SINGLE' ? '' : 'session/1', timeoutMs, maxQueuedMs: timeoutMs
})

// Guards against a statement that runs after its sender has given it up.
test('a statement that waited for the store until its timeout is not run', async t => {
  const { group, times, holder } = createEnvironment()
  times.storeMs = longWaitMs
  t.is((await holder.run(write())).status, 'NOT_RUN')
  t.deepEqual(group.executed, [])
  holder.close()
})

test('a statement that waited for a connection until its timeout is not run', async t => {
  const { group, database, holder } = createEnvironment()
  database.connectDelayMs = () => longWaitMs
  t.is((await holder.run(write())).status, 'NOT_RUN')
  await sleepMs(longWaitMs)
  t.deepEqual(group.executed, [])
  holder.close()
})

test('the time for a connection and the setup of the session counts for the statement\'s timeout', async t => {
  const { group, database, holder } = createEnvironment()
  database.connectDelayMs = () => timeoutMs * 0.6
  database.replyDelayMs = ({ kind }) => kind === 'begin' ? timeoutMs * 0.6 : 0
  t.is((await holder.run(write('OPEN_READ_WRITE'))).status, 'NOT_RUN')
  t.deepEqual(group.executed, [])
  t.is(holder.openTransactions(), 0)
  holder.close()
})

test('a transaction that is abandoned while its first statement waits does not begin', async t => {
  const { group, database, holder } = createTimelessEnvironment()
  database.connectDelayMs = () => timeoutMs / 2
  const running = holder.run(write('OPEN_READ_WRITE'))
  holder.abandon('session/1')
  t.is((await running).reason, 'transactionGone')
  t.deepEqual(group.executed, [])
  holder.close()
})

test('a second first statement of a transaction is not run', async t => {
  const { group, holder } = createTimelessEnvironment()
  const outcomes = await Promise.all([holder.run(write('OPEN_READ_WRITE')), holder.run(write('OPEN_READ_WRITE'))])
  t.deepEqual(outcomes.map(({ status }) => status), ['DONE', 'NOT_RUN'])
  t.is(group.executed.length, 1)
  holder.close()
})

// Guards against a silent primary that is not replaced, because unsent statements count as its replies.
test('a statement that was declined without being sent is no reply of the database', async t => {
  const { database, holder } = createTimelessEnvironment()
  database.changeReply = (_command, reply) =>
    ({ ...reply, outcome: 'declined', declineReason: 'malformed', isUnsent: true })
  t.is((await holder.run(write())).reason, 'failed')
  t.false(holder.hasRepliedRecently())
  database.changeReply = (_command, reply) => ({ ...reply, outcome: 'declined', declineReason: 'malformed' })
  t.is((await holder.run(write())).reason, 'failed')
  t.true(holder.hasRepliedRecently())
  holder.close()
})

test('a statement that is not sent after its setup has succeeded leaves the replies to the setup', async t => {
  const { database, holder } = createTimelessEnvironment()
  database.changeReply = (command, reply) => command.kind === 'text'
    ? { ...reply, outcome: 'declined', declineReason: 'malformed', isUnsent: true }
    : reply
  t.is((await holder.run(write('OPEN_READ_WRITE'))).reason, 'failed')
  t.true(holder.hasRepliedRecently())
  holder.close()
})
