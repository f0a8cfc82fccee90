/**
 * Guards against a fleet that admits more than a workspace's rate limit: through shares that a killed or frozen VM
 * and its peers use at the same time, through a platform outage, and through VMs that keep the old limit after a
 * change.
 */
import test from 'ava'
import { createRandom, monotonicMs, sleepMs } from '@egretyoke/common'
import { createCaller, smallFleet, startFleet } from '@egretyoke/testbed'
import type { Fleet } from '@egretyoke/testbed'
import { excessOverLimit } from './rate-checker.js'
import type { Admission } from './rate-checker.js'

const seed = 41
const vmCount = 9
const limitBefore = { ratePerSec: 100, burst: 50 }
const limitAfter = { ratePerSec: 40, burst: 20 }
const offeredPerSec = 500
/** Fraction of the load that goes to the first VM. */
const firstVmFraction = 0.6
/** Time limit for a configuration change to become active on all VMs. */
const maxPropagationMs = 5_000
const loadAfterChangeMs = 9_000

const requestTimeoutMs = 2_000

/** Sends reads at a constant rate until the signal aborts; resolves to the admitted ones once all answers arrived. */
const offerLoad = async (fleet: Fleet, key: string, signal: AbortSignal): Promise<Admission[]> => {
  const caller = createCaller(fleet.callerAddresses())
  const random = createRandom(seed)
  const admissions: Admission[] = []
  const pending = new Set<Promise<void>>()
  const send = async () => {
    const vm = random.chance(firstVmFraction) ? 0 : random.integer(0, vmCount - 1)
    const sentMs = monotonicMs()
    const answer = await caller.execute(vm,
      { key, route: 'read', statement: 'get berth', timeoutMs: requestTimeoutMs })
    if (answer.kind === 'notRun' || answer.kind === 'lost') return
    admissions.push({ sentMs, receivedMs: monotonicMs() })
  }
  const startMs = monotonicMs()
  for (let sent = 0; !signal.aborted;) {
    for (; sent < (monotonicMs() - startMs) * offeredPerSec / 1_000; sent++) {
      const request = send()
      pending.add(request)
      request.finally(() => pending.delete(request))
    }
    await sleepMs(5)
  }
  await Promise.all(pending)
  caller.close()
  return admissions
}

/** Kills, freezes and restarts VMs and takes the platform down, partly at the same time. */
const injectFaults = async (fleet: Fleet) => {
  await sleepMs(1_000)
  await fleet.kill('vm-1')
  await fleet.restart('vm-1')
  fleet.freeze('vm-2')
  await fleet.setPlatformFault({ down: true })
  await sleepMs(2_500)
  fleet.thaw('vm-2')
  await fleet.kill('vm-3')
  await sleepMs(500)
  await fleet.setPlatformFault({})
  await fleet.restart('vm-3')
  await fleet.restart('vm-1')
  await sleepMs(2_000)
}

test('nine VMs admit no more than burst + rate * T in any interval, with kills, a freeze, an outage and a change',
  async t => {
    const fleet = await startFleet(smallFleet(vmCount), { withoutStewards: true })
    const stop = new AbortController()
    try {
      await fleet.applyConfiguration(draft => { Object.assign(draft.workspaces['yard-1'], limitBefore) })
      await sleepMs(maxPropagationMs)
      const load = offerLoad(fleet, fleet.keyOf('yard-1'), stop.signal)
      await injectFaults(fleet)
      const changedAtMs = monotonicMs()
      await fleet.applyConfiguration(draft => { Object.assign(draft.workspaces['yard-1'], limitAfter) })
      await sleepMs(loadAfterChangeMs)
      stop.abort()
      const admissions = await load
      const admittedBefore = admissions.filter(({ receivedMs }) => receivedMs <= changedAtMs)
      const admittedAfter = admissions.filter(({ sentMs }) => sentMs > changedAtMs + maxPropagationMs)
      t.log({
        admitted: admissions.length,
        beforeTheChange: admittedBefore.length,
        afterTheChange: admittedAfter.length
      })
      t.true(admittedBefore.length > 100 && admittedAfter.length > 20)
      t.is(excessOverLimit(admissions, limitBefore), 0)
      t.is(excessOverLimit(admittedAfter, limitAfter), 0)
    } finally {
      stop.abort()
      await fleet.close()
    }
  })

test('the rate checker finds a single request over the limit in an interval of any length', t => {
  const limit = { ratePerSec: 10, burst: 5 }
  const at = (ms: number): Admission => ({ sentMs: ms, receivedMs: ms })
  const withinLimit = [
    ...Array.from({ length: 5 }, () => at(0)),
    ...Array.from({ length: 50 }, (_, n) => at((n + 1) * 100))
  ]
  t.is(excessOverLimit(withinLimit, limit), 0)
  t.is(excessOverLimit([...withinLimit, at(5_000)], limit), 1)
  t.is(excessOverLimit(Array.from({ length: 6 }, () => at(7)), limit), 1)
  t.is(excessOverLimit([...withinLimit, { sentMs: 0, receivedMs: 9_000 }], limit), 0)
})
