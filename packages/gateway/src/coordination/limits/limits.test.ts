/**
 * Fleet-wide rate limits: total admissions of all gateways under overload, after restarts and limit changes, and while
 * the token allocator does not reply.
 */
import { sleepMs } from '@egretyoke/common'
import test from 'ava'
import { createAdmission } from './admission.js'
import type { RequestTokens } from './admission.js'
import { createTokenBucket } from '../../state/token-bucket.js'
import {
  closeMemoryFleets, openTestSession, standardConfiguration, startMemoryFleet, waitUntil, write
} from '../../testing/memory-fleet.js'
import type { MemoryFleet } from '../../testing/memory-fleet.js'

test.after.always(closeMemoryFleets)

const limited = (ratePerSec: number, burst: number) => ({
  ...standardConfiguration,
  workspaces: [{ name: 'yard-a', ratePerSec, burst, homeRegions: [], keys: ['key-a'] }]
})

/** Sends continuously through all gateways for `forMs`; resolves with the number of admitted statements. */
const flood = async (fleet: MemoryFleet, forMs: number): Promise<number> => {
  const deadlineMs = performance.now() + forMs
  let done = 0
  const sendAll = async (index: number) => {
    const session = openTestSession(fleet.gateways[index % fleet.gateways.length], 'slots')
    while (performance.now() < deadlineMs) {
      const answer = await session.send(write('1'))
      if (answer.error === undefined) done++
    }
  }
  await Promise.all(Array.from({ length: 9 }, (_, index) => sendAll(index)))
  return done
}

test('all gateways together admit at most rate and burst, and at least 80 % of the rate', async t => {
  const fleet = await startMemoryFleet(3, limited(40, 20))
  const admitted = await flood(fleet, 3000)
  t.true(admitted <= 40 * 3 + 20 + 10, `${admitted}`)
  t.true(admitted >= 40 * 3 * 0.8, `${admitted}`)
  await fleet.close()
})

test('after a restart of all gateways, the excess is at most the new allocators\' initial tokens', async t => {
  const fleet = await startMemoryFleet(3, limited(40, 40))
  const first = await flood(fleet, 1000)
  await Promise.all(fleet.gateways.map(({ gateway }) => gateway.close()))
  const names = fleet.gateways.map(({ name }) => name)
  fleet.gateways.length = 0
  for (const [index, name] of names.entries()) await fleet.start(name, `dc-${index + 1}`)
  await waitUntil(() => fleet.gateways.every(({ gateway }) => gateway.isReady()))
  const restartedMs = performance.now()
  const second = await flood(fleet, 1000)
  const elapsedSec = (performance.now() - restartedMs) / 1000 + 3
  t.true(first + second <= 40 + 40 * elapsedSec + 20, `${first} + ${second}`)
  await fleet.close()
})

test('a lowered limit takes effect at once', async t => {
  const fleet = await startMemoryFleet(2, limited(1000, 1000))
  await flood(fleet, 300)
  fleet.configure({ workspaces: limited(10, 5).workspaces })
  await sleepMs(1200)
  const admitted = await flood(fleet, 1000)
  t.true(admitted <= 10 + 5 + 10, `${admitted}`)
  await fleet.close()
})

const limitToShare = (_workspace: string, sharePerSec = 0) => ({ ratePerSec: sharePerSec, burst: 1, initialTokens: 1 })

const grant = (granted: number, ratePartPerSec = 0) => ({ granted, ratePartPerSec, isKeeper: true })

test('an operation is refused within about its maximum wait when the allocator has no tokens', async t => {
  const requestTokens: RequestTokens = async () => grant(0)
  const admission = createAdmission(requestTokens, limitToShare, () => {})
  const startedAtMs = performance.now()
  t.false(await admission.admit('a', 100))
  t.true(performance.now() - startedAtMs < 1000)
})

test('while no allocator replies, operations are admitted at the last known share of the rate', async t => {
  let isReplying = true
  const requestTokens: RequestTokens = async () => isReplying ? grant(1, 50) : undefined
  const admission = createAdmission(requestTokens, limitToShare, () => {})
  t.true(await admission.admit('a', 100))
  isReplying = false
  await sleepMs(1100)
  t.true(await admission.admit('a', 300))
  const burst = await Promise.all(Array.from({ length: 40 }, () => admission.admit('a', 100)))
  t.true(burst.filter(Boolean).length <= 10)
})

test('a bucket fills at its rate up to its burst size, from the time at which it was empty', t => {
  const time = { nowMs: 5000 }
  const bucket = createTokenBucket({ ratePerSec: 10, burst: 15 }, () => time.nowMs, 4000)
  t.is(bucket.acquire(100), 10)
  time.nowMs += 60_000
  t.is(bucket.acquire(100), 15)
  bucket.setLimits({ ratePerSec: 0, burst: 0 })
  time.nowMs += 60_000
  bucket.add(5)
  t.is(bucket.acquire(100), 0)
})
