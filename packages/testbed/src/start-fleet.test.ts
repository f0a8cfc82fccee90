import test from 'ava'
import { connectPlatform } from '@egretyoke/fleet'
import { storeKeys } from '@egretyoke/config'
import { loopbackChannels } from '@egretyoke/protocol'
import { smallFleet } from './fleet-description.js'
import { startFleet } from './start-fleet.js'

test('a fleet without entries has its configuration and records in the store', async t => {
  const fleet = await startFleet(smallFleet(0), { withoutStewards: true, links: { databases: true } })
  const platform = connectPlatform(fleet.platformAddress(), loopbackChannels)
  try {
    const changes = await platform.range(storeKeys.watchedPrefix, 0, 1_000)
    t.true(changes.ok)
    if (!changes.ok) return
    const keys = changes.val.entries.map(entry => entry.key).sort()
    t.deepEqual(keys, [storeKeys.head, storeKeys.group('group-1'), storeKeys.leaving, storeKeys.roster].sort())
    await fleet.setDatabaseFault('db-2', { replicationLagMs: 100 })
    await fleet.setLinkFault('link-db-2', { cut: true })
    t.is((await fleet.readMemberStatus('db-1')).isPrimary, true)
    await fleet.kill('db-1')
    t.false(fleet.isRunning('db-1'))
    await fleet.restart('db-1')
    t.deepEqual(await fleet.readLog('db-1'), [])
    t.is(await fleet.terminate('db-1'), 0)
  } finally {
    platform.close()
    await fleet.close()
  }
})

test('startFleet rejects with the reason when a program does not start', async t => {
  await t.throwsAsync(
    startFleet(smallFleet(0), { withoutStewards: true, databaseSettings: () => ({ slots: 0 }) }),
    { message: /slots/ })
})
