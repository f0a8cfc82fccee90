/**
 * Rank order of gateways, and the selection of holders for a database.
 */
import test from 'ava'
import type { Database } from '../../state/configuration.js'
import type { Member } from '../../state/stored-records.js'
import { createElection } from './election.js'
import { createHolderChoice } from '../routing/holder-choice.js'

const member = (name: string, dataCentre: string, draining = false): Member =>
  ({ name, dataCentre, region: `region of ${dataCentre}`, address: name, incarnation: '1', draining })

const createFakeFleetState = (first: Member[]) => {
  let members = new Map(first.map(each => [each.name, each]))
  let version = 0
  const set = (next: Member[]) => {
    members = new Map(next.map(each => [each.name, each]))
    version++
  }
  return { fleetState: { members: () => members, membersVersion: () => version }, set }
}

const fleet = ['a1', 'a2', 'a3', 'b1', 'b2', 'c1'].map(name => member(name, name.slice(0, 1)))
const database = { id: 'db', dataCentre: 'a' } as Database

test('the rank order depends only on the set of members, not on the order in which they were added', t => {
  const one = createElection(createFakeFleetState(fleet).fleetState)
  const other = createElection(createFakeFleetState([...fleet].reverse()).fleetState)
  t.deepEqual(one.ranked('key'), other.ranked('key'))
  t.is(one.first('key'), other.first('key'))
})

test('a member change takes effect at once, and a draining member is not first', t => {
  const { fleetState, set } = createFakeFleetState(fleet)
  const election = createElection(fleetState)
  const first = election.first('key')
  set(fleet.map(each => each.name === first ? { ...each, draining: true } : each))
  t.not(election.first('key'), first)
  t.is(election.ranked('key').length, fleet.length)
  set([])
  t.is(election.first('key'), undefined)
})

// Guards against all senders moving back at once to a holder whose lease lapsed and which joins again.
test('a sender stays at its holder for some seconds when a better-ranked one joins', t => {
  const time = { nowMs: 0 }
  const { fleetState, set } = createFakeFleetState(fleet)
  const choice = createHolderChoice({
    self: fleet[5],
    election: createElection(fleetState),
    regionOf: dataCentre => `region of ${dataCentre}`,
    isUsable: () => true,
    nowMs: () => time.nowMs,
    fraction: () => 0.5
  })
  const names = () => choice.candidates(database, []).map(({ name }) => name)
  time.nowMs = 60_000
  const [first, second] = names()
  set(fleet.filter(({ name }) => name !== first))
  t.is(names()[0], second)
  set(fleet)
  t.deepEqual(names().slice(0, 2), [second, first])
  t.is(choice.candidates(database, [], ({ name }) => name === second)[0].name, first)
  time.nowMs = 63_999
  t.is(names()[0], second)
  time.nowMs = 64_000
  t.deepEqual(names().slice(0, 2), [first, second])
})

const choiceOf = (name: string, members = fleet, usable = (_member: Member) => true) => {
  const self = members.find(each => each.name === name) ?? member(name, 'c')
  const election = createElection(createFakeFleetState(members).fleetState)
  return createHolderChoice({ self, election, regionOf: dataCentre => `region of ${dataCentre}`, isUsable: usable })
}

test('gateways in the database\'s data centre come first, this gateway last', t => {
  const names = choiceOf('c1').candidates(database, []).map(({ name }) => name)
  t.is(names.length, 3)
  t.true(names.slice(0, 2).every(name => name.startsWith('a')), names.join())
  t.is(names[2], 'c1')
})

test('unreachable and draining gateways are skipped', t => {
  const members = fleet.map(each => each.name === 'a1' ? { ...each, draining: true } : each)
  const names = choiceOf('c1', members, ({ name }) => name !== 'a2').candidates(database, []).map(({ name }) => name)
  t.is(names[0], 'a3')
  t.false(names.includes('a1') || names.includes('a2'))
})

// Guards against waiting for a slow holder while another one can serve.
test('a suspected gateway comes after this one, but remains a candidate', t => {
  const election = createElection(createFakeFleetState(fleet.slice(0, 2)).fleetState)
  const choice = createHolderChoice({
    self: fleet[1],
    election,
    regionOf: dataCentre => `region of ${dataCentre}`,
    isUsable: () => true,
    isSuspected: ({ name }) => name === 'a1'
  })
  t.deepEqual(choice.candidates(database, []).map(({ name }) => name), ['a2', 'a1'])
})

test('gateways outside the permitted regions are excluded, except this one', t => {
  const names = choiceOf('c1').candidates(database, ['region of b']).map(({ name }) => name)
  t.true(names.every(name => ['b1', 'b2', 'c1'].includes(name)), names.join())
  t.true(names.some(name => name.startsWith('b')))
})

test('a gateway without a membership record is not a holder', t => {
  const names = choiceOf('c9').candidates(database, []).map(({ name }) => name)
  t.false(names.includes('c9'))
})
