/**
 * Weights of VMs with different capacities, and the orders that follow from them.
 */
import test from 'ava'
import { rankByRendezvous } from '@egretyoke/limits'
import type { Capacity, Member } from '../../state/stored-records.js'
import { decodeMember, encodeRecord } from '../../state/stored-records.js'
import { capacityWeights } from './capacity-weights.js'
import { createElection } from './election.js'

const member = (name: string, capacity?: Capacity): Member =>
  ({ name, dataCentre: 'dc-1', region: 'north', address: '127.0.0.1:1', incarnation: 'i', draining: false, capacity })

const weightsOf = (...capacities: Array<Capacity | undefined>) =>
  [...capacityWeights(capacities.map((capacity, index) => member(`vm-${index}`, capacity))).values()]

const electionOf = (members: readonly Member[]) => createElection({
  members: () => new Map(members.map(each => [each.name, each])), membersVersion: () => 1
})

test('the weight grows faster than the capacity', t => {
  const [small, large] = weightsOf({ processorCores: 0.3 }, { processorCores: 1.2 })
  t.true(Math.abs(large / small - 16) < 1e-9)
})

// Guards against a holder whose link or memory is full while its processor is idle.
test('a slow link or little memory limits the weight, and more than needed adds nothing', t => {
  const [plain, slowLink, littleMemory, ample, odd] = weightsOf(
    { processorCores: 1 },
    { processorCores: 1, linkMbps: 7 },
    { processorCores: 1, memoryMb: 180 },
    { processorCores: 1, linkMbps: 140, memoryMb: 602 },
    { processorCores: 1, memoryMb: 64 }
  )
  t.is(ample, plain)
  t.true(slowLink < plain / 4 && littleMemory < plain / 4)
  t.true(odd > 0)
})

test('a member without a published capacity counts as the median of the others', t => {
  const weights = weightsOf({ processorCores: 0.4 }, undefined, { processorCores: 1.2 }, { processorCores: 0.5 }, {})
  t.is(weights[1], weights[3])
  t.is(weights[4], weights[3])
  t.deepEqual(weightsOf(undefined, {}), [1, 1])
})

// Guards against small VMs that hold as many databases as large ones.
test('12 large and 68 small VMs: the large ones hold most databases', t => {
  const members = Array.from({ length: 80 }, (_, index) =>
    member(`vm-${index}`, { processorCores: index < 12 ? 1.35 : 0.36, linkMbps: 60, memoryMb: 400 }))
  const election = electionOf(members)
  const keys = Array.from({ length: 600 }, (_, index) => `db-${index} dc-1`)
  const heldByLarge = keys.filter(key => (election.rankedByCapacity(key)[0].capacity?.processorCores ?? 0) > 1).length
  t.true(heldByLarge > 0.6 * keys.length, `${heldByLarge}`)
})

// Guards against a duty that neither an earlier nor this version performs during a rolling update.
test('duties are ranked without weights while a member of an earlier version is in the fleet', t => {
  const members = Array.from({ length: 9 }, (_, index) => member(`vm-${index}`, { processorCores: 0.2 + index }))
  const mixed = [...members.slice(1), member('vm-0')]
  const names = mixed.map(({ name }) => name)
  for (const key of ['limit 1', 'limit 2', 'group bookings', 'watch dc-1']) {
    t.deepEqual(electionOf(mixed).ranked(key).map(({ name }) => name), rankByRendezvous(key, names))
    t.is(electionOf(mixed).first(key), rankByRendezvous(key, names)[0])
    t.deepEqual(electionOf(members).ranked(key), electionOf(members).rankedByCapacity(key))
  }
})

// Guards against a member that is treated as absent because of its capacity.
test('records without a capacity, or with one that cannot be used, are read', t => {
  const { capacity: _, ...earlier } = member('vm-1')
  t.is(decodeMember(Buffer.from(JSON.stringify(earlier))).unwrap().capacity, undefined)
  const full = member('vm-1', { processorCores: 0.675, linkMbps: 70, memoryMb: 350 })
  t.deepEqual(decodeMember(encodeRecord(full)).unwrap(), full)
  for (const [capacity, expected] of [
    [{ processorCores: 'many', linkMbps: 7 }, { processorCores: undefined, linkMbps: 7 }],
    [{ processorCores: -1 }, { processorCores: undefined }],
    ['large', {}],
    [null, {}]
  ] as const) {
    t.deepEqual(decodeMember(Buffer.from(JSON.stringify({ ...earlier, capacity }))).unwrap().capacity, expected)
  }
})
