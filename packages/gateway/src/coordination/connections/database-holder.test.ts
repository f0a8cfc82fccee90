/**
 * Statements at a holder that wait for the store or for a connection, and what becomes of them after their timeout.
 */
import { sleepMs } from '@egretyoke/common'
import test from 'ava'
import { createAgeClock } from '../../state/contact.js'
import { createMemoryGroup } from '../../testing/memory-group.js'
import { createGroupPositions } from '../primaries/group-positions.js'
import type { StatementRequest } from '../sessions/statement.js'
import { createDatabaseHolder } from './database-holder.js'

const timeoutMs = 60
const longWaitMs = 120

const createEnvironment = () => {
  const group = createMemoryGroup()
  const database = group.databases.get('db-1')!
  const waits = { storeMs: 0 }
  const clock = createAgeClock()
  const holder = createDatabaseHolder({
    database: () => database.description,
    maxConnections: () => 10,
    transactionIdleMs: () => 1000,
    connect: group.connect,
    isFirstHolder: () => true,
    acceptsNewWork: () => true,
    records: {
      canUse: () => true,
      becomeUser: async () => {
        await sleepMs(waits.storeMs)
        return true
      },
      stopUse: () => {},
      store: async () => undefined
    },
    positions: createGroupPositions(clock, async () => undefined),
    clock,
    nowMs: () => performance.now(),
    log: () => {}
  })
  return { group, database, waits, holder }
}

const write = (transaction: StatementRequest['transaction'] = 'SINGLE'): StatementRequest => ({
  requestId: 'r1',
  group: 'bookings',
  database: 'db-1',
  workspace: 'yard-a',
  transactionId: transaction === 'SINGLE' ? '' : 'session/1',
  transaction,
  verb: 'TEXT',
  access: 'WRITE',
  text: 'WRITE 1 x',
  shape: '',
  shapeAccess: 'READ',
  values: [],
  needsPrimary: true,
  ownPosition: '',
  maxStalenessMs: 0,
  timeoutMs,
  maxQueuedMs: timeoutMs,
  priority: 1
})

// Guards against a statement that runs after its sender has given it up.
test('a statement that waited for the store until its timeout is not run', async t => {
  const { group, waits, holder } = createEnvironment()
  waits.storeMs = longWaitMs
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
  const { group, database, holder } = createEnvironment()
  database.connectDelayMs = () => timeoutMs / 2
  const running = holder.run(write('OPEN_READ_WRITE'))
  holder.abandon('session/1')
  t.is((await running).reason, 'transactionGone')
  t.deepEqual(group.executed, [])
  holder.close()
})

test('a second first statement of a transaction is not run', async t => {
  const { group, holder } = createEnvironment()
  const outcomes = await Promise.all([holder.run(write('OPEN_READ_WRITE')), holder.run(write('OPEN_READ_WRITE'))])
  t.deepEqual(outcomes.map(({ status }) => status), ['DONE', 'NOT_RUN'])
  t.is(group.executed.length, 1)
  holder.close()
})
