/**
 * Connection pools: reuse by workspace, the limit of connections, and the commands that fit a connection to a session.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import test from 'ava'
import { commandsToReach, createConnectionPool, noteDone } from './connection-pool.js'
import type { PooledConnection } from './connection-pool.js'
import type { DatabaseConnection } from './database-connection.js'

const fakeConnection = (): DatabaseConnection => {
  let isOpen = true
  return {
    run: async () => [],
    order: async () => Err(typedError('lost', 'not used')),
    isOpen: () => isOpen,
    onClosed: () => {},
    close: () => { isOpen = false }
  }
}

const createPool = (maxConnections: number) => {
  const opened: DatabaseConnection[] = []
  const time = { nowMs: 0, isFull: false }
  const pool = createConnectionPool({
    connect: async () => {
      if (time.isFull) return Err(typedError('full', 'too many'))
      const connection = fakeConnection()
      opened.push(connection)
      return Ok(connection)
    },
    maxConnections: () => maxConnections,
    nowMs: () => time.nowMs
  })
  const take = async (workspace: string): Promise<PooledConnection> => (await pool.take(workspace, 100)).unwrap()
  return { pool, opened, time, take }
}

test('a connection serves its own workspace again, and no other', async t => {
  const { pool, opened, take } = createPool(4)
  const first = await take('a')
  pool.giveBack(first)
  t.is(await take('a'), first)
  pool.giveBack(first)
  t.not(await take('b'), first)
  t.is(opened.length, 2)
})

test('at the limit the connection that was idle for longest makes room', async t => {
  const { pool, opened, take } = createPool(2)
  const [first, second] = [await take('a'), await take('b')]
  pool.giveBack(first)
  pool.giveBack(second)
  await take('c')
  t.deepEqual(opened.map(connection => connection.isOpen()), [false, true, true])
  t.is(pool.size(), 2)
})

test('a database that takes many connections has many kept, and room for a successor\'s', async t => {
  const { pool, take } = createPool(100)
  const taken = await Promise.all(Array.from({ length: 90 }, (_, index) => take(`workspace-${index}`)))
  for (const pooled of taken) pool.giveBack(pooled)
  t.is(pool.size(), 80)
})

test('without an idle connection at the limit there is no room', async t => {
  const { pool, take } = createPool(1)
  const only = await take('a')
  t.false(pool.hasRoom())
  pool.giveBack(only)
  t.true(pool.hasRoom())
})

test('after a connection was refused as one too many, the pool makes do with what it has for a while', async t => {
  const { pool, time, take } = createPool(5)
  await take('a')
  time.isFull = true
  t.is((await pool.take('b', 100)).val instanceof Object, true)
  t.false(pool.hasRoom())
  time.nowMs = 300
  t.true(pool.hasRoom())
})

test('idle connections are closed after the time, used ones are not', async t => {
  const { pool, opened, time, take } = createPool(5)
  const [first] = [await take('a'), await take('b')]
  pool.giveBack(first)
  time.nowMs = 2000
  pool.closeIdle(1000)
  t.deepEqual(opened.map(connection => connection.isOpen()), [false, true])
})

const pooledWith = (values: Record<string, string>, prepared: string[]): PooledConnection => ({
  workspace: 'a',
  connection: fakeConnection(),
  values: new Map(Object.entries(values)),
  prepared: new Set(prepared),
  idleSinceMs: 0
})

test('only what differs is sent', t => {
  const pooled = pooledWith({ zone: 'quay' }, ['read_q'])
  const wanted = {
    values: [{ name: 'zone', value: 'quay' }, { name: 'lang', value: 'es' }],
    prepared: { name: 'read_q', access: 'read' as const, shape: 'q' }
  }
  t.deepEqual(commandsToReach(pooled, wanted), [{ kind: 'set', name: 'lang', value: 'es' }])
})

test('a value that the session has not set is reset, and everything is set anew', t => {
  const pooled = pooledWith({ zone: 'quay', lang: 'es' }, ['read_q'])
  const wanted = {
    values: [{ name: 'zone', value: 'quay' }], prepared: { name: 'read_q', access: 'read' as const, shape: 'q' }
  }
  const commands = commandsToReach(pooled, wanted)
  t.deepEqual(commands.map(({ kind }) => kind), ['reset', 'set', 'prepare'])
  for (const command of commands) noteDone(pooled, command)
  t.deepEqual(commandsToReach(pooled, wanted), [])
})
