/**
 * Guards against a caller's key that leaks to an endpoint or into a log, in plain text or in an encoding of its
 * bytes. All programs write their debug logs, and the databases record every byte that they receive.
 */
import test from 'ava'
import { createKey } from '@egretyoke/config'
import { createCaller, smallFleet, startFleet } from '@egretyoke/testbed'
import { connectRawCaller, executeRaw, openRawTransaction, outcomeOf, streamRaw } from './caller-streams.js'
import { findKey } from './key-finder.js'
import { eventually } from './local-fleet.js'

test('the key finder finds a key in every encoding', t => {
  const { text } = createKey('yard-1')
  const secret = text.slice(text.lastIndexOf('_') + 1)
  const haystacks = [text, secret].flatMap(part => [
    part,
    Buffer.from(part).toString('hex'),
    Buffer.from(part).toString('base64'),
    Buffer.from(`a${part}b`).toString('base64'),
    Buffer.from(`ab${part}cd`).toString('base64url'),
    JSON.stringify(Buffer.from(part))
  ])
  for (const haystack of haystacks) t.not(findKey(text, `before ${haystack} after`).length, 0, haystack)
  t.deepEqual(findKey(text, createKey('yard-1').text), [])
})

test('no endpoint receives a caller\'s key, and no process writes it to its log', async t => {
  const fleet = await startFleet(smallFleet(2), { record: true, debug: 'egretyoke:*' })
  const caller = createCaller(fleet.callerAddresses())
  const client = connectRawCaller(fleet.callerAddress('vm-1'))
  try {
    const key = fleet.keyOf('yard-1')
    const badKey = createKey('yard-1-first').text
    const withdrawnKey = await fleet.createKey('yard-1', 'second')
    for (const vm of [0, 1]) {
      for (const usedKey of [key, badKey, withdrawnKey]) {
        await caller.execute(vm, { key: usedKey, route: 'write', statement: 'add berth 1 op=key' })
        await caller.execute(vm, { key: usedKey, route: 'read', statement: 'get berth' })
        await caller.execute(vm, { key: usedKey, route: 'board', statement: 'get berth' })
        await caller.execute(vm, { key: usedKey, route: 'nowhere', statement: 'get berth' })
        await caller.execute(vm, { key: usedKey, route: 'write', statement: 'nonsense' })
      }
    }
    await streamRaw(client, { route: 'read', key }, 'scan berth rows=300')
    await eventually('every database has run a statement', async () => {
      await Promise.all(Array.from({ length: 10 }, () =>
        executeRaw(client, { route: 'read', key, isNewSession: true }, 'get berth')))
      const stats = await Promise.all(fleet.databaseNames().map(name => fleet.readDatabaseStats(name)))
      return stats.every(({ statements }) => statements > 0)
    })
    const transaction = openRawTransaction(client, { route: 'write', key })
    await transaction.begin()
    await transaction.execute('add berth 1 op=transaction')
    t.is(outcomeOf(await transaction.commit()).kind, 'done')
    await fleet.applyConfiguration(draft => { draft.workspaces['yard-1'].keys.second.state = 'withdrawn' })
    await executeRaw(client, { route: 'write', key: withdrawnKey }, 'add berth 1 op=withdrawn')
    for (const database of fleet.databaseNames()) {
      const { recorded } = await fleet.readDatabaseStats(database)
      t.true(recorded.length > 0, `${database} recorded nothing`)
      for (const usedKey of [key, badKey, withdrawnKey]) {
        t.deepEqual(findKey(usedKey, recorded.toString('latin1')), [], database)
      }
    }
    for (const program of fleet.programNames()) {
      for (const usedKey of [key, badKey, withdrawnKey]) t.deepEqual(findKey(usedKey, fleet.logs(program)), [], program)
    }
    t.true(fleet.logs('vm-1').includes('routed'), 'the logs contain routing decisions')
  } finally {
    client.close()
    caller.close()
    await fleet.close()
  }
})
