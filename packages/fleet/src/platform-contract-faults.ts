/**
 * Contract tests of the platform adapter in which the platform is down, is slow, or loses replies or watch messages.
 */
import assert from 'node:assert/strict'
import { sleepMs } from '@egretyoke/common'
import type { Result } from '@egretyoke/common'
import { contractTimeoutMs, put, read } from './platform-contract-subject.js'
import type { PlatformContractCase } from './platform-contract-subject.js'
import type { Platform, PlatformError, VmListing } from './platform.js'

/** Timeout of calls that are expected to get no reply, in milliseconds. */
const shortTimeoutMs = 150

/** Timeout of a swap whose reply is lost, in milliseconds; long enough for the request to arrive. */
const lostReplyTimeoutMs = 1500

/** Lag of the VM list, in milliseconds. */
const listLagMs = 3000
/** Time after which the VM list is up to date, in milliseconds. */
const listUpToDateAfterMs = 3500

type PlatformCall = (platform: Platform, timeoutMs: number) => Promise<Result<unknown, PlatformError>>

/** All unary calls by name. */
const calls: Record<string, PlatformCall> = {
  get: (platform, timeoutMs) => platform.get('a/x', timeoutMs),
  range: (platform, timeoutMs) => platform.range('a/', 0, timeoutMs),
  compareAndSwap: (platform, timeoutMs) =>
    platform.compareAndSwap({ key: 'a/y', expectedRevision: 0, value: Buffer.from('1') }, timeoutMs),
  grantLease: (platform, timeoutMs) => platform.grantLease(1000, timeoutMs),
  keepAlive: (platform, timeoutMs) => platform.keepAlive(1, timeoutMs),
  revokeLease: (platform, timeoutMs) => platform.revokeLease(1, timeoutMs),
  listVms: (platform, timeoutMs) => platform.listVms(timeoutMs)
}

const assertNoReply = async (platform: Platform) => {
  for (const [name, call] of Object.entries(calls)) {
    const outcome = await call(platform, shortTimeoutMs)
    assert.equal(outcome.ok, false, `${name} must not report a reply`)
    assert.equal((outcome.val as PlatformError).reason, 'noAnswer', name)
  }
}

const vmOne: VmListing = { name: 'one', role: 'ENTRY', address: '127.0.0.1:1', dataCentre: 'one', leaving: false }

/** Contract cases with faults. */
export const faultCases: PlatformContractCase[] = [
  {
    title: 'calls fail without reply while the platform is down, and succeed after it recovers',
    run: async ({ platform, setFaults }) => {
      await put(platform, 'a/x', '1')
      await setFaults({ down: true })
      await assertNoReply(platform)
      await setFaults({})
      assert.equal(await read(platform, 'a/x'), '1')
      assert.equal(await read(platform, 'a/y'), undefined)
    }
  },
  {
    title: 'a call to a slow platform succeeds or times out depending on its timeout',
    run: async ({ platform, setFaults }) => {
      await put(platform, 'a/x', '1')
      await setFaults({ delayMs: shortTimeoutMs * 3 })
      await assertNoReply(platform)
      assert.equal(await read(platform, 'a/x'), '1')
    }
  },
  {
    title: 'a swap whose reply is lost fails without reply and takes effect once',
    run: async ({ platform, setFaults }) => {
      const expectedRevision = await put(platform, 'a/x', '1')
      await setFaults({ loseSwapAnswers: 1 })
      const swap = { key: 'a/x', expectedRevision, value: Buffer.from('2') }
      const lostReply = await platform.compareAndSwap(swap, lostReplyTimeoutMs)
      assert.equal(lostReply.ok, false)
      await setFaults({})
      assert.equal(await read(platform, 'a/x'), '2')
      const repeated = (await platform.compareAndSwap(swap, contractTimeoutMs)).unwrap()
      assert.equal(repeated.swapped, false, 'the same swap is not applied twice')
    }
  },
  {
    title: 'a watch may skip changes, and a range from the last known revision returns them',
    run: async ({ platform, setFaults }) => {
      const after = await put(platform, 'a/0', 'x')
      await setFaults({ skipWatchMessages: 1 })
      const stop = AbortSignal.timeout(400)
      const keys: string[] = []
      const watching = (async () => {
        for await (const { entries } of platform.watch('a/', after, stop)) keys.push(...entries.map(entry => entry.key))
      })()
      await sleepMs(100)
      await put(platform, 'a/1', 'x')
      await put(platform, 'a/2', 'x')
      await watching
      assert.deepEqual(keys, [])
      const { entries } = (await platform.range('a/', after, contractTimeoutMs)).unwrap()
      assert.deepEqual(entries.map(entry => entry.key), ['a/1', 'a/2'])
    }
  },
  {
    title: 'a watch on a platform that is down ends when it is aborted',
    run: async ({ platform, setFaults }) => {
      await setFaults({ down: true })
      for await (const changes of platform.watch('a/', 0, AbortSignal.timeout(200))) {
        assert.fail(`the watch reported ${changes.entries.length} entries`)
      }
    }
  },
  {
    title: 'the VM list may lag behind, and catches up',
    run: async ({ platform, setFaults, setVms }) => {
      await setVms([vmOne])
      await setFaults({ vmListLagMs: listLagMs })
      await sleepMs(listUpToDateAfterMs)
      await setVms([vmOne, { ...vmOne, name: 'two' }])
      assert.equal((await platform.listVms(contractTimeoutMs)).unwrap().length, 1)
      await sleepMs(listUpToDateAfterMs)
      assert.equal((await platform.listVms(contractTimeoutMs)).unwrap().length, 2)
    }
  }
]
