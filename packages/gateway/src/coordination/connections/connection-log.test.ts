/**
 * Log lines and counters about connections: from a request to the connection, and to what was prepared there.
 */
import test from 'ava'
import {
  createConnectionLog, maxBurstPreparedLines, maxLoggedTextLength, maxPreparedLinesPerSec
} from './connection-log.js'
import type { PooledConnection } from './connection-pool.js'
import { createHolderEnvironment, writeRequest } from '../../testing/holder-environment.js'
import type { StatementRequest } from '../sessions/statement.js'

const createEnvironment = () => createHolderEnvironment({ storeMs: 0, transactionIdleMs: 1000 })

const execute = (requestId: string, changes: Partial<StatementRequest> = {}) =>
  writeRequest({ requestId, verb: 'EXECUTE', text: '7', shape: 'WRITE q', shapeAccess: 'WRITE', ...changes })

// Guards against a prepared statement that no log line assigns to a connection.
test('a statement is logged when it is prepared, with its connection, and not when it is reused', async t => {
  const { holder, logged, counted } = createEnvironment()
  const first = await holder.run(execute('r1'))
  const second = await holder.run(execute('r2'))
  t.true(first.connection > 0)
  t.is(second.connection, first.connection)
  t.deepEqual(logged, [{
    name: 'statementPrepared',
    request: 'r1',
    database: 'db-1',
    workspace: 'yard-a',
    connection: first.connection,
    resets: 0,
    prepared: 'p1',
    access: 'write',
    shape: 'WRITE q',
    shapeBytes: 7
  }])
  t.deepEqual(counted, ['prepared'])
  holder.close()
})

test('a statement that is prepared again after a reset is logged with the number of resets', async t => {
  const { holder, logged } = createEnvironment()
  await holder.run(execute('r1', { values: [{ name: 'zone', value: 'quay' }] }))
  await holder.run(execute('r2'))
  t.deepEqual(logged.map(({ request, resets }) => [request, resets]), [['r1', 0], ['r2', 1]])
  holder.close()
})

test('the texts of a line are clipped; the full length is logged', async t => {
  const { holder, logged } = createEnvironment()
  const shape = 'é'.repeat(5000)
  await holder.run(execute('r1', { shape }))
  t.is(logged[0]?.shape, 'é'.repeat(maxLoggedTextLength))
  t.is(logged[0]?.prepared, 'p1')
  t.is(logged[0]?.shapeBytes, 10_000)
  holder.close()
})

test('connections have different numbers, also at different holders', async t => {
  const [one, other] = [createEnvironment(), createEnvironment()]
  const outcomes = await Promise.all([
    one.holder.run(execute('r1')), one.holder.run(execute('r2')), other.holder.run(execute('r3'))
  ])
  t.is(new Set(outcomes.map(({ connection }) => connection)).size, 3)
  one.holder.close()
  other.holder.close()
})

const createLog = () => {
  const time = { nowMs: 0 }
  const logged: object[] = []
  const counted: string[] = []
  const connectionLog = createConnectionLog({
    database: 'db-1',
    counters: {
      countPrepared: () => { counted.push('prepared') },
      countDeclined: (kind, reason) => { counted.push(`${kind} ${reason}`) }
    },
    nowMs: () => time.nowMs,
    log: ({ name }, fields = {}) => { logged.push({ name, ...typeof fields === 'function' ? fields() : fields }) }
  })
  return { connectionLog, time, logged, counted }
}

const pooled = { number: 12, workspace: 'yard-a' } as PooledConnection

const declined = (declineReason: 'busy' | 'unknownStatement') => ({
  outcome: 'declined' as const,
  declineReason,
  message: 'm'.repeat(5000),
  rows: [],
  signature: '',
  position: '',
  transaction: 'none' as const
})

test('a command that the database did not understand is logged; others that it declined are only counted', t => {
  const { connectionLog, logged, counted } = createLog()
  const { onReply } = connectionLog.startUse(pooled, execute('r1'))
  onReply({ kind: 'commit', requestId: 'r1' }, declined('busy'))
  onReply(
    { kind: 'execute', requestId: 'r1', name: 'p1', operands: '7', positionAtLeast: '' },
    declined('unknownStatement')
  )
  t.deepEqual(counted, ['commit busy', 'execute unknownStatement'])
  t.deepEqual(logged, [{
    name: 'commandDeclined',
    request: 'r1',
    database: 'db-1',
    workspace: 'yard-a',
    connection: 12,
    resets: 0,
    kind: 'execute',
    prepared: 'p1',
    reason: 'unknownStatement',
    message: 'm'.repeat(maxLoggedTextLength)
  }])
})

test('a statement that begins while another one runs on its connection is logged', t => {
  const { connectionLog, logged } = createLog()
  connectionLog.startUse(pooled, execute('r1')).end()
  const use = connectionLog.startUse(pooled, execute('r2'))
  connectionLog.startUse(pooled, execute('r3')).end()
  use.end()
  connectionLog.startUse(pooled, execute('r4')).end()
  t.deepEqual(logged, [{
    name: 'connectionShared', request: 'r3', database: 'db-1', workspace: 'yard-a', connection: 12, other: 'r2'
  }])
})

// Guards against a line that names another command of the call than the one that could not be encoded.
test('a command that could not be encoded is the one that is logged, as not sent', async t => {
  const { database, holder, logged, counted } = createEnvironment()
  database.changeReply = (command, reply) => ({
    ...reply, outcome: 'declined', declineReason: command.kind === 'prepare' ? 'malformed' : 'notSent', isUnsent: true
  })
  const outcome = await holder.run(execute('r1', { values: [{ name: 'zone', value: 'quay' }] }))
  t.deepEqual([outcome.status, outcome.reason], ['NOT_RUN', 'failed'])
  t.deepEqual(logged.map(({ name, kind, unsent }) => [name, kind, unsent]), [['commandDeclined', 'prepare', true]])
  t.deepEqual(counted, ['prepare malformed'])
  holder.close()
})

// Guards against a caller whose changing texts write a line for each of its statements.
test('lines about prepared statements are bounded; all are counted, and a line tells how many have none', async t => {
  const { holder, logged, counted } = createEnvironment()
  const statements = 500
  for (let index = 0; index < statements; index++) {
    await holder.run(execute(`r${index}`, { shape: `WRITE q${index}` }))
  }
  holder.close()
  const lines = logged.filter(({ name }) => name === 'statementPrepared').length
  const leftOut = logged.filter(({ name }) => name === 'preparedLinesSuppressed').map(({ count }) => Number(count))
  t.true(lines < statements / 2, `${lines} lines`)
  t.is(lines + leftOut.reduce((sum, count) => sum + count, 0), statements)
  t.is(counted.filter(name => name === 'prepared').length, statements)
})

test('after a burst there is a line for as many prepared statements as the rate allows, in each second', t => {
  const { connectionLog, time, logged } = createLog()
  const { onReply } = connectionLog.startUse(pooled, execute('r1'))
  const prepare = { kind: 'prepare', name: 'p1', access: 'write', shape: 'WRITE q' } as const
  const { declineReason: _, ...declinedReply } = declined('busy')
  const linesOf = (statements: number) => {
    logged.length = 0
    for (let index = 0; index < statements; index++) onReply(prepare, { ...declinedReply, outcome: 'done' })
    const lines = logged.length
    connectionLog.writeSuppressedCount()
    return [lines, ...logged.slice(lines)]
  }
  const leftOut = (count: number) => ({ name: 'preparedLinesSuppressed', database: 'db-1', count })
  t.deepEqual(linesOf(maxBurstPreparedLines), [maxBurstPreparedLines])
  t.deepEqual(linesOf(7), [0, leftOut(7)])
  time.nowMs += 1000
  t.deepEqual(linesOf(maxPreparedLinesPerSec + 3), [maxPreparedLinesPerSec, leftOut(3)])
  t.deepEqual(linesOf(0), [0])
})
