/**
 * Tests the share tables of one fleet on simulated time: single loans, refusal reasons, and the bound under failures.
 */
import test from 'ava'
import fc from 'fast-check'
import type { LoanPolicy } from './borrowing.js'
import { loans, spreadLoans, staticSlices } from './loan-policy.js'
import { createShareTable } from './share-table.js'
import { createBoundChecker } from './soak/bound-checker.js'
import { createSimulatedFleet } from './soak/simulated-fleet.js'
import type { MessageOutcome } from './soak/simulated-fleet.js'

const seed = 20261204
const historyCount = 150
const limit = { name: 'acme', ratePerSec: 20, burst: 5, version: 1 }

const createFleet = (policy: LoanPolicy = loans, startupHold = false) =>
  createSimulatedFleet(9, (options, members) => {
    const table = createShareTable({ ...options, policy, startupHold })
    table.setRoster({ members, slotCount: members.length })
    table.setLimits([limit])
    return table
  })

test('a burst at one VM is served from the shares of all VMs', async t => {
  const { time, table } = createFleet()
  const acquisitions = Array.from({ length: 5 }, () => table('vm1').acquire('acme', 30))
  await time.runUntil(30)
  t.deepEqual((await Promise.all(acquisitions)).map(({ admitted }) => admitted), [true, true, true, true, true])
  t.is(time.clock(), 30)
})

test('equal static slices refuse a burst that is within the limit', async t => {
  const { time, table } = createFleet(staticSlices)
  const acquired = table('vm1').acquire('acme', 30)
  await time.runUntil(100)
  const refused = await acquired
  t.like(refused, { admitted: false, reason: 'rate' })
})

test('a started VM owns nothing until all loans of its previous incarnation have expired', async t => {
  const { time, table } = createFleet(loans, true)
  await time.runUntil(1600)
  t.is(table('vm1').snapshot()[0].ownFraction, 0)
  await time.runUntil(2000)
  t.is(table('vm1').snapshot()[0].ownFraction, 1 / 9)
})

test('unknown limits, other versions and malformed requests are refused with their reason', async t => {
  const { table } = createFleet()
  t.like(await table('vm1').acquire('other', 30), { admitted: false, reason: 'unknownLimit' })
  const request = {
    borrower: 'vm2',
    incarnation: 1,
    limit: 'acme',
    tokensWanted: 0.5,
    rateWantedPerSec: 0,
    loanTtlMs: 50,
    limitVersion: 2
  }
  t.is(table('vm1').lend(request).reason, 'otherVersion')
  for (const wrong of [NaN, -1, Infinity]) {
    t.is(table('vm1').lend({ ...request, tokensWanted: wrong }).reason, 'badRequest')
    t.is(table('vm1').lend({ ...request, rateWantedPerSec: wrong }).reason, 'badRequest')
    t.is(table('vm1').lend({ ...request, loanTtlMs: wrong }).reason, 'badRequest')
  }
  t.is(table('vm1').lend({ ...request, limitVersion: 1, incarnation: 2 }).reason, '')
  t.is(table('vm1').lend({ ...request, limitVersion: 1 }).reason, 'oldIncarnation')
})

const busyLimit = { ...limit, ratePerSec: 100, burst: 15 }
const createFailingFleet = (policy: LoanPolicy, nextOutcome: () => MessageOutcome) =>
  createSimulatedFleet(5, (options, members, isRestart) => {
    const table = createShareTable({ ...options, policy, startupHold: isRestart })
    table.setRoster({ members, slotCount: members.length })
    table.setLimits([busyLimit])
    return table
  }, nextOutcome)

const upTo = (max: number) => fc.nat({ max })
const delayMs = fc.oneof({ arbitrary: upTo(5), weight: 7 }, { arbitrary: upTo(300), weight: 1 })
const outcomes = fc.array(fc.record({
  requestMs: delayMs,
  replyMs: delayMs,
  isLost: upTo(19).map(roll => roll === 0)
}), { minLength: 20, maxLength: 20 })
const action = fc.constantFrom('take', 'take', 'take', 'kill', 'restart', 'bounce', 'wait')
const step = fc.record({ action, vm: upTo(4), count: upTo(40), ms: fc.oneof(upTo(50), upTo(700)) })
const steps = fc.array(step, { minLength: 30, maxLength: 60, size: 'max' })

for (const [name, policy] of Object.entries({ loans, spreadLoans })) {
  test(`the bound holds with ${name} over arbitrary histories of a fleet`, async t => {
    let admitted = 0
    const property = fc.asyncProperty(outcomes, steps, async (outcomeList, stepList) => {
      let outcomeIndex = 0
      const fleet = createFailingFleet(policy, () => outcomeList[outcomeIndex++ % outcomeList.length])
      const checker = createBoundChecker(busyLimit)
      const acquire = async (vm: string) => {
        if (!(await fleet.table(vm).acquire('acme', 50)).admitted) return
        admitted++
        checker.admit(fleet.time.clock())
      }
      for (const { action: name, vm: index, count, ms } of stepList) {
        const vm = fleet.members[index]
        const isAlive = fleet.isAlive(vm)
        if (isAlive && (name === 'kill' || name === 'bounce')) fleet.kill(vm)
        if (!fleet.isAlive(vm) && (name === 'restart' || name === 'bounce')) fleet.restart(vm)
        if (isAlive && name === 'take') for (let requestIndex = 0; requestIndex < count; requestIndex++) acquire(vm)
        await fleet.time.runUntil(fleet.time.clock() + ms)
      }
      fleet.close()
      return checker.excess() === undefined
    })
    const result = await fc.check(property, { seed, numRuns: historyCount })
    t.false(result.failed, result.failed ? fc.defaultReportMessage(result) : undefined)
    t.log(`${admitted} requests admitted`)
  })
}
