/**
 * Tests the permit tables of one fleet: idle permits move to VMs that need them, and their sum never exceeds the limit.
 */
import test from 'ava'
import fc from 'fast-check'
import { createPermitTable, ownPermits } from './permit-table.js'
import type { Permit } from './permit-share.js'
import { rankByRendezvous } from './rendezvous.js'
import { createSimulatedFleet } from './soak/simulated-fleet.js'
import type { MessageOutcome } from './soak/simulated-fleet.js'

const seed = 20261204
const historyCount = 1000
const vmCount = 5
const limit = { name: 'endpoint', maxPermits: 12, version: 1 }

const createFleet = (
  nextOutcome?: () => MessageOutcome
) => createSimulatedFleet(vmCount, (options, members, isRestart) => {
  const table = createPermitTable({ ...options, startupHold: isRestart })
  table.setRoster({ members, slotCount: vmCount })
  table.setLimits([limit])
  return table
}, nextOutcome)

test('own permits that do not divide evenly add up to the limit, and do not grow while a member joins', t => {
  const members = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i']
  const ranked = rankByRendezvous(limit.name, members)
  const own = (slots: number, order: string[]) => members.map(member => ownPermits(limit, member, slots, order))
  t.is(own(9, ranked).reduce((sum, permits) => sum + permits), 12)
  const withJoining = own(10, rankByRendezvous(limit.name, [...members, 'j']))
  t.true(withJoining.every((permits, index) => permits <= own(9, ranked)[index]))
})

test('one VM borrows the idle permits of the others, and returns them when it no longer needs them', async t => {
  const { time, table, close } = createFleet()
  const permits: Permit[] = []
  const acquired = Array.from({ length: 12 }, () => table('vm1').acquire('endpoint', () => {}, 200))
  await time.runUntil(250)
  for (const permit of await Promise.all(acquired)) if (permit !== undefined) permits.push(permit)
  t.is(permits.length, 12)
  await time.runUntil(10_000)
  t.is(table('vm1').snapshot()[0].revoked, 0)
  t.is(table('vm2').tryAcquire('endpoint', () => {}), undefined)
  for (const permit of permits) permit.release()
  await time.runUntil(13_000)
  t.not(table('vm2').tryAcquire('endpoint', () => {}), undefined)
  close()
})

test('a permit backed by a loan from a VM that stopped is revoked', async t => {
  const { time, table, members, kill, close } = createFleet()
  let revoked = 0
  const acquired = Array.from({ length: 12 }, () => table('vm1').acquire('endpoint', () => revoked++, 200))
  await time.runUntil(250)
  t.true((await Promise.all(acquired)).every(permit => permit !== undefined))
  const lent = table(members[1]).snapshot()[0].lent
  kill(members[1])
  await time.runUntil(2500)
  t.is(revoked, lent)
  close()
})

const upTo = (max: number) => fc.nat({ max })
const outcomes = fc.array(fc.record({
  requestMs: fc.oneof(upTo(5), upTo(400)),
  replyMs: fc.oneof(upTo(5), upTo(400)),
  isLost: upTo(5).map(roll => roll === 0)
}), { minLength: 20, maxLength: 20 })
const actions = ['acquire', 'acquire', 'acquire', 'release', 'release', 'kill', 'restart', 'bounce', 'wait'] as const
const action = fc.constantFrom(...actions)
const steps = fc.array(fc.record({ action, vm: upTo(vmCount - 1), count: upTo(8), ms: upTo(700) }), {
  minLength: 20,
  maxLength: 40,
  size: 'max'
})

test('the fleet never holds more permits than the limit, over arbitrary histories', async t => {
  let maxHeld = 0
  const property = fc.asyncProperty(outcomes, steps, async (outcomeList, stepList) => {
    let outcomeIndex = 0
    const fleet = createFleet(() => outcomeList[outcomeIndex++ % outcomeList.length])
    const held = new Map<string, Set<Permit>>(fleet.members.map(vm => [vm, new Set()]))
    let isExceeded = false
    const acquire = async (vm: string) => {
      const holder: { permit?: Permit, isRevoked?: boolean } = {}
      const releaseRevoked = () => {
        holder.isRevoked = true
        if (holder.permit === undefined) return
        held.get(vm)?.delete(holder.permit)
        holder.permit.release()
      }
      const table = fleet.table(vm)
      holder.permit = await table.acquire('endpoint', releaseRevoked, 100)
      if (holder.permit === undefined || !fleet.isAlive(vm) || fleet.table(vm) !== table) return
      if (holder.isRevoked) return holder.permit.release()
      held.get(vm)?.add(holder.permit)
      const sum = [...held.values()].reduce((total, { size }) => total + size, 0)
      maxHeld = Math.max(maxHeld, sum)
      if (sum > limit.maxPermits) isExceeded = true
    }
    const run: Record<string, (vm: string, count: number) => void> = {
      acquire: (vm, count) => { for (let index = 0; index < count; index++) acquire(vm) },
      release: (vm, count) => [...held.get(vm)!].slice(0, count).forEach(permit => {
        held.get(vm)?.delete(permit)
        permit.release()
      }),
      kill: vm => {
        held.get(vm)?.clear()
        fleet.kill(vm)
      },
      bounce: vm => {
        run.kill(vm, 0)
        fleet.restart(vm)
        for (let index = 0; index < limit.maxPermits; index++) acquire(vm)
      },
      wait: () => {}
    }
    for (const { action: name, vm: index, count, ms } of stepList) {
      const vm = fleet.members[index]
      if (fleet.isAlive(vm)) run[name]?.(vm, count)
      else if (name === 'restart') fleet.restart(vm)
      await fleet.time.runUntil(fleet.time.clock() + ms)
    }
    fleet.close()
    return !isExceeded
  })
  const result = await fc.check(property, { seed, numRuns: historyCount })
  t.false(result.failed, result.failed ? fc.defaultReportMessage(result) : undefined)
  t.log(`at most ${maxHeld} of ${limit.maxPermits} permits held`)
})
