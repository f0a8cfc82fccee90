/**
 * One statement on one connection: the session state that is tracked after its setup.
 */
import test from 'ava'
import { Ok } from '@egretyoke/common'
import { writeRequest } from '../../testing/holder-environment.js'
import { createConnectionPool } from './connection-pool.js'
import type { DatabaseCommand, DatabaseConnection, DatabaseReply } from './database-connection.js'
import { runOnConnection } from './run-on-connection.js'

const done: DatabaseReply =
  { outcome: 'done', message: '', rows: [], signature: 's.1', position: '', transaction: 'none' }

/** A pooled connection whose database keeps session values and declines the commands for which `isDeclined` is true. */
const openConnection = async (isDeclined: (command: DatabaseCommand) => boolean) => {
  const values = new Map<string, string>()
  const apply = (command: DatabaseCommand): DatabaseReply => {
    if (isDeclined(command)) return { ...done, outcome: 'declined', declineReason: 'busy' }
    if (command.kind === 'set') values.set(command.name, command.value)
    if (command.kind === 'reset') values.clear()
    return done
  }
  const connection: DatabaseConnection = {
    run: async commands => commands.map(apply),
    runControl: async () => { throw new Error('no control commands') },
    isOpen: () => true,
    onClosed: () => {},
    close: () => {}
  }
  const pool = createConnectionPool({ connect: async () => Ok(connection), maxConnections: () => 1, nowMs: () => 0 })
  const pooled = (await pool.acquire('yard-a', 100)).unwrap()
  return { pooled, values }
}

const request = writeRequest({ values: [{ name: 'zone', value: 'quay' }, { name: 'lang', value: 'es' }] })

// Guards against a value that is set behind a declined command and is not tracked.
test('a value set behind a declined setup command does not reach the next session', async t => {
  let declinesZone = true
  const { pooled, values } = await openConnection(command =>
    declinesZone && command.kind === 'set' && command.name === 'zone')
  const { outcome: declined } = await runOnConnection(pooled, request, '', 1000, () => {})
  t.deepEqual([declined.status, declined.reason], ['NOT_RUN', 'busy'])
  const variables = [...values].map(([name, value]) => ({ name, value }))
  t.deepEqual(variables, [{ name: 'lang', value: 'es' }])
  t.deepEqual(request.values.filter(pooled.values.has), variables)
  declinesZone = false
  t.is((await runOnConnection(pooled, writeRequest({}), '', 1000, () => {})).outcome.status, 'DONE')
  t.deepEqual([...values], [])
})

// Guards against a name that stays prepared at the database while the record has another name for the statement.
test('a connection whose RESET is declined is kept unless a statement was prepared behind it', async t => {
  let declinesReset = false
  const { pooled } = await openConnection(({ kind }) => declinesReset && kind === 'reset')
  const execute = { verb: 'EXECUTE' as const, shape: 'q2b', shapeAccess: 'WRITE' as const, text: '1a4' }
  await runOnConnection(pooled, { ...request, ...execute }, '', 1000, () => {})
  declinesReset = true
  const plain = await runOnConnection(pooled, writeRequest({}), '', 1000, () => {})
  t.like(plain, { outcome: { status: 'NOT_RUN', reason: 'busy' }, isReusable: true })
  const prepared = await runOnConnection(pooled, writeRequest(execute), '', 1000, () => {})
  t.like(prepared, { outcome: { status: 'NOT_RUN', reason: 'busy' }, isReusable: false })
})

// Guards against a connection that is opened anew for each statement whose time has run out.
test('a connection on which the statement was not sent for lack of time is kept, with its transaction', async t => {
  const { pooled } = await openConnection(() => false)
  const late = await runOnConnection(pooled, writeRequest({}), '', 0, () => {})
  t.like(late, { outcome: { status: 'NOT_RUN', reason: 'silent' }, isReusable: true, transaction: 'none' })
  const continued = await runOnConnection(pooled, writeRequest({ transaction: 'CONTINUE' }), '', 0, () => {})
  t.like(continued, { isReusable: true, transaction: 'open' })
})
