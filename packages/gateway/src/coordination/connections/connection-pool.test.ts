/**
 * Connection pool: reuse by workspace, the connection limit, and the commands that set up a session's state.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import test from 'ava'
import fc from 'fast-check'
import { createConnectionPool, recordDone, setupFor } from './connection-pool.js'
import type { PooledConnection, PoolOptions } from './connection-pool.js'
import type { DatabaseConnection } from './database-connection.js'
import { createPreparedStatements } from './prepared-statements.js'
import type { PreparedStatement } from './prepared-statements.js'
import { createSetValues } from './set-values.js'

const fakeConnection = (): DatabaseConnection => {
  let isOpen = true
  return {
    run: async () => [],
    runControl: async () => Err(typedError('lost', 'not used')),
    isOpen: () => isOpen,
    onClosed: () => {},
    close: () => { isOpen = false }
  }
}

const createPool = (maxConnections: number, options: Partial<PoolOptions> = {}) => {
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
    nowMs: () => time.nowMs,
    ...options
  })
  const acquire = async (workspace: string): Promise<PooledConnection> => (await pool.acquire(workspace, 100)).unwrap()
  return { pool, opened, time, acquire }
}

test('a connection is reused by its own workspace only', async t => {
  const { pool, opened, acquire } = createPool(4)
  const first = await acquire('a')
  pool.release(first)
  t.is(await acquire('a'), first)
  pool.release(first)
  t.not(await acquire('b'), first)
  t.is(opened.length, 2)
})

test('at the connection limit, the longest idle connection is evicted', async t => {
  const { pool, opened, acquire } = createPool(2)
  const [first, second] = [await acquire('a'), await acquire('b')]
  pool.release(first)
  pool.release(second)
  await acquire('c')
  t.deepEqual(opened.map(connection => connection.isOpen()), [false, true, true])
  t.is(pool.size(), 2)
})

// Guards against connections of frequent workspaces that are closed for those of rare ones, and opened again.
test('at the connection limit, frequent workspaces keep their connections', async t => {
  const { pool, opened, time, acquire } = createPool(10)
  const serve = async (workspace: string) => pool.release(await acquire(workspace))
  const frequent = Array.from({ length: 8 }, (_, index) => `frequent-${index}`)
  for (let second = 0; second < 60; second++) {
    time.nowMs = second * 1000
    for (const workspace of frequent) await serve(workspace)
    for (let rare = 0; rare < 5; rare++) await serve(`rare-${second}-${rare}`)
  }
  // Eight of the frequent workspaces, and one for each statement of the rare ones.
  t.true(opened.length <= 8 + 60 * 5 + 20, `${opened.length}`)
  t.is(pool.size(), 10)
})

// Guards against a successor that is refused because the database counts the connections of a lost holder.
test('connections of lost holders count towards the limit, and close none that are open', async t => {
  const others = { count: 6 }
  const { pool, acquire } = createPool(10, { connectionsOfOthers: () => others.count, minConnections: () => 2 })
  const acquired = [await acquire('a'), await acquire('b'), await acquire('c'), await acquire('d')]
  t.deepEqual([pool.hasCapacity(), pool.connectionsLeft()], [false, 0])
  others.count = 30
  for (const pooled of acquired) pool.release(pooled)
  t.is(pool.size(), 4)
  others.count = 0
  t.is(pool.connectionsLeft(), 6)
})

test('whatever others have, the pool may open as many connections as it needs for all slots', async t => {
  const { pool, acquire } = createPool(10, { connectionsOfOthers: () => 30, minConnections: () => 2 })
  await acquire('a')
  t.true(pool.hasCapacity())
  await acquire('b')
  t.false(pool.hasCapacity())
})

// Guards against hundreds of refusals by a database whose limit other clients use up.
test('after repeated refusals as too many the pool waits longer, and grows by one at a time', async t => {
  const { pool, time, acquire } = createPool(20)
  let refusals = 0
  time.isFull = true
  for (time.nowMs = 0; time.nowMs < 10_000; time.nowMs += 10) {
    if (!pool.hasCapacity()) continue
    await pool.acquire('a', 100)
    refusals++
  }
  t.true(refusals <= 7, `${refusals}`)
  time.isFull = false
  time.nowMs += 3000
  const opening = acquire('a')
  t.false(pool.hasCapacity())
  await opening
  t.true(pool.hasCapacity())
})

// Guards against attempts that time out because a database gets too many at once.
test('two connections are opened at the same time at most', async t => {
  const { pool, acquire } = createPool(10)
  pool.release(await acquire('ready'))
  const opening = [acquire('a'), acquire('b')]
  t.deepEqual([pool.canServe('c'), pool.canServe('ready')], [false, true])
  await Promise.all(opening)
  t.true(pool.canServe('c'))
})

test('idle connections above the bound are closed, so that the next holder can connect', async t => {
  const { pool, acquire } = createPool(100)
  const acquired = await Promise.all(Array.from({ length: 90 }, (_, index) => acquire(`workspace-${index}`)))
  for (const pooled of acquired) pool.release(pooled)
  t.is(pool.size(), 80)
})

test('at the connection limit without an idle connection there is no capacity', async t => {
  const { pool, acquire } = createPool(1)
  const only = await acquire('a')
  t.false(pool.hasCapacity())
  pool.release(only)
  t.true(pool.hasCapacity())
})

test('after the database refused a connection as too many, the pool does not grow during the backoff', async t => {
  const { pool, time, acquire } = createPool(5)
  await acquire('a')
  time.isFull = true
  t.is((await pool.acquire('b', 100)).val instanceof Object, true)
  t.false(pool.hasCapacity())
  time.nowMs = 300
  t.true(pool.hasCapacity())
})

test('closeIdle closes connections idle for too long, and none in use', async t => {
  const { pool, opened, time, acquire } = createPool(5)
  const [first] = [await acquire('a'), await acquire('b')]
  pool.release(first)
  time.nowMs = 2000
  pool.closeIdle(1000)
  t.deepEqual(opened.map(connection => connection.isOpen()), [false, true])
})

const readQ = { access: 'read' as const, shape: 'q' }

/** A connection with the values, on which `readQ` is prepared. */
const pooledWith = (values: Record<string, string>): PooledConnection => {
  const prepared = createPreparedStatements()
  prepared.add(readQ, prepared.nextName())
  const set = createSetValues()
  for (const [name, value] of Object.entries(values)) set.add({ name, value })
  return {
    number: 1,
    workspace: 'a',
    connection: fakeConnection(),
    values: set,
    prepared,
    idleSinceMs: 0
  }
}

test('setup commands contain only the differences in session state', t => {
  const pooled = pooledWith({ zone: 'quay' })
  const required = {
    values: [{ name: 'zone', value: 'quay' }, { name: 'lang', value: 'es' }],
    prepared: readQ
  }
  const { commands, preparedName } = setupFor(pooled, required)
  t.deepEqual(commands, [{ kind: 'set', name: 'lang', value: 'es' }])
  t.is(preparedName, pooled.prepared.nameOf(readQ))
})

test('a variable that the session has not set causes a reset and a full setup', t => {
  const pooled = pooledWith({ zone: 'quay', lang: 'es' })
  const required = { values: [{ name: 'zone', value: 'quay' }], prepared: readQ }
  const { commands, preparedName } = setupFor(pooled, required)
  t.deepEqual(commands.map(({ kind }) => kind), ['reset', 'set', 'prepare'])
  for (const command of commands) recordDone(pooled, command)
  t.deepEqual(setupFor(pooled, required), { commands: [], preparedName })
})

const limits = { maxCount: 3, maxShapeBytes: 12 }
const shapes = fc.string({ minLength: 1, maxLength: 6, unit: fc.constantFrom('q', 'é') })
const statements: fc.Arbitrary<PreparedStatement> =
  fc.record({ access: fc.constantFrom('read', 'write'), shape: shapes })
const setups = fc.array(fc.record({
  values: fc.constantFrom([], [], [], [{ name: 'zone', value: 'quay' }]),
  prepared: statements,
  isPrepareDeclined: fc.boolean()
}), { maxLength: 40 })

// Guards against prepared statements that accumulate at the gateway and at the database.
test('a database holds what is tracked, within the bounds, and no name is used for a second statement', t => {
  fc.assert(fc.property(setups, steps => {
    const pooled = { ...pooledWith({}), prepared: createPreparedStatements(limits) }
    const held = new Map<string, PreparedStatement>()
    const usedNames = new Set<string>()
    for (const { values, prepared, isPrepareDeclined } of steps) {
      const { commands, preparedName } = setupFor(pooled, { values, prepared })
      for (const command of commands) {
        if (command.kind === 'prepare' && isPrepareDeclined) continue
        if (command.kind === 'reset') held.clear()
        if (command.kind === 'deallocate') t.true(held.delete(command.name))
        if (command.kind === 'prepare') {
          t.false(usedNames.has(command.name))
          usedNames.add(command.name)
          held.set(command.name, { access: command.access, shape: command.shape })
        }
        recordDone(pooled, command)
        const bytes = [...held.values()].reduce((sum, { shape }) => sum + Buffer.byteLength(shape), 0)
        t.true(held.size <= limits.maxCount && bytes <= limits.maxShapeBytes)
      }
      for (const [name, statement] of held) t.is(pooled.prepared.nameOf(statement), name)
      if (!isPrepareDeclined) t.deepEqual(held.get(preparedName ?? ''), prepared)
    }
  }), { seed: 29, numRuns: 300 })
})
