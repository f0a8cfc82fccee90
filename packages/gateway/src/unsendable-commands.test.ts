/**
 * What a caller is told if a command for its statement cannot be sent: that nothing was kept, or nothing beyond that it
 * failed, and its next statements run as before.
 */
import test from 'ava'
import type { DatabaseCommand } from './coordination/connections/database-connection.js'
import { closeMemoryFleets, openTestSession, read, startMemoryFleet, write } from './testing/memory-fleet.js'

test.after.always(closeMemoryFleets)

const kinds: ReadonlyArray<DatabaseCommand['kind']> = ['set', 'text']

for (const kind of kinds) {
  test(`a single statement whose ${kind} cannot be sent fails, and has not run`, async t => {
    const fleet = await startMemoryFleet(1)
    const session = openTestSession(fleet.gateways[0], 'slots')
    await session.send({ kind: 'set', name: 'zone', value: 'quay' })
    fleet.group.isSendable = command => command.kind !== kind
    for (const statement of [read('1'), write('1')]) t.is((await session.send(statement)).error, 'failed')
    t.deepEqual(fleet.group.executed, [])
    fleet.group.isSendable = () => true
    t.is((await session.send(write('2'))).error, undefined)
    t.deepEqual(fleet.group.executed.map(({ text, values }) => [text, values]), [['WRITE 2 x', { zone: 'quay' }]])
    await fleet.close()
  })
}

for (const kind of ['begin', 'text', 'commit'] as const) {
  test(`a transaction whose ${kind} cannot be sent is rolled back, and nothing of it is kept`, async t => {
    const fleet = await startMemoryFleet(1)
    const session = openTestSession(fleet.gateways[0], 'slots')
    await session.send({ kind: 'begin', readOnly: false })
    if (kind !== 'begin') t.is((await session.send(write('1'))).error, undefined)
    fleet.group.isSendable = command => command.kind !== kind
    const answer = await session.send(kind === 'commit' ? { kind: 'commit' } : write('2'))
    t.is(answer.error, 'aborted')
    fleet.group.isSendable = () => true
    await session.send({ kind: 'rollback' })
    t.deepEqual(fleet.group.databases.get('db-1')?.log, [])
    const next = await session.send(write('3'))
    t.deepEqual([next.error, next.transaction], [undefined, 'none'])
    t.is(fleet.group.databases.get('db-1')?.log.length, 1)
    await fleet.close()
  })
}
