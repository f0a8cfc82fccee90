/**
 * Home regions: the data of a route or workspace must not leave the regions that are configured for it.
 */
import test from 'ava'
import {
  closeMemoryFleets, openTestSession, read, standardConfiguration, startMemoryFleet, write
} from './testing/memory-fleet.js'

test.after.always(closeMemoryFleets)

const withHomeRegions = (routeRegions: string[], workspaceRegions: string[]) => ({
  ...standardConfiguration,
  routes: standardConfiguration.routes.map(route => ({ ...route, homeRegions: routeRegions })),
  workspaces: standardConfiguration.workspaces.map(workspace => ({ ...workspace, homeRegions: workspaceRegions }))
})

const dataCentreOf: Record<string, string> = { 'db-1': 'dc-1', 'db-2': 'dc-2', 'db-3': 'dc-3' }

test('statements run only in the home regions of their route, whichever gateway receives them', async t => {
  const fleet = await startMemoryFleet(3, withHomeRegions(['south'], []))
  for (const gateway of fleet.gateways) {
    t.is((await openTestSession(gateway, 'boards').send(read('1'))).error, undefined)
  }
  t.deepEqual([...new Set(fleet.group.executed.map(({ database }) => dataCentreOf[database]))], ['dc-2'])
  const holders = fleet.events.filter(({ name }) => name === 'statementRouted').map(({ fields }) => fields.holder)
  // Only the gateway that received the request and gateways in the home region may see it.
  t.true(holders.every(holder => holder === 'vm-2'), holders.join())
  await fleet.close()
})

test('where route and workspace both have home regions, a statement runs only in regions common to both', async t => {
  const fleet = await startMemoryFleet(3, withHomeRegions(['south', 'west'], ['west', 'north']))
  t.is((await openTestSession(fleet.gateways[0], 'boards').send(read('1'))).error, undefined)
  t.deepEqual(fleet.group.executed.map(({ database }) => dataCentreOf[database]), ['dc-3'])
  await fleet.close()
})

test('a write is refused and does not run when the primary is outside the home regions', async t => {
  const fleet = await startMemoryFleet(3, withHomeRegions(['south'], []))
  t.is((await openTestSession(fleet.gateways[1], 'slots').send(write('1'))).error, 'refused')
  t.deepEqual(fleet.group.executed, [])
  await fleet.close()
})
