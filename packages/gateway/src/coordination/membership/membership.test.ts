/**
 * The lease of a gateway: how long it counts as held, for a moment and for the time that a call takes.
 */
import { Err, monotonicMs, Ok, sleepMs, typedError } from '@egretyoke/common'
import test from 'ava'
import { createAgeClock } from '../../state/contact.js'
import type { SharedStore } from '../store/shared-store.js'
import { createStoreBackoff } from '../store/store-backoff.js'
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

// Guards against a gateway that stays without a lease for a whole delay after the store has returned.
test('a gateway whose lease ended while the store refused it joins at once when the store answers', async t => {
  let renewal: 'fails' | 'ended' = 'fails'
  const counts = { grants: 0, renewals: 0 }
  const store = {
    grantLease: async () => Ok(++counts.grants),
    keepAlive: async () => {
      counts.renewals++
      return renewal === 'ended' ? Ok(false) : Err(typedError('noAnswer' as const, 'down'))
    },
    compareAndSwap: async () => Ok({ swapped: true, current: undefined, storeRevision: 1 })
  } as unknown as SharedStore
  const self = {
    name: 'vm-1', dataCentre: 'dc-1', region: 'north', address: '127.0.0.1:1', incarnation: 'x', draining: false
  }
  const backoff = createStoreBackoff(monotonicMs, () => 1)
  const membership = createMembership(self, store, createAgeClock(), () => {}, backoff)
  const stopping = new AbortController()
  const running = membership.run(stopping.signal)
  while (counts.renewals === 0) await sleepMs(10)
  for (let failure = 0; failure < 5; failure++) backoff.recordFailure('membership', monotonicMs())
  renewal = 'ended'
  while (counts.renewals === 1) await sleepMs(10)
  // The delay after another failure is 2 s.
  await sleepMs(500)
  stopping.abort()
  t.is(counts.grants, 2)
  await running
})
