/**
 * Why a gateway does not use a primary, which decides where its statements are tried next.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import test from 'ava'
import { createAgeClock, createContact } from '../../state/contact.js'
import type { FleetState } from '../../state/fleet-state.js'
import type { GroupRecord, Member } from '../../state/stored-records.js'
import { combineRevision } from '../../state/store-revision.js'
import type { SharedStore } from '../store/shared-store.js'
import { createGroupRecords, isConfirmed } from './group-records.js'

const record: GroupRecord = {
  primary: 'db-1', term: 1, phase: 'serving', users: [], keeper: 'vm-1/a', copies: [], epoch: 0
}

const createEnvironment = () => {
  const clock = createAgeClock()
  const contact = createContact(clock)
  contact.confirm(clock.now())
  const state = { isLeaseHeld: true, isStoreReachable: true, record }
  const fleetState = {
    group: () => ({ record: state.record, revision: 7, knownSinceMs: 0 }), members: () => new Map(), apply: () => {}
  } as unknown as FleetState
  const store = {
    compareAndSwap: async () => state.isStoreReachable
      ? Ok({ swapped: false, current: undefined })
      : Err(typedError('unavailable', 'refused'))
  } as unknown as SharedStore
  const records = createGroupRecords({
    self: 'vm-2/b', fleetState, contact, isLeaseHeld: () => state.isLeaseHeld, store, log: () => {}
  })
  return { state, records }
}

test('a gateway without a lease, or whose call to the store fails, has no contact', async t => {
  const { state, records } = createEnvironment()
  state.isLeaseHeld = false
  t.false(await records.becomeUser('bookings', 'db-1'))
  t.is(records.whyNoUse('bookings', 'db-1'), 'noContact')
  state.isLeaseHeld = true
  state.isStoreReachable = false
  t.false(await records.becomeUser('bookings', 'db-1'))
  t.is(records.whyNoUse('bookings', 'db-1'), 'noContact')
})

test('a database that is not the primary, or no longer, is told apart from a conflict over the record', async t => {
  const { state, records } = createEnvironment()
  t.false(await records.becomeUser('bookings', 'db-2'))
  t.is(records.whyNoUse('bookings', 'db-2'), 'notPrimary')
  t.false(await records.becomeUser('bookings', 'db-1'))
  t.is(records.whyNoUse('bookings', 'db-1'), 'moved')
  state.record = { ...record, phase: 'changing' }
  t.is(records.whyNoUse('bookings', 'db-1'), 'notPrimary')
})

// Guards against a rolling update in which each change by an earlier version makes the record count no more.
test('a record without an epoch counts only while the fleet has gateways of an earlier version', t => {
  const revision = combineRevision(2, 7)
  const versioned = (epoch: number | undefined) => ({ record: { ...record, epoch }, revision, knownSinceMs: 0 })
  const fleetOf = (...storesEpochs: Array<true | undefined>) => ({
    members: () => new Map(storesEpochs.map((value, index) => [`vm-${index}`, { storesEpochs: value } as Member]))
  })
  t.true(isConfirmed(versioned(2), fleetOf(true)))
  t.false(isConfirmed(versioned(1), fleetOf(true, undefined)))
  t.true(isConfirmed(versioned(undefined), fleetOf(true, undefined)))
  t.false(isConfirmed(versioned(undefined), fleetOf(true, true)))
})
