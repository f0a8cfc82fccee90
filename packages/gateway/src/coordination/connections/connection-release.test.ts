/**
 * What becomes of a connection after a statement: it returns to the pool only if a later statement may use it.
 */
import test from 'ava'
import { createHolderEnvironment, writeRequest } from '../../testing/holder-environment.js'
import type { DatabaseCommand, DatabaseReply } from './database-connection.js'

const createEnvironment = () => createHolderEnvironment({ storeMs: 0, transactionIdleMs: 1000 })

const values = [{ name: 'zone', value: 'quay' }, { name: 'lang', value: 'es' }]

const busy: Partial<DatabaseReply> = { outcome: 'declined', declineReason: 'busy' }
const failed: Partial<DatabaseReply> = { outcome: 'failed', message: 'TIMEOUT' }

/** Replies to the commands that set the two values. */
const setReplies: ReadonlyArray<[string, Partial<DatabaseReply>, Partial<DatabaseReply>]> = [
  ['busy, then failed', busy, failed],
  ['failed, then busy', failed, busy],
  ['failed, then done', failed, {}],
  ['done, then failed', {}, failed]
]

for (const [title, zone, lang] of setReplies) {
  // Guards against a connection that is used again with a value that may be set and is not tracked.
  test(`a connection is closed after a setup with a failed command: ${title}`, async t => {
    const { group, database, holder } = createEnvironment()
    database.changeReply = (command: DatabaseCommand, reply: DatabaseReply) => {
      if (command.kind !== 'set') return reply
      return { ...reply, ...command.name === 'zone' ? zone : lang }
    }
    t.is((await holder.run(writeRequest({ values }))).status, 'NOT_RUN')
    t.is(holder.connections(), 0)
    database.changeReply = (_command, reply) => reply
    t.is((await holder.run(writeRequest({}))).status, 'DONE')
    t.deepEqual(group.executed.map(statement => statement.values), [{}])
    holder.close()
  })
}

test('a connection whose setup was declined returns to the pool', async t => {
  const { database, holder } = createEnvironment()
  database.changeReply = (command, reply) => command.kind === 'set' ? { ...reply, ...busy } : reply
  t.is((await holder.run(writeRequest({ values }))).reason, 'busy')
  t.is(holder.connections(), 1)
  holder.close()
})

const execute = writeRequest({ verb: 'EXECUTE', text: '7', shape: 'q', shapeAccess: 'WRITE', values })

const unknownName = (command: DatabaseCommand, reply: DatabaseReply): DatabaseReply => command.kind === 'execute'
  ? { ...reply, outcome: 'declined', declineReason: 'unknownStatement', signature: '' }
  : reply

// Guards against a connection that is used again with values that its database may have dropped with the names.
test('a connection on which a tracked prepared statement is unknown is closed', async t => {
  const { database, holder } = createEnvironment()
  database.changeReply = unknownName
  const outcome = await holder.run(execute)
  t.deepEqual([outcome.status, outcome.reason], ['NOT_RUN', 'moved'])
  t.is(holder.connections(), 0)
  holder.close()
})

test('a transaction in which a tracked prepared statement is unknown is rolled back', async t => {
  const { database, holder } = createEnvironment()
  const inTransaction = { transactionId: 'session/1' }
  const first = await holder.run(writeRequest({ ...inTransaction, transaction: 'OPEN_READ_WRITE' }))
  t.true(first.transactionOpen)
  database.changeReply = unknownName
  const second = await holder.run({ ...execute, ...inTransaction, transaction: 'CONTINUE', values: [] })
  t.deepEqual([second.status, second.transactionOpen], ['NOT_RUN', false])
  t.is(holder.connections(), 0)
  database.changeReply = (_command, reply) => reply
  const commit = await holder.run(writeRequest({ ...inTransaction, transaction: 'CONTINUE', verb: 'COMMIT', text: '' }))
  t.is(commit.reason, 'transactionGone')
  t.deepEqual(database.log, [])
  holder.close()
})

const states = ['open', 'failed'] as const

for (const transaction of states) {
  // Guards against a statement that runs in a transaction which another session has left open.
  test(`a connection is closed after a single write whose reply reports a transaction (${transaction})`, async t => {
    const { database, holder } = createEnvironment()
    database.changeReply = (command, reply) => command.kind === 'text' ? { ...reply, transaction } : reply
    t.is((await holder.run(writeRequest({}))).status, 'UNKNOWN')
    t.is(holder.connections(), 0)
    const read = await holder.run(writeRequest({ access: 'READ', text: 'READ 1' }))
    t.deepEqual([read.status, read.transactionOpen], ['DONE', false])
    t.is(holder.connections(), 0)
    holder.close()
  })

  test(`a statement is not sent after a setup that reports a transaction (${transaction})`, async t => {
    const { group, database, holder } = createEnvironment()
    database.changeReply = (command, reply) => command.kind === 'set' ? { ...reply, transaction } : reply
    t.is((await holder.run(writeRequest({ values }))).status, 'NOT_RUN')
    t.deepEqual(group.executed, [])
    t.is(holder.connections(), 0)
    holder.close()
  })

  test(`a commit whose reply reports a transaction (${transaction}) is not confirmed`, async t => {
    const { database, holder } = createEnvironment()
    await holder.run(writeRequest({ transactionId: 'session/1', transaction: 'OPEN_READ_WRITE' }))
    database.changeReply = (command, reply) => command.kind === 'commit' ? { ...reply, transaction } : reply
    const commit = await holder.run(writeRequest({
      transactionId: 'session/1', transaction: 'CONTINUE', verb: 'COMMIT', text: ''
    }))
    t.deepEqual([commit.status, commit.transactionOpen], ['UNKNOWN', false])
    t.is(holder.connections(), 0)
    t.is(holder.openTransactions(), 0)
    holder.close()
  })
}

const declineReasons = ['busy', 'readOnly', 'aborted'] as const

for (const declineReason of declineReasons) {
  for (const transaction of states) {
    // Guards against closing a reusable connection after each declined commit.
    test(`a connection stays in the pool after a commit declined as ${declineReason} (${transaction})`, async t => {
      const { group, database, holder } = createEnvironment()
      await holder.run(writeRequest({ transactionId: 'session/1', transaction: 'OPEN_READ_WRITE' }))
      database.changeReply = (command, reply) => command.kind === 'commit'
        ? { ...reply, outcome: 'declined', declineReason, transaction }
        : reply
      const commit = await holder.run(writeRequest({
        transactionId: 'session/1', transaction: 'CONTINUE', verb: 'COMMIT', text: ''
      }))
      t.deepEqual([commit.status, commit.transactionOpen], ['NOT_RUN', false])
      database.changeReply = (_command, reply) => reply
      t.is((await holder.run(writeRequest({ requestId: 'r2' }))).status, 'DONE')
      t.is(new Set(group.executed.map(({ connection }) => connection)).size, 1)
      t.false(group.executed.at(-1)?.inTransaction)
      holder.close()
    })
  }
}

test('a single statement that is declined in a failed transaction is followed by a rollback', async t => {
  const { group, database, holder } = createEnvironment()
  const commands: string[] = []
  database.changeReply = (command, reply) => {
    commands.push(command.kind)
    return command.kind === 'text' ? { ...reply, ...busy, transaction: 'failed' } : reply
  }
  t.is((await holder.run(writeRequest({}))).reason, 'busy')
  database.changeReply = (_command, reply) => reply
  t.is((await holder.run(writeRequest({ requestId: 'r2' }))).status, 'DONE')
  t.deepEqual(commands, ['text', 'rollback'])
  t.is(new Set(group.executed.map(({ connection }) => connection)).size, 1)
  holder.close()
})

test('a statement is not sent in a transaction that its setup reports as gone', async t => {
  const { group, database, holder } = createEnvironment()
  const inTransaction = { transactionId: 'session/1' }
  await holder.run(writeRequest({ ...inTransaction, transaction: 'OPEN_READ_WRITE' }))
  database.changeReply = (command, reply) => command.kind === 'set' ? { ...reply, transaction: 'none' } : reply
  const next = await holder.run(writeRequest({ ...inTransaction, transaction: 'CONTINUE', values }))
  t.deepEqual([next.status, next.reason], ['NOT_RUN', 'transactionGone'])
  t.is(group.executed.length, 1)
  t.is(holder.connections(), 0)
  holder.close()
})

test('a transaction with a declined statement is rolled back, and its connection returns to the pool', async t => {
  const { database, holder } = createEnvironment()
  const inTransaction = { transactionId: 'session/1' }
  await holder.run(writeRequest({ ...inTransaction, transaction: 'OPEN_READ_WRITE' }))
  database.role = 'replica'
  const declined = await holder.run(writeRequest({ ...inTransaction, transaction: 'CONTINUE' }))
  t.is(declined.reason, 'readOnly')
  database.role = 'primary'
  t.is((await holder.run(writeRequest({ requestId: 'r2' }))).status, 'DONE')
  t.deepEqual(database.log.map(({ requestId }) => requestId), ['r2'])
  t.is(holder.connections(), 1)
  holder.close()
})

test('a transaction whose command was declined unsent is rolled back', async t => {
  const { group, database, holder } = createEnvironment()
  const inTransaction = { transactionId: 'session/1' }
  await holder.run(writeRequest({ ...inTransaction, transaction: 'OPEN_READ_WRITE' }))
  const unsent = { outcome: 'declined', declineReason: 'malformed', isUnsent: true, transaction: 'none' } as const
  database.changeReply = (command, reply) => command.kind === 'text' ? { ...reply, ...unsent } : reply
  t.is((await holder.run(writeRequest({ ...inTransaction, transaction: 'CONTINUE' }))).reason, 'failed')
  database.changeReply = (_command, reply) => reply
  t.is((await holder.run(writeRequest({ requestId: 'r2' }))).status, 'DONE')
  t.deepEqual(group.executed.at(-1)?.inTransaction, false)
  holder.close()
})

test('a connection on which a prepared statement could not be dropped is closed', async t => {
  const { database, holder } = createEnvironment()
  database.changeReply = (command, reply) => command.kind === 'deallocate' ? { ...reply, ...busy } : reply
  for (let number = 0; number < 200; number++) await holder.run({ ...execute, shape: `q${number}` })
  t.is(holder.connections(), 1)
  t.is((await holder.run({ ...execute, shape: 'another' })).reason, 'busy')
  t.is(holder.connections(), 0)
  holder.close()
})
