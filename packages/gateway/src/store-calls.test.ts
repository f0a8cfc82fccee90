/**
 * Calls that gateways make to the store while it refuses them, after it lost its history, and at a start. All calls are
 * charged, also those that are refused.
 */
import { sleepMs } from '@egretyoke/common'
import test from 'ava'
import { closeMemoryFleets, openTestSession, startMemoryFleet, waitUntil, write } from './testing/memory-fleet.js'

test.after.always(closeMemoryFleets)

// Guards against loops that call a store that refuses them at a fixed short interval.
test('a gateway makes at most 24 calls to a store that refuses it for 5 s, and is ready soon after', async t => {
  const fleet = await startMemoryFleet(1)
  const [gateway] = fleet.gateways
  const session = openTestSession(gateway!, 'slots')
  gateway!.setStoreMode('refusing')
  const before = gateway!.storeCalls()
  const untilMs = performance.now() + 5000
  while (performance.now() < untilMs) {
    await Promise.race([session.send(write('a')), sleepMs(50)])
    await sleepMs(20)
  }
  const calls = gateway!.storeCalls() - before
  t.true(calls <= 24, `${calls} calls`)
  gateway!.setStoreMode('serving')
  await waitUntil(() => gateway!.gateway.isReady(), 2500)
  await fleet.close()
})
