/**
 * The lease of a gateway: how long it counts as held, for a moment and for the time that a call takes.
 */
import { Ok } from '@egretyoke/common'
import test from 'ava'
import { createAgeClock } from '../../state/contact.js'
import type { SharedStore } from '../store/shared-store.js'
import { createMembership, leaseTtlMs } from './membership.js'

// Guards against a call for a promotion that is still on its way when another gateway takes the change over.
test('a lease is not held for a call that ends after it may have expired', async t => {
  const time = { nowMs: 0 }
  const clock = createAgeClock(() => time.nowMs, () => time.nowMs)
  const store = {
    grantLease: async () => Ok(7),
    keepAlive: async () => Ok(true),
    compareAndSwap: async () => Ok({ swapped: true, current: undefined, storeRevision: 1 }),
    revokeLease: async () => Ok(true)
  } as unknown as SharedStore
  const self = {
    name: 'vm-1', dataCentre: 'dc-1', region: 'north', address: '127.0.0.1:1', incarnation: 'x', draining: false
  }
  const membership = createMembership(self, store, clock, () => {})
  const stopping = new AbortController()
  t.false(membership.isLeaseHeld())
  const running = membership.run(stopping.signal)
  while (membership.leaseId() === undefined) await new Promise(resolve => setImmediate(resolve))
  t.true(membership.isLeaseHeld(900))
  time.nowMs = leaseTtlMs - 1000
  t.true(membership.isLeaseHeld())
  t.false(membership.isLeaseHeld(900))
  time.nowMs = leaseTtlMs
  t.false(membership.isLeaseHeld())
  stopping.abort()
  await running
})
