/**
 * Guards against access across workspaces: through forged keys, routes and profiles, through requests of two
 * workspaces that share a connection, and through a route that is open to all.
 */
import test from 'ava'
import { createKey } from '@egretyoke/config'
import { readLog } from '@egretyoke/testbed'
import { connectRawCaller, executeRaw, openRawTransaction, outcomeOf, streamRaw } from './caller-streams.js'
import type { CallerFields } from './caller-streams.js'
import { eventually, startLocalFleet } from './local-fleet.js'
import type { LocalFleetOptions } from './local-fleet.js'

const interleavedRequests = 400

/** Gives each workspace a route that the other lacks, and the second also a route that is open to all. */
const addSeparateRoutes: LocalFleetOptions['edit'] = ({ workspaces }) => {
  for (const workspace of Object.values(workspaces)) {
    workspace.ratePerSec = 10_000
    workspace.burst = 10_000
  }
  const { write } = workspaces['yard-1'].routes
  workspaces['yard-1'].routes['only-1'] = write
  workspaces['yard-2'].routes['only-2'] = write
  workspaces['yard-2'].routes.open = { ...workspaces['yard-2'].routes.read, openToAll: true }
}

type Forgery = { name: string, fields: CallerFields, reasons: string[] }

const forgeries = (key: string, otherKey: string): Forgery[] => {
  const secret = key.slice(key.lastIndexOf('_') + 1)
  const routeRefusals = ['unknownRoute', 'keyRefused']
  const keyRefusals = ['keyMissing', 'keyRefused']
  const routes = [
    'only-2', 'yard-2/only-2', 'yard-2/write', 'yard-2/', '/only-2', '/', '', 'yard-1/only-2', 'yard-2/only-2/', '//',
    'yard-1/yard-2/only-2', '__proto__', 'constructor', 'toString', 'yard-1/__proto__', '__proto__/only-2',
    'constructor/prototype', 'yard-2/__proto__', 'yard-2/constructor', ' only-2', 'ONLY-2', 'only-2 ',
    '../yard-2/only-2'
  ]
  const keys: Array<string | undefined> = [
    undefined, '', 'ek', 'ek__', secret, `ek_yard-2-first_${secret}`, `ek_yard-1-first_${otherKey.slice(-43)}`,
    key.slice(0, -1), `${key}x`, key.toUpperCase(), `ek___proto___${secret}`, `ek_constructor_${secret}`,
    createKey('yard-1-first').text, `${key},${otherKey}`, 'x'.repeat(4_000)
  ]
  const profiles = ['nothing', '', '__proto__', 'constructor', 'hasOwnProperty']
  return [
    ...routes.map(route => ({ name: `route "${route}"`, fields: { route, key }, reasons: routeRefusals })),
    ...keys.map(forged => ({
      name: `key "${forged}"`, fields: { route: 'only-1', key: forged }, reasons: keyRefusals
    })),
    ...profiles.map(profile => ({
      name: `profile "${profile}"`, fields: { route: 'only-1', key, profile }, reasons: ['unknownProfile']
    }))
  ]
}

test('forged keys, routes and profiles run nothing, in statements, streams and transactions', async t => {
  const fleet = await startLocalFleet({ vmCount: 1, edit: addSeparateRoutes })
  const client = connectRawCaller(fleet.callerAddress('vm-1'))
  try {
    for (const { name, fields, reasons } of forgeries(fleet.keyOf('yard-1'), fleet.keyOf('yard-2'))) {
      const answer = outcomeOf(await executeRaw(client, fields, 'add berth 1 op=forged'))
      t.is(answer.kind, 'notRun', name)
      t.true(reasons.includes(answer.reason), `${name}: ${answer.reason}`)
      t.is(outcomeOf((await streamRaw(client, fields, 'scan berth rows=1')).end).kind, 'notRun', name)
      const transaction = openRawTransaction(client, fields)
      t.is(outcomeOf(await transaction.begin()).kind, 'notRun', name)
      await transaction.waitForEnd()
    }
    t.deepEqual(await readLog(fleet.databaseAddress('db-1')), [])
  } finally {
    client.close()
    await fleet.close()
  }
})

test('two workspaces interleaved on one connection use only their own routes', async t => {
  const fleet = await startLocalFleet({ vmCount: 1, edit: addSeparateRoutes })
  const client = connectRawCaller(fleet.callerAddress('vm-1'))
  const keys = [fleet.keyOf('yard-1'), fleet.keyOf('yard-2')]
  try {
    await eventually('the VM serves', async () =>
      outcomeOf(await executeRaw(client, { route: 'read', key: keys[0] }, 'get berth')).kind === 'done')
    await Promise.all(Array.from({ length: interleavedRequests }, async (_, index) => {
      const owner = index % 2
      const route = (index >> 1) % 2
      const answer = await executeRaw(client, { route: `only-${route + 1}`, key: keys[owner] },
        `add berth 1 op=${owner}-${route}-${index}`)
      const { kind, reason } = outcomeOf(answer)
      if (owner !== route) t.deepEqual({ kind, reason }, { kind: 'notRun', reason: 'unknownRoute' })
      else t.true(kind === 'done' || reason === 'concurrency', `${kind} ${reason}`)
    }))
    const loggedStatements = (await readLog(fleet.databaseAddress('db-1'))).flatMap(entry => entry.statements)
    t.true(loggedStatements.length > 0)
    t.true(loggedStatements.every(statement => /op=(0-0|1-1)-/.test(statement)))
  } finally {
    client.close()
    await fleet.close()
  }
})

test('a route that is open to all serves everybody and gives access to no other route', async t => {
  const fleet = await startLocalFleet({ vmCount: 1, edit: addSeparateRoutes })
  const client = connectRawCaller(fleet.callerAddress('vm-1'))
  const read = async (route: string, key?: string) => outcomeOf(await executeRaw(client, { route, key }, 'get berth'))
  try {
    const key = fleet.keyOf('yard-1')
    for (const usedKey of [undefined, 'garbage', key, fleet.keyOf('yard-2')]) {
      t.is((await read('yard-2/open', usedKey)).kind, 'done')
    }
    t.is((await read('open', key)).reason, 'unknownRoute')
    t.is((await read('open')).reason, 'keyMissing')
    t.is((await read('yard-2/read', key)).reason, 'keyRefused')
    t.is((await read('yard-2/read')).reason, 'keyMissing')
    t.is((await read('yard-1/open', key)).reason, 'unknownRoute')
    await fleet.applyConfiguration(draft => { draft.workspaces['yard-2'].routes.open.openToAll = false })
    await eventually('the route is closed', async () => (await read('yard-2/open')).reason === 'keyMissing')
    t.is((await read('yard-2/open', key)).reason, 'keyRefused')
    t.is((await read('yard-2/open', fleet.keyOf('yard-2'))).kind, 'done')
  } finally {
    client.close()
    await fleet.close()
  }
})
