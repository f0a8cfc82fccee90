/**
 * Sessions over a small fleet: statements, transactions, session values and prepared statements as a caller sees them.
 */
import { sleepMs } from '@egretyoke/common'
import test from 'ava'
import {
  closeMemoryFleets, openTestSession, read, standardConfiguration, startMemoryFleet, waitUntil, write
} from './testing/memory-fleet.js'
import type { MemoryFleet } from './testing/memory-fleet.js'

test.after.always(closeMemoryFleets)

test('a statement is answered with the rows and the signature of a database', async t => {
  const fleet = await startMemoryFleet(2)
  const session = openTestSession(fleet.gateways[0], 'boards')
  const answer = await session.send(read('7'))
  t.is(answer.error, undefined)
  t.deepEqual(answer.rows, ['row of READ 7'])
  t.is(answer.signature, `signed ${session.lastRequest()}`)
  t.is(fleet.group.executed[0].text, 'READ 7')
  await fleet.close()
})

test('databases receive the workspace of the key, never the key', async t => {
  const fleet = await startMemoryFleet(2)
  await openTestSession(fleet.gateways[1], 'slots', 'key-b').send(write('1'))
  t.deepEqual(fleet.group.executed.map(({ workspace }) => workspace), ['yard-b'])
  t.false(JSON.stringify([fleet.group.executed, fleet.events]).includes('key-b'))
  await fleet.close()
})

test('a transaction keeps one connection, and the session values are set on it', async t => {
  const fleet = await startMemoryFleet(3)
  const session = openTestSession(fleet.gateways[1], 'slots')
  const other = openTestSession(fleet.gateways[2], 'slots')
  await session.send({ kind: 'set', name: 'zone', value: 'quay' })
  t.is((await session.send({ kind: 'begin', readOnly: false })).transaction, 'open')
  await session.send(write('1'))
  await Promise.all([other.send(read('2')), session.send(write('3'))])
  t.is((await session.send({ kind: 'commit' })).error, undefined)
  const own = fleet.group.executed.filter(({ inTransaction }) => inTransaction)
  t.is(new Set(own.map(({ connection }) => connection)).size, 1)
  t.deepEqual(own.map(({ values }) => values), [{ zone: 'quay' }, { zone: 'quay' }])
  t.false(fleet.group.executed.some(({ text, connection }) => text === 'READ 2' && connection === own[0].connection))
  await fleet.close()
})

test('the next session on a connection does not see the values of the previous session', async t => {
  const fleet = await startMemoryFleet(1)
  const first = openTestSession(fleet.gateways[0], 'slots')
  await first.send({ kind: 'set', name: 'zone', value: 'quay' })
  await first.send(write('1'))
  await openTestSession(fleet.gateways[0], 'slots').send(write('2'))
  const [one, other] = fleet.group.executed
  t.is(one.connection, other.connection)
  t.deepEqual([one.values, other.values], [{ zone: 'quay' }, {}])
  await fleet.close()
})

test('the line of a routed statement names the connection at its holder and the prepared name', async t => {
  const fleet = await startMemoryFleet(3)
  for (const gateway of fleet.gateways) {
    const session = openTestSession(gateway, 'slots')
    await session.send({ kind: 'prepare', name: 's1', access: 'write', shape: 'q2c' })
    t.is((await session.send({ kind: 'execute', name: 's1', operands: '7' })).error, undefined)
  }
  const named = (name: string) => fleet.events.filter(event => event.name === name)
  const [prepared] = named('statementPrepared')
  t.is(named('statementPrepared').length, 1)
  t.is(prepared?.fields.prepared, 'p1')
  t.deepEqual(
    named('statementRouted').map(({ fields }) => [fields.holder, fields.connection, fields.prepared]),
    Array(3).fill([prepared?.gateway, prepared?.fields.connection, 'p1'])
  )
  const metrics = await Promise.all(fleet.gateways.map(({ gateway }) => gateway.registry.metrics()))
  t.is(metrics.filter(text => text.includes('egretyoke_statements_prepared_total 1')).length, 1)
  await fleet.close()
})

test('prepared statements of two sessions do not collide on a shared connection', async t => {
  const fleet = await startMemoryFleet(1)
  const one = openTestSession(fleet.gateways[0], 'slots')
  const other = openTestSession(fleet.gateways[0], 'slots')
  await one.send({ kind: 'prepare', name: 's1', access: 'write', shape: 'q2c' })
  await other.send({ kind: 'prepare', name: 's1', access: 'read', shape: 'q9' })
  await one.send({ kind: 'execute', name: 's1', operands: '1 x' })
  await other.send({ kind: 'execute', name: 's1', operands: '2' })
  t.deepEqual(fleet.group.executed.map(({ text }) => text), ['write_q2c 1 x', 'read_q9 2'])
  await other.send({ kind: 'deallocate', name: 's1' })
  t.is((await other.send({ kind: 'execute', name: 's1', operands: '2' })).error, 'noSuchStatement')
  await fleet.close()
})

test('a failed transaction accepts only commit or rollback, and commit keeps none of its writes', async t => {
  const fleet = await startMemoryFleet(1)
  const session = openTestSession(fleet.gateways[0], 'slots')
  await session.send({ kind: 'begin', readOnly: true })
  t.is((await session.send(write('1'))).error, 'aborted')
  t.is((await session.send(read('1'))).error, 'malformed')
  const end = await session.send({ kind: 'commit' })
  t.deepEqual([end.error, end.transaction, end.signature], ['aborted', 'none', ''])
  t.is(fleet.group.databases.get('db-1')?.log.length, 0)
  await fleet.close()
})

test('a transaction is rolled back when its caller disconnects', async t => {
  const fleet = await startMemoryFleet(2)
  const session = openTestSession(fleet.gateways[1], 'slots')
  await session.send({ kind: 'begin', readOnly: false })
  await session.send(write('1'))
  session.close()
  await openTestSession(fleet.gateways[0], 'slots').send(write('2'))
  await waitUntil(() => fleet.group.databases.get('db-1')?.log.length === 1)
  t.pass()
  await fleet.close()
})

test('a transaction that is idle too long is rolled back, and its caller gets the error aborted', async t => {
  const fleet = await startMemoryFleet(1)
  const session = openTestSession(fleet.gateways[0], 'slots')
  await session.send({ kind: 'begin', readOnly: false })
  await session.send(write('1'))
  await waitUntil(() => fleet.events.some(({ name }) => name === 'idleTransactionEnded'))
  t.is((await session.send(write('2'))).error, 'aborted')
  t.is(fleet.group.databases.get('db-1')?.log.length, 0)
  await fleet.close()
})

/** Resolves once all gateways have activated the version. */
const waitUntilConfigured = async (fleet: MemoryFleet, version: number) => await waitUntil(() =>
  fleet.gateways.every(each => fleet.events.some(({ gateway, name, fields }) =>
    gateway === each.name && name === 'configurationInForce' && fields.version === version)))

// Guards against a transaction that goes on for a workspace that no longer holds the caller's key.
const begunTransactions = { 'after its first statement': [write('1')], 'before its first statement': [] }
for (const [title, begun] of Object.entries(begunTransactions)) {
  test(`a transaction is aborted when its key moves to another workspace ${title}`, async t => {
    const fleet = await startMemoryFleet(2)
    const session = openTestSession(fleet.gateways[1], 'slots')
    const [first, second] = standardConfiguration.workspaces
    await session.send({ kind: 'begin', readOnly: false })
    for (const statement of begun) t.is((await session.send(statement)).error, undefined)
    fleet.configure({ workspaces: [{ ...first, keys: [] }, { ...second, keys: ['key-a', 'key-b'] }] })
    await waitUntilConfigured(fleet, 2)
    const answer = await session.send(read('1'))
    t.deepEqual([answer.error, answer.transaction], ['aborted', 'failed'])
    t.is((await session.send({ kind: 'commit' })).error, 'aborted')
    t.is((await session.send(write('2'))).error, undefined)
    t.deepEqual(fleet.group.executed.map(({ workspace }) => workspace), [...begun.map(() => 'yard-a'), 'yard-b'])
    t.is(fleet.group.databases.get('db-1')?.log.length, 1)
    await fleet.close()
  })
}

test('a transaction whose key has moved to another workspace is not committed', async t => {
  const fleet = await startMemoryFleet(1)
  const session = openTestSession(fleet.gateways[0], 'slots')
  const [first, second] = standardConfiguration.workspaces
  await session.send({ kind: 'begin', readOnly: false })
  await session.send(write('1'))
  fleet.configure({ workspaces: [{ ...first, keys: [] }, { ...second, keys: ['key-a', 'key-b'] }] })
  await waitUntilConfigured(fleet, 2)
  const answer = await session.send({ kind: 'commit' })
  t.deepEqual([answer.error, answer.transaction], ['aborted', 'none'])
  t.is(fleet.group.databases.get('db-1')?.log.length, 0)
  await fleet.close()
})

// Guards against a late first statement of an aborted transaction that takes the place of the session's next one.
/** Reads at the primary until a read has run through the first gateway, so that the second one's link to it is open. */
const openLinkToHolder = async (fleet: MemoryFleet) => {
  const hasRunThere = () => {
    const routed = fleet.events.findLast(({ name }) => name === 'statementRouted')
    return routed?.fields['holder'] === 'vm-1' && routed.fields['status'] === 'DONE'
  }
  for (let attempt = 0; attempt < 20 && !hasRunThere(); attempt++) {
    await openTestSession(fleet.gateways[1], 'slots', 'key-b').send(read('0'))
  }
  return hasRunThere()
}

// Runs alone, because its statements have 500 ms, of which the start of other fleets in this process would take a part.
test.serial('a first statement that runs late has no effect on the next transaction of its session', async t => {
  const routes = standardConfiguration.routes.map(route => ({ ...route, timeoutMs: 500 }))
  const fleet = await startMemoryFleet(2, { ...standardConfiguration, routes })
  const primary = fleet.group.databases.get('db-1')!
  // Without an open link, the first statement might not be sent, and the delays would apply to the next one.
  t.true(await openLinkToHolder(fleet))
  const session = openTestSession(fleet.gateways[1], 'slots')
  const isLateCommand = [true]
  const isLateConnection = [true]
  primary.connectDelayMs = workspace => workspace === 'yard-a' && isLateConnection.pop() ? 300 : 0
  primary.replyDelayMs = ({ kind }) => kind === 'begin' && isLateCommand.pop() ? 450 : 0

  await session.send({ kind: 'begin', readOnly: false })
  t.is((await session.send(write('1'))).error, 'aborted')
  const abortedId = session.lastRequest()
  t.deepEqual(isLateConnection, [])
  // Only the aborted statement is late, also if its time ended before its transaction was begun.
  primary.replyDelayMs = () => 0
  await session.send({ kind: 'rollback' })
  await session.send({ kind: 'begin', readOnly: false })
  const writtenIds: string[] = []
  for (const item of ['2', '3']) {
    t.is((await session.send(write(item))).error, undefined)
    writtenIds.push(session.lastRequest())
    await sleepMs(250)
  }
  t.is((await session.send({ kind: 'commit' })).error, undefined)
  const executedIds = (connection?: number) => fleet.group.executed
    .filter(statement => connection === undefined || statement.connection === connection)
    .map(({ requestId }) => requestId)
  const own = fleet.group.executed.find(({ requestId }) => requestId === writtenIds[0])
  t.deepEqual(executedIds(own?.connection), writtenIds)
  t.deepEqual(primary.log.map(({ requestId }) => requestId), writtenIds.map(() => session.lastRequest()))
  t.false(executedIds(own?.connection).includes(abortedId))
  await fleet.close()
})

test('a first statement of a transaction that may have run is not retried in a second transaction', async t => {
  const fleet = await startMemoryFleet(2)
  const session = openTestSession(fleet.gateways[0], 'ledger')
  for (const database of fleet.group.databases.values()) database.dropsReplies = true
  await session.send({ kind: 'begin', readOnly: true })
  t.is((await session.send(read('1'))).error, 'aborted')
  t.is(fleet.group.executed.filter(({ requestId }) => requestId === session.lastRequest()).length, 1)
  await fleet.close()
})

test('a first statement of a transaction is not retried when the group record changed while it ran', async t => {
  const fleet = await startMemoryFleet(1)
  const session = openTestSession(fleet.gateways[0], 'slots')
  await session.send(write('0'))
  let end = () => {}
  const mayEnd = new Promise<void>(resolve => { end = resolve })
  for (const database of fleet.group.databases.values()) database.mayEnd = mayEnd
  await session.send({ kind: 'begin', readOnly: false })
  const sending = session.send(write('1'))
  await waitUntil(() => [...fleet.group.databases.values()].some(({ running }) => running > 0))
  const key = 'egretyoke/group/bookings'
  fleet.store.put(key, { ...fleet.store.read(key) as object, users: [] })
  // The gateway applies changes in their order, so it knows the record once the next change is in force.
  fleet.configure({ version: 2 })
  const isInForce = () => fleet.events.some(({ name, fields }) =>
    name === 'configurationInForce' && fields.version === 2)
  await waitUntil(isInForce)
  end()
  t.is((await sending).error, 'aborted')
  t.is(fleet.group.executed.filter(({ requestId }) => requestId === session.lastRequest()).length, 1)
  await fleet.close()
})

test('a write whose reply is lost is in doubt; a read is retried at another database', async t => {
  const fleet = await startMemoryFleet(1)
  const primary = fleet.group.databases.get('db-1')!
  const session = openTestSession(fleet.gateways[0], 'ledger')
  await session.send(write('1'))
  primary.dropsReplies = true
  const [written, readAnswer] = [await session.send(write('2')), await session.send(read('3'))]
  t.is(written.error, 'inDoubt')
  t.is(readAnswer.error, undefined)
  t.is(fleet.group.executed.filter(({ text }) => text === 'WRITE 2 x').length, 1)
  await fleet.close()
})

test('an unknown key and an unknown database are refused with their own errors', async t => {
  const fleet = await startMemoryFleet(1)
  const [{ gateway }] = fleet.gateways
  t.is(gateway.openSession('slots', 'no-key'), 'keyUnknown')
  t.is(gateway.openSession('nothing', 'key-a'), 'noSuchDatabase')
  await fleet.close()
})

test('a withdrawn key ends the sessions that are open under it', async t => {
  const fleet = await startMemoryFleet(2)
  const session = openTestSession(fleet.gateways[1], 'slots')
  await session.send({ kind: 'begin', readOnly: false })
  await session.send(write('1'))
  fleet.configure({ workspaces: standardConfiguration.workspaces.map(workspace => ({ ...workspace, keys: [] })) })
  await waitUntil(() => !session.isAllowed())
  const answer = await session.send(write('2'))
  t.deepEqual([answer.error, answer.endsSession], ['keyUnknown', true])
  t.deepEqual(fleet.group.executed.map(({ text }) => text), ['WRITE 1 x'])
  await fleet.close()
})

test('a removed route serves the open transaction and no statement after it', async t => {
  const fleet = await startMemoryFleet(1)
  const session = openTestSession(fleet.gateways[0], 'slots')
  await session.send({ kind: 'begin', readOnly: false })
  await session.send(write('1'))
  fleet.configure({ routes: standardConfiguration.routes.filter(({ database }) => database !== 'slots') })
  await waitUntil(() => typeof fleet.gateways[0].gateway.openSession('slots', 'key-a') === 'string')
  t.is((await session.send({ kind: 'commit' })).error, undefined)
  t.is((await session.send(write('2'))).error, 'noSuchDatabase')
  await fleet.close()
})

test('a session reads its own write, also while the replicas lag', async t => {
  const fleet = await startMemoryFleet(3)
  fleet.group.isReplicationPaused = true
  const session = openTestSession(fleet.gateways[2], 'ledger')
  await session.send(write('1'))
  t.is((await session.send(read('1'))).error, undefined)
  t.is(fleet.group.executed.find(({ text }) => text === 'READ 1')?.database, 'db-1')
  await fleet.close()
})

test('a read does not run at a replica that lacks a commit older than the route\'s maximum staleness', async t => {
  const fleet = await startMemoryFleet(3)
  fleet.group.isReplicationPaused = true
  await openTestSession(fleet.gateways[0], 'slots').send(write('1'))
  await new Promise(resolve => setTimeout(resolve, 1600))
  t.is((await openTestSession(fleet.gateways[1], 'boards').send(read('1'))).error, undefined)
  t.is(fleet.group.executed.find(({ text }) => text === 'READ 1')?.database, 'db-1')
  await fleet.close()
})

test('a workspace without tokens is refused, and none of its statements runs', async t => {
  const [workspace] = standardConfiguration.workspaces
  const fleet = await startMemoryFleet(2, {
    ...standardConfiguration, workspaces: [{ ...workspace, ratePerSec: 0, burst: 0 }]
  })
  const session = openTestSession(fleet.gateways[0], 'slots')
  t.is((await session.send(write('1'))).error, 'refused')
  t.is((await session.send({ kind: 'begin', readOnly: false })).error, 'refused')
  t.deepEqual(fleet.group.executed, [])
  await fleet.close()
})

/** Routes whose statements may wait for as long as their timeout permits. */
const patientConfiguration = {
  ...standardConfiguration,
  routes: standardConfiguration.routes.map(route => ({ ...route, targetLatencyMs: 2000 }))
}

// Guards against callers that are told the same time, or one before which the database cannot serve them.
test('a refusal at a full database names the time until it could be served, also through another gateway', async t => {
  const fleet = await startMemoryFleet(2)
  fleet.group.databases.get('db-1')!.statementMs = 200
  const sessions = Array.from({ length: 40 }, () => openTestSession(fleet.gateways[1], 'slots'))
  for (let statement = 0; statement < 3; statement++) await sessions[0].send(write('1'))
  const answers = await Promise.all(sessions.map(session => session.send(write('2'))))
  const delaysMs = answers.flatMap(({ error, message }) =>
    error === 'refused' ? Number(/retry after (\d+) ms$/.exec(message)?.[1]) : [])
  t.true(delaysMs.length >= 10, `${delaysMs.length}`)
  t.true(new Set(delaysMs).size > delaysMs.length / 2 && Math.min(...delaysMs) >= 500, delaysMs.join())
  await fleet.close()
})

test('a statement that a full database cannot run in time is refused when it arrives, not after a wait', async t => {
  const fleet = await startMemoryFleet(1, patientConfiguration)
  fleet.group.databases.get('db-1')!.statementMs = 200
  const sessions = Array.from({ length: 40 }, () => openTestSession(fleet.gateways[0], 'slots'))
  // The gateway learns how long statements take.
  for (let statement = 0; statement < 12; statement++) await sessions[0].send(write('1'))
  const startedAtMs = performance.now()
  const refusedAfterMs: number[] = []
  const answers = await Promise.all(sessions.map(async session => {
    const answer = await session.send(write('2'))
    if (answer.error === 'refused') refusedAfterMs.push(performance.now() - startedAtMs)
    return answer
  }))
  t.true(refusedAfterMs.filter(ms => ms < 300).length >= 10, refusedAfterMs.map(Math.round).join())
  t.true(answers.filter(({ error }) => error === undefined).length >= 10)
  await fleet.close()
})

test('state that no statement could carry is refused before it is acknowledged, and the session goes on', async t => {
  const fleet = await startMemoryFleet(1)
  const session = openTestSession(fleet.gateways[0], 'slots')
  const part = 'x'.repeat(1_000_000)
  const set = async (name: string) => await session.send({ kind: 'set', name, value: part })
  t.is((await set('a')).error, undefined)
  t.is((await set('b')).error, undefined)
  t.like(await set('c'), { error: 'refused', message: 'the state of this session would be too large' })
  const prepare = (shape: string) => session.send({ kind: 'prepare', name: 's1', access: 'write', shape })
  t.like(await prepare('x'.repeat(1024 * 1024 - 30)), { error: 'refused', message: 'too large' })
  t.is((await session.send({ kind: 'execute', name: 's1', operands: '1' })).error, 'noSuchStatement')
  t.is((await session.send(write('1'))).error, undefined)
  t.deepEqual(fleet.group.executed.at(-1)?.values, { a: part, b: part })
  await fleet.close()
})
