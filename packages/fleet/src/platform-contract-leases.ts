/**
 * Contract tests of the platform adapter for leases.
 */
import assert from 'node:assert/strict'
import { sleepMs } from '@egretyoke/common'
import { contractTimeoutMs, put, read, watchUntil } from './platform-contract-subject.js'
import type { PlatformContractCase } from './platform-contract-subject.js'

/** Time to live of leases that are kept alive, in milliseconds. */
const renewedTtlMs = 4000
/** Time to live of leases that expire, in milliseconds. */
const expiringTtlMs = 2000
/** Time after which an expiring lease has expired, in milliseconds. */
const expiredAfterMs = 3000

/** Contract cases for leases. */
export const leaseCases: PlatformContractCase[] = [
  {
    title: 'an entry is deleted when its lease expires, and watchers are notified',
    run: async ({ platform }) => {
      const leaseId = (await platform.grantLease(expiringTtlMs, contractTimeoutMs)).unwrap()
      const revision = await put(platform, 'a/x', '1', leaseId)
      await watchUntil(platform, 'a/', revision, ({ entries }) => entries.some(entry => entry.deleted))
      assert.equal(await read(platform, 'a/x'), undefined)
    }
  },
  {
    title: 'a lease that is kept alive does not expire',
    run: async ({ platform }) => {
      const leaseId = (await platform.grantLease(renewedTtlMs, contractTimeoutMs)).unwrap()
      await put(platform, 'a/x', '1', leaseId)
      for (let renewals = 0; renewals < 6; renewals++) {
        await sleepMs(renewedTtlMs / 4)
        assert.equal((await platform.keepAlive(leaseId, contractTimeoutMs)).unwrap(), true)
      }
      assert.equal(await read(platform, 'a/x'), '1')
    }
  },
  {
    title: 'revoking a lease deletes its entries immediately',
    run: async ({ platform }) => {
      const leaseId = (await platform.grantLease(60_000, contractTimeoutMs)).unwrap()
      await put(platform, 'a/x', '1', leaseId)
      await platform.revokeLease(leaseId, contractTimeoutMs)
      assert.equal(await read(platform, 'a/x'), undefined)
      assert.equal((await platform.keepAlive(leaseId, contractTimeoutMs)).unwrap(), false)
    }
  },
  {
    title: 'a holder paused beyond its lease finds it expired and can no longer write with it',
    run: async ({ platform }) => {
      const leaseId = (await platform.grantLease(expiringTtlMs, contractTimeoutMs)).unwrap()
      const heldRevision = await put(platform, 'a/leader', 'first', leaseId)
      await sleepMs(expiredAfterMs)
      const nextLeaseId = (await platform.grantLease(60_000, contractTimeoutMs)).unwrap()
      await put(platform, 'a/leader', 'second', nextLeaseId)
      assert.equal((await platform.keepAlive(leaseId, contractTimeoutMs)).unwrap(), false)
      const lateSwap = { key: 'a/leader', expectedRevision: heldRevision, value: Buffer.from('first'), leaseId }
      assert.equal((await platform.compareAndSwap(lateSwap, contractTimeoutMs)).unwrap().swapped, false)
      const otherSwap = { key: 'a/other', expectedRevision: 0, value: Buffer.from('first'), leaseId }
      assert.equal((await platform.compareAndSwap(otherSwap, contractTimeoutMs)).unwrap().swapped, false)
      assert.equal(await read(platform, 'a/leader'), 'second')
    }
  },
  {
    title: 'leases of different holders expire independently',
    run: async ({ platform }) => {
      const shortLeaseId = (await platform.grantLease(expiringTtlMs, contractTimeoutMs)).unwrap()
      const longLeaseId = (await platform.grantLease(60_000, contractTimeoutMs)).unwrap()
      assert.notEqual(shortLeaseId, longLeaseId)
      await put(platform, 'a/short', '1', shortLeaseId)
      await put(platform, 'a/long', '1', longLeaseId)
      await sleepMs(expiredAfterMs)
      assert.equal(await read(platform, 'a/short'), undefined)
      assert.equal(await read(platform, 'a/long'), '1')
    }
  }
]
