/**
 * Tests how many requests are refused while all callers use one or two of 9 VMs and send 90% of the workspace's rate.
 */
import test from 'ava'
import type { LoanPolicy } from './borrowing.js'
import { loans, staticSlices } from './loan-policy.js'
import { createShareTable } from './share-table.js'
import { createBoundChecker } from './soak/bound-checker.js'
import { createSimulatedFleet } from './soak/simulated-fleet.js'

const loadFraction = 0.9
const runMs = 20_000
const maxWaitMs = 50

/** Maximum fraction of the requests that may be refused. */
const maxRefusedFraction = 0.001

type Scenario = { ratePerSec: number, burst: number, busyVms: string[] }

const run = async (policy: LoanPolicy, { ratePerSec, burst, busyVms }: Scenario) => {
  const limit = { name: 'acme', ratePerSec, burst, version: 1 }
  const fleet = createSimulatedFleet(9, (options, members) => {
    const table = createShareTable({ ...options, policy, startupHold: false })
    table.setRoster({ members, slotCount: members.length })
    table.setLimits([limit])
    return table
  })
  const checker = createBoundChecker(limit)
  let refused = 0
  let requests = 0
  const request = async (vm: string) => {
    const { admitted } = await fleet.table(vm).acquire('acme', maxWaitMs)
    if (admitted) checker.admit(fleet.time.clock())
    else refused++
  }
  for (let atMs = 0; atMs < runMs; atMs += 1000 / (ratePerSec * loadFraction)) {
    await fleet.time.runUntil(atMs)
    request(busyVms[requests++ % busyVms.length])
  }
  await fleet.time.runUntil(runMs + maxWaitMs)
  fleet.close()
  return { refusedFraction: refused / requests, excess: checker.excess() }
}

const limits = [
  { ratePerSec: 20, burst: 5 },
  { ratePerSec: 100, burst: 5 },
  { ratePerSec: 100, burst: 20 },
  { ratePerSec: 500, burst: 50 }
]

for (const { ratePerSec, burst } of limits) {
  for (const busyVms of [['vm1'], ['vm2', 'vm7']]) {
    test(`${ratePerSec}/s, burst ${burst}, callers at ${busyVms.length} VM: loans refuse at most 0.1%`, async t => {
      const { refusedFraction, excess } = await run(loans, { ratePerSec, burst, busyVms })
      t.is(excess, undefined)
      t.true(refusedFraction <= maxRefusedFraction, `${refusedFraction}`)
    })
  }
}

test('equal static slices refuse most requests', async t => {
  const { refusedFraction } = await run(staticSlices, { ratePerSec: 100, burst: 20, busyVms: ['vm2', 'vm7'] })
  t.true(refusedFraction > 0.5, `${refusedFraction}`)
})
