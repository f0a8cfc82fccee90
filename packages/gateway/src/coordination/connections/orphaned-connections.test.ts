/**
 * Connections of holders that were lost, in virtual time.
 */
import { Ok } from '@egretyoke/common'
import test from 'ava'
import { createOrphanedConnections, lingerMs, recordConnections } from './orphaned-connections.js'
import { notRun } from '../sessions/statement.js'
import type { RelayReply } from '../routing/relay-calls.js'
import type { Member } from '../../state/stored-records.js'

const createRecord = () => {
  const time = { nowMs: 0 }
  const lost = new Set<string>()
  const left = createOrphanedConnections({ isAlive: holder => !lost.has(holder), nowMs: () => time.nowMs })
  return { time, lost, left }
}

test('the connections of a lost holder count until the database notices the loss', t => {
  const { time, lost, left } = createRecord()
  left.observe('vm-1', 'db-1', 30)
  left.observe('vm-1', 'db-2', 5)
  left.observe('vm-2', 'db-1', 4)
  t.is(left.countAt('db-1'), 0)
  lost.add('vm-1')
  t.is(left.countAt('db-1'), 30)
  lost.add('vm-2')
  t.is(left.countAt('db-1'), 34)
  time.nowMs = lingerMs - 1
  t.is(left.countAt('db-1'), 34)
  time.nowMs = lingerMs
  t.is(left.countAt('db-1'), 0)
})

// Guards against a record that grows with every VM and database that a fleet has ever had.
test('holders and databases that were observed long before many others are forgotten', t => {
  const { lost, left } = createRecord()
  lost.add('vm-0')
  for (let number = 0; number <= 64; number++) left.observe(`vm-${number}`, 'db-0', 10)
  t.is(left.countAt('db-0'), 0)
  lost.add('vm-64')
  t.is(left.countAt('db-0'), 10)
  for (let number = 1; number <= 1024; number++) left.observe('vm-1', `db-${number}`, 10)
  t.is(left.countAt('db-0'), 0)
})

test('a holder that replies again, or was lost long ago, has left nothing', t => {
  const { time, lost, left } = createRecord()
  left.observe('vm-1', 'db-1', 30)
  lost.add('vm-1')
  t.is(left.countAt('db-1'), 30)
  lost.delete('vm-1')
  t.is(left.countAt('db-1'), 0)
  time.nowMs = 60_000
  lost.add('vm-1')
  t.is(left.countAt('db-1'), 0)
})

const replyWith = (connectionsLeft: number | undefined): RelayReply => {
  const databaseLoad = connectionsLeft === undefined
    ? null
    : { slots: 4, pace: 4, inFlight: 0, queued: [0, 0, 0], serviceMs: 6, position: '', connectionsLeft, ageMs: 0 }
  return { statement: { ...notRun('busy'), databaseLoad } } as RelayReply
}

test('the connections are taken from the replies of holders, except those of the previous version', async t => {
  const { lost, left } = createRecord()
  let reply = replyWith(14)
  const call = recordConnections(async () => Ok(reply), left, () => 56)
  const send = async (name: string) => await call({ name } as Member, { run: { group: 'g', database: 'db-1' } }, 100)
  await send('vm-1')
  reply = replyWith(undefined)
  t.is((await send('vm-2')).unwrap(), reply)
  for (const name of ['vm-1', 'vm-2']) lost.add(name)
  t.is(left.countAt('db-1'), 42)
})
