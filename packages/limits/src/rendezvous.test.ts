/**
 * Rank orders by rendezvous hashing, with and without weights.
 */
import test from 'ava'
import { rankByRendezvous } from './rendezvous.js'

const names = (count: number) => Array.from({ length: count }, (_, index) => `vm-${index + 1}`)

/** The share of the keys that each member ranks first for. */
const firstShares = (members: readonly string[], weights: ReadonlyMap<string, number>) => {
  const keys = 4000
  const counts = new Map<string, number>()
  for (let key = 0; key < keys; key++) {
    const [first] = rankByRendezvous(`key ${key}`, members, weights)
    counts.set(first, (counts.get(first) ?? 0) + 1 / keys)
  }
  return counts
}

// Guards against another order than that of gateways without weights, which would split holders and duties.
test('equal weights give the order without weights', t => {
  const members = names(7)
  const written = new Map([
    ['bookings-1 dc-1', 'vm-7 vm-5 vm-4 vm-3 vm-6 vm-2 vm-1'],
    ['group bookings', 'vm-3 vm-6 vm-2 vm-1 vm-5 vm-4 vm-7'],
    ['limit 3', 'vm-1 vm-7 vm-6 vm-3 vm-2 vm-5 vm-4'],
    ['watch dc-2', 'vm-5 vm-4 vm-3 vm-2 vm-7 vm-1 vm-6']
  ])
  for (const [key, order] of written) {
    for (const weight of [undefined, 1, 0.1, 17.3]) {
      const weights = new Map(weight === undefined ? [] : members.map(name => [name, weight] as const))
      t.is(rankByRendezvous(key, members, weights).join(' '), order, `${key}, weight ${weight}`)
      t.is(rankByRendezvous(key, [...members].reverse(), weights).join(' '), order, `${key}, weight ${weight}`)
    }
  }
})

test('members rank first in proportion to their weights', t => {
  const members = names(4)
  const shares = firstShares(members, new Map([['vm-1', 4], ['vm-2', 2]]))
  for (const [index, expected] of [4 / 8, 2 / 8, 1 / 8, 1 / 8].entries()) {
    const share = shares.get(members[index]) ?? 0
    t.true(Math.abs(share - expected) < 0.03, `${members[index]}: ${share}`)
  }
})

// Guards against moving all keys when one VM joins or reports another capacity.
test('a member that leaves, or whose weight falls, only loses keys', t => {
  const members = names(9)
  const weights = new Map(members.map((name, index) => [name, 1 + index % 3]))
  for (let key = 0; key < 200; key++) {
    const before = rankByRendezvous(`key ${key}`, members, weights)
    const without = rankByRendezvous(`key ${key}`, members.filter(name => name !== 'vm-3'), weights)
    t.deepEqual(without, before.filter(name => name !== 'vm-3'))
    const lighter = rankByRendezvous(`key ${key}`, members, new Map([...weights, ['vm-3', 0.2]]))
    t.deepEqual(lighter.filter(name => name !== 'vm-3'), before.filter(name => name !== 'vm-3'))
    t.true(lighter.indexOf('vm-3') >= before.indexOf('vm-3'))
  }
})
