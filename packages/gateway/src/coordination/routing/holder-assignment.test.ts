/**
 * Holders of the databases of a data centre whose gateways differ in capacity.
 */
import test from 'ava'
import { rankByRendezvous } from '@egretyoke/limits'
import { assignHolders } from './holder-assignment.js'

const databasesFor = (ids: readonly string[], names: readonly string[], weights: ReadonlyMap<string, number>) =>
  ids.map(id => ({ id, ranked: rankByRendezvous(id, names, weights) }))

const ids = Array.from({ length: 6 }, (_, index) => `db-${index}`)
const small = Array.from({ length: 11 }, (_, index) => `small-${index}`)
const large = ['large-1', 'large-2']
const cores = new Map([...small.map(name => [name, 0.3] as const), ...large.map(name => [name, 1.35] as const)])
const squared = new Map([...cores].map(([name, value]) => [name, value ** 2]))

const countOf = (assigned: ReadonlyMap<string, string>, name: string) =>
  [...assigned.values()].filter(holder => holder === name).length

// Guards against a small gateway that holds several databases while its neighbours hold none.
test('without the large gateways, no small one holds two of six databases', t => {
  const onlySmall = new Map(small.map(name => [name, 0.3]))
  for (let seed = 0; seed < 50; seed++) {
    const named = ids.map(id => `${seed} ${id}`)
    const assigned = assignHolders(databasesFor(named, small, onlySmall), onlySmall)
    t.is(assigned.size, ids.length)
    for (const name of small) t.true(countOf(assigned, name) <= 1, `seed ${seed}`)
  }
})

test('large gateways hold more, but not all databases', t => {
  let atLarge = 0
  for (let seed = 0; seed < 50; seed++) {
    const named = ids.map(id => `${seed} ${id}`)
    const assigned = assignHolders(databasesFor(named, [...cores.keys()], squared), cores)
    for (const name of large) t.true(countOf(assigned, name) <= 2)
    for (const name of small) t.true(countOf(assigned, name) <= 1)
    atLarge += large.reduce((sum, name) => sum + countOf(assigned, name), 0)
  }
  t.true(atLarge > 50 * ids.length / 2, `${atLarge} of ${50 * ids.length}`)
})

test('the assignment does not depend on the order of the databases, and names only gateways that may hold', t => {
  const databases = databasesFor(ids, [...cores.keys()], squared)
  const assigned = assignHolders(databases, cores)
  t.deepEqual(assignHolders([...databases].reverse(), cores), assigned)
  const rest = new Map([...cores].filter(([name]) => name !== assigned.get('db-0')))
  t.false([...assignHolders(databases, rest).values()].includes(assigned.get('db-0')!))
  t.is(assignHolders(databases, new Map()).size, 0)
})
