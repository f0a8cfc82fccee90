/**
 * Names and keys in the records of gateways: arbitrary text in each part.
 */
import test from 'ava'
import fc from 'fast-check'
import { activeUsers } from './coordination/primaries/group-records.js'
import { createFleetState } from './state/fleet-state.js'
import { encodeRecord, processName, recordPrefixes } from './state/stored-records.js'

const pieces = [
  '/', 'a', 'b', 'vm', '', ' ', '__proto__', 'constructor', '0', '1', '01', '1e0', '0x1', '+1', '\n', 'group/'
]
const name = fc.oneof(
  fc.array(fc.constantFrom(...pieces), { minLength: 1, maxLength: 4 }).map(parts => parts.join('')),
  fc.string({ maxLength: 8 })
).filter(text => text !== '')
const incarnation = fc.string({ unit: fc.constantFrom(...'abAB09_-'), minLength: 1, maxLength: 8 })
const process = fc.record({ name, incarnation })

const createState = () => {
  const state = createFleetState(() => undefined, () => {})
  let revision = 0
  const put = (key: string, value: Buffer) => state.apply({ key, value, revision: ++revision, deleted: false })
  return { state, put }
}

const memberOf = (self: { name: string, incarnation: string }) =>
  ({ ...self, dataCentre: 'dc-1', region: 'north', address: '127.0.0.1:1', draining: false })

test('a process is active exactly while its VM runs it, whatever the names of the VMs', t => {
  const processes = fc.array(process, { minLength: 1, maxLength: 4 })
  fc.assert(fc.property(processes, process, fc.boolean(), (members, other, isMember) => {
    const user = isMember ? members[0] : other
    const { state, put } = createState()
    for (const member of members) put(recordPrefixes.vms + member.name, encodeRecord(memberOf(member)))
    const current = members.findLast(member => member.name === user.name)
    return (activeUsers([processName(user)], state).length === 1) === (current?.incarnation === user.incarnation)
  }), { seed: 29, numRuns: 5000 })
  const { state, put } = createState()
  const member = memberOf({ name: 'rack/7', incarnation: 'x' })
  put(recordPrefixes.vms + member.name, encodeRecord(member))
  t.deepEqual(activeUsers([processName(member)], state), ['rack/7/x'])
})

test('a limit record is known by the number of its shard alone, in one spelling', t => {
  fc.assert(fc.property(fc.oneof(name, fc.constant('')), text => {
    const { state, put } = createState()
    put(recordPrefixes.limits + text, encodeRecord({ keeper: 'vm-1/x' }))
    return [0, 1, 7].every(shard => (state.limitRecord(shard) !== undefined) === (text === String(shard)))
  }), { seed: 29, numRuns: 2000 })
  t.pass()
})

test('a group or member is known by its name alone, whatever the names of others', t => {
  fc.assert(fc.property(name, name, (one, other) => {
    const { state, put } = createState()
    const record = { primary: 'i-1', term: 1, phase: 'serving' as const, users: [], keeper: '', copies: [] }
    put(recordPrefixes.groups + one, encodeRecord(record))
    put(recordPrefixes.vms + one, encodeRecord(memberOf({ name: one, incarnation: 'x' })))
    return state.group(one) !== undefined && state.members().has(one) &&
      (state.group(other) !== undefined) === (one === other) && state.members().has(other) === (one === other)
  }), { seed: 29, numRuns: 2000 })
  t.pass()
})
