/**
 * Names of workspaces: callers without a key share nothing with a workspace, whatever its name.
 */
import test from 'ava'
import {
  closeMemoryFleets, openTestSession, standardConfiguration, startMemoryFleet, waitUntil, write
} from '../../testing/memory-fleet.js'
import { workspaceNameOf } from './session-identity.js'

test.after.always(closeMemoryFleets)

const openRoutes = standardConfiguration.routes.map(route => ({ ...route, openToAll: true }))
const [yardA, yardB] = standardConfiguration.workspaces
const dashConfiguration = { ...standardConfiguration, routes: openRoutes, workspaces: [{ ...yardA, name: '-' }, yardB] }

test('a workspace named - and callers without a key have different names, and other names are unchanged', t => {
  const workspace = { name: '-', ratePerSec: 1, burst: 1, homeRegions: [] }
  t.is(workspaceNameOf({ workspace: undefined }), '-')
  t.not(workspaceNameOf({ workspace }), '-')
  // No name of a workspace that databases can be told contains a blank.
  t.regex(workspaceNameOf({ workspace }), / /)
  for (const name of ['--', 'yard-a', '']) t.is(workspaceNameOf({ workspace: { ...workspace, name } }), name)
})

test('a workspace named - shares no connection with keyless callers, and databases are told - for both', async t => {
  const fleet = await startMemoryFleet(2, dashConfiguration)
  for (const key of ['key-a', '', 'key-a', '']) {
    const answer = await openTestSession(fleet.gateways[1], 'slots', key).send(write('1'))
    t.is(answer.error, undefined)
  }
  const { executed } = fleet.group
  t.deepEqual(executed.map(({ workspace }) => workspace), ['-', '-', '-', '-'])
  const connectionsAt = (indexes: number[]) => indexes.map(index => executed[index].connection)
  t.is(new Set(connectionsAt([0, 2])).size, 1)
  t.is(new Set(connectionsAt([1, 3])).size, 1)
  t.is(new Set(connectionsAt([0, 1])).size, 2)
  await fleet.close()
})

// Guards against a withdrawn key whose open transaction goes on as one of a caller without a key.
test('a transaction of a workspace named - ends when its key is withdrawn, on a route that is open to all', async t => {
  const fleet = await startMemoryFleet(1, dashConfiguration)
  const session = openTestSession(fleet.gateways[0], 'slots', 'key-a')
  await session.send({ kind: 'begin', readOnly: false })
  t.is((await session.send(write('1'))).error, undefined)
  fleet.configure({ workspaces: [yardB] })
  const statements = () => fleet.group.executed.length
  const before = statements()
  await waitUntil(() => fleet.events.filter(({ name }) => name === 'configurationInForce').length > 1)
  t.not((await session.send(write('2'))).error, undefined)
  t.is(statements(), before)
  await fleet.close()
})
