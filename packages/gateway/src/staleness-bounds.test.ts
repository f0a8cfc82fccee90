/**
 * Reads of real gateways by the staleness bound of their route, while replicas lag and while they do not.
 */
import test from 'ava'
import {
  closeMemoryFleets, openTestSession, read, standardConfiguration, startMemoryFleet, write
} from './testing/memory-fleet.js'
import type { MemoryFleet } from './testing/memory-fleet.js'

test.after.always(closeMemoryFleets)

/** Starts a fleet whose routes `boards` and `ledger` have the bound. */
const startFleetWithBound = async (maxStalenessMs: number | undefined): Promise<MemoryFleet> =>
  await startMemoryFleet(3, {
    ...standardConfiguration,
    routes: standardConfiguration.routes.map(route =>
      route.kind === 'primary' ? route : { ...route, maxStalenessMs })
  })

/** Reads on both routes at each gateway; returns the errors, and the databases that ran the reads. */
const readEverywhere = async (fleet: MemoryFleet) => {
  const errors: Array<string | undefined> = []
  fleet.group.executed.length = 0
  for (const gateway of fleet.gateways) {
    for (const database of ['boards', 'ledger']) {
      errors.push((await openTestSession(gateway, database).send(read('1'))).error)
    }
  }
  return { errors, databases: [...new Set(fleet.group.executed.map(({ database }) => database))] }
}

// Guards against reads that lack commits because a bound of 0 is taken for no bound.
for (const maxStalenessMs of [0, 0.4, 1]) {
  test.serial(`with a bound of ${maxStalenessMs} ms, reads see the last commit and are served`, async t => {
    const fleet = await startFleetWithBound(maxStalenessMs)
    await openTestSession(fleet.gateways[0], 'slots').send(write('1'))
    t.deepEqual((await readEverywhere(fleet)).errors, Array(6).fill(undefined))
    fleet.group.isReplicationPaused = true
    await openTestSession(fleet.gateways[0], 'slots').send(write('2'))
    await new Promise(resolve => setTimeout(resolve, 20))
    t.deepEqual(await readEverywhere(fleet), { errors: Array(6).fill(undefined), databases: ['db-1'] })
    await fleet.close()
  })
}

test.serial('without a bound, reads are served by replicas however far they lag', async t => {
  const fleet = await startFleetWithBound(undefined)
  fleet.group.isReplicationPaused = true
  await openTestSession(fleet.gateways[0], 'slots').send(write('1'))
  const { errors, databases } = await readEverywhere(fleet)
  t.deepEqual(errors, Array(6).fill(undefined))
  t.true(databases.includes('db-2') && databases.includes('db-3'))
  await fleet.close()
})
