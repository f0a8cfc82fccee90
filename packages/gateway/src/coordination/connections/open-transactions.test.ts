/**
 * Ownership of connections by transactions, under random orders of statements that start, end, run late, are given up
 * or wait too long.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import test from 'ava'
import fc from 'fast-check'
import { createConnectionPool } from './connection-pool.js'
import type { PooledConnection } from './connection-pool.js'
import type { DatabaseConnection, DatabaseReply } from './database-connection.js'
import { createOpenTransactions } from './open-transactions.js'

const idleMs = 100
const workspaces = ['yard-a', 'yard-b'] as const

const rolledBack: DatabaseReply = {
  outcome: 'done', message: '', rows: [], signature: '', position: '', transaction: 'none'
}

/** A connection that records which transaction is open on it. */
type FakeConnection = DatabaseConnection & { owner: string | undefined }

const fakeConnection = (): FakeConnection => {
  let isOpen = true
  const connection: FakeConnection = {
    owner: undefined,
    run: async () => {
      connection.owner = undefined
      return [rolledBack]
    },
    runControl: async () => Err(typedError('lost', 'not used')),
    isOpen: () => isOpen,
    onClosed: () => {},
    close: () => { isOpen = false }
  }
  return connection
}

/** The table with real connection pool, and what a holder and its senders do with them. */
const createEnvironment = () => {
  const connections: FakeConnection[] = []
  const time = { nowMs: 0 }
  const pool = createConnectionPool({
    connect: async () => {
      const connection = fakeConnection()
      connections.push(connection)
      return Ok(connection)
    },
    maxConnections: () => 50,
    nowMs: () => time.nowMs
  })
  const transactions = createOpenTransactions({
    pool, idleMs: () => idleMs, nowMs: () => time.nowMs, database: 'db-1', onRolledBack: () => {}, log: () => {}
  })
  /** Connections that a statement uses now, by transaction. */
  const lent = new Map<string, PooledConnection>()
  const registered = new Set<string>()
  const abandoned = new Set<string>()
  const findings: string[] = []

  const connectionOf = (pooled: PooledConnection) => pooled.connection as FakeConnection
  return {
    time, pool, transactions, lent, registered, abandoned, findings, connections, connectionOf
  }
}

type Environment = ReturnType<typeof createEnvironment>
type Step = { id: string, kind: typeof stepKinds[number] }

const stepKinds = ['register', 'open', 'startStatement', 'finishStatement', 'commit', 'abandon', 'wait'] as const

const workspaceOf = (id: string) => workspaces[Number(id.at(-1)) % workspaces.length]!

const runStep = async (environment: Environment, { id, kind }: Step) => {
  const { time, pool, transactions, lent, registered, abandoned, findings, connectionOf } = environment
  const pooled = lent.get(id)
  switch (kind) {
    case 'register':
      if (!abandoned.has(id) && transactions.register(id)) registered.add(id)
      break
    // The first statement ends with the transaction open, whether or not its sender still waits for it.
    case 'open': {
      if (!registered.delete(id)) break
      const opened = (await pool.acquire(workspaceOf(id), 10)).unwrap()
      connectionOf(opened).owner = id
      transactions.keep(id, opened)
      break
    }
    case 'startStatement': {
      const acquired = transactions.acquire(id, workspaceOf(id))
      if (acquired === undefined) break
      if (pooled !== undefined) findings.push(`${id} runs two statements at once`)
      if (connectionOf(acquired).owner !== id) findings.push(`${id} runs in ${connectionOf(acquired).owner}`)
      lent.set(id, acquired)
      break
    }
    case 'finishStatement':
      if (lent.delete(id)) transactions.keep(id, pooled!)
      break
    case 'commit':
      if (!lent.delete(id)) break
      connectionOf(pooled!).owner = undefined
      transactions.end(id)
      pool.release(pooled!)
      break
    case 'abandon':
      transactions.abandon(id)
      abandoned.add(id)
      break
    case 'wait':
      time.nowMs += idleMs
      transactions.endIdle()
  }
  await new Promise(resolve => setImmediate(resolve))
}

const ids = ['session/1', 'session/2', 'session/3', 'other/4']
const steps = fc.array(fc.record({ id: fc.constantFrom(...ids), kind: fc.constantFrom(...stepKinds) }), {
  minLength: 5, maxLength: 60
})

// Guards against a late statement that takes over the connection of another transaction of its session.
test('a transaction runs only on the connection that it opened, whatever the order of its statements', async t => {
  await fc.assert(fc.asyncProperty(steps, async sequence => {
    const environment = createEnvironment()
    for (const step of sequence) await runStep(environment, step)
    const { transactions, connections, lent, abandoned, findings } = environment
    // Each open connection is idle in the pool, lent to a statement, or kept by the one transaction that is open on it.
    const open = connections.filter(connection => connection.isOpen())
    const owners = open.flatMap(({ owner }) => owner !== undefined && !lent.has(owner) ? [owner] : [])
    t.deepEqual(findings, [])
    t.is(owners.length, transactions.idleCount())
    t.deepEqual(owners.filter(owner => abandoned.has(owner)), [])
  }), { seed: 25, numRuns: 400 })
})

test('a transaction that is abandoned while its statement runs is rolled back after it', async t => {
  const { pool, transactions, connectionOf } = createEnvironment()
  transactions.register('session/1')
  const pooled = (await pool.acquire('yard-a', 10)).unwrap()
  connectionOf(pooled).owner = 'session/1'
  transactions.abandon('session/1')
  t.false(transactions.isRegistered('session/1'))
  transactions.keep('session/1', pooled)
  await new Promise(resolve => setImmediate(resolve))
  t.is(connectionOf(pooled).owner, undefined)
  t.is((await pool.acquire('yard-a', 10)).unwrap(), pooled)
})

test('a transaction does not run a statement of another workspace, and ends', async t => {
  const { pool, transactions, connectionOf } = createEnvironment()
  transactions.register('session/1')
  const pooled = (await pool.acquire('yard-a', 10)).unwrap()
  connectionOf(pooled).owner = 'session/1'
  transactions.keep('session/1', pooled)
  t.is(transactions.acquire('session/1', 'yard-b'), undefined)
  await new Promise(resolve => setImmediate(resolve))
  t.is(connectionOf(pooled).owner, undefined)
  t.is(transactions.acquire('session/1', 'yard-a'), undefined)
})
