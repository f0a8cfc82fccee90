import test from 'ava'
import { Ok, silentLogger } from '@egretyoke/common'
import { decodeRecord, rosterSchema } from '@egretyoke/config'
import type { Roster, RosterMember } from '@egretyoke/config'
import type { Stored } from '../state/stored-records.js'
import type { EntryStatus } from './entry-peers.js'
import { nextRosterMembers } from './roster-manager.js'
import { manageSuspensions, nextSuspended, suspendAfterMs } from './roster-suspension.js'

const member = (name: string, suspended = false): RosterMember =>
  ({ name, address: `${name}:1`, dataCentre: 'north', suspended })
const entryStatus = (...silentPeers: string[]): EntryStatus =>
  ({ knownRevision: 1, starting: false, sightings: [], silentPeers })
const statusesByName = (entries: Record<string, string[]>) =>
  new Map(Object.entries(entries).map(([name, silent]) => [name, entryStatus(...silent)]))
const always = () => true

/** Creates a store with one roster and entries that can be set to not reply. Each check advances the test clock. */
const createTestRoster = (names: string[]) => {
  const roster: Stored<Roster | undefined> =
    { value: { version: 1, members: names.map(name => member(name)) }, revision: 7 }
  const unresponsive = new Set<string>()
  const state = { roster, unresponsive, swaps: 0, nowMs: 0, holdsLease: true }
  const stop = new AbortController()
  const run = (untilMs: number) => manageSuspensions({
    platform: {
      compareAndSwap: async ({ key, value, expectedRevision }) => {
        const { revision: storeRevision } = state.roster
        if (expectedRevision !== storeRevision) return Ok({ swapped: false, current: undefined, storeRevision })
        state.swaps++
        const stored = decodeRecord(key, value, rosterSchema).unwrap()
        state.roster = { value: stored, revision: expectedRevision + 1 }
        return Ok({ swapped: true, current: undefined, storeRevision: state.roster.revision })
      }
    },
    entries: { observe: async ({ name }) => unresponsive.has(name) ? undefined : entryStatus(...unresponsive) },
    roster: () => state.roster,
    updateCopy: () => {},
    holdsLease: () => {
      state.nowMs += 250
      if (state.nowMs >= untilMs) stop.abort()
      return state.holdsLease
    },
    timeoutMs: 100,
    log: silentLogger,
    clock: () => state.nowMs,
    intervalMs: 1,
    signal: stop.signal
  })
  const suspended = () => state.roster.value!.members.filter(member => member.suspended).map(member => member.name)
  return { state, run, suspended }
}

test('VMs that fail together are suspended in one swap, and the roster version does not change', async t => {
  const { state, run, suspended } = createTestRoster(['a', 'b', 'c', 'd', 'e'])
  state.unresponsive.add('d').add('e')
  await run(2 * suspendAfterMs)
  t.deepEqual(suspended(), ['d', 'e'])
  t.is(state.swaps, 1)
  t.is(state.roster.value!.version, 1)
})

test('a VM that does not reply for less than the threshold is not suspended', async t => {
  const { state, run, suspended } = createTestRoster(['a', 'b', 'c'])
  state.unresponsive.add('c')
  await run(suspendAfterMs - 250)
  t.deepEqual(suspended(), [])
})

test('a steward without the lease suspends no VM', async t => {
  const { state, run, suspended } = createTestRoster(['a', 'b', 'c'])
  state.holdsLease = false
  state.unresponsive.add('c')
  await run(3 * suspendAfterMs)
  t.deepEqual(suspended(), [])
})

test('a suspension is lifted when the VM replies again', async t => {
  const { state, run, suspended } = createTestRoster(['a', 'b', 'c'])
  state.roster.value!.members[2].suspended = true
  await run(1_500)
  t.deepEqual(suspended(), [])
  t.is(state.swaps, 1)
})

test('a VM that most of the replying entries can reach is not suspended', t => {
  const members = ['a', 'b', 'c', 'd', 'e'].map(name => member(name))
  t.deepEqual(nextSuspended(members, statusesByName({ a: ['e'], b: [], c: [], d: ['e'] }), always), [])
  t.deepEqual(nextSuspended(members, statusesByName({ a: ['e'], b: ['e'], c: [], d: ['e'] }), always), ['e'])
})

test('a VM that replies to the steward is not suspended, whatever the other entries report', t => {
  const members = ['a', 'b', 'c'].map(name => member(name))
  t.deepEqual(nextSuspended(members, statusesByName({ a: ['c'], b: ['c'], c: [] }), always), [])
})

test('without replies from a majority, no VM is suspended and existing suspensions stay', t => {
  const members = [member('a'), member('b'), member('c', true)]
  t.deepEqual(nextSuspended(members, statusesByName({ a: ['b', 'c'] }), always), ['c'])
})

test('at most a minority is suspended', t => {
  const members = [member('a'), member('b'), member('c', true), member('d'), member('e')]
  const minority = nextSuspended(members, statusesByName({ a: ['c', 'd'], b: ['c', 'd'], e: ['c', 'd'] }), always)
  t.deepEqual(minority, ['c', 'd'])
  t.deepEqual(nextSuspended(['a', 'b'].map(name => member(name)), statusesByName({ a: ['b'] }), always), [])
})

test('a roster change preserves the suspensions', t => {
  const members = [member('a', true), member('b')]
  const moved = { ...member('a'), address: 'a:2' }
  const listed = [moved, member('b')].map(({ name, address, dataCentre }) => ({ name, address, dataCentre }))
  t.deepEqual(nextRosterMembers(members, listed, always), [{ ...moved, suspended: true }, member('b')])
  t.is(nextRosterMembers([member('a', true)], [{ name: 'a', address: 'a:1', dataCentre: 'north' }], always), undefined)
})
