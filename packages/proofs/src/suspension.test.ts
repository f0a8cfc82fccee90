/**
 * VMs whose shares of the limits are suspended. Guards against shares that stay unused after a VM has died, against a
 * suspended VM that keeps admitting while its peers use its shares, and against a VM that stays suspended.
 */
import test from 'ava'
import { monotonicMs, sleepMs } from '@egretyoke/common'
import { decodeRecord, encodeRecord, rosterSchema, storeKeys } from '@egretyoke/config'
import { createCaller } from '@egretyoke/testbed'
import { eventually, startLocalFleet } from './local-fleet.js'
import type { LocalFleet, LocalFleetOptions } from './local-fleet.js'
import { excessOverLimit } from './rate-checker.js'

const limit = { ratePerSec: 100, burst: 60 }
const requestTimeoutMs = 2_000
const sendIntervalMs = 5
const platformTimeoutMs = 1_000
/** Period without refusals that a test waits for, and the minimum number of requests sent in it. */
const noRefusalPeriodMs = 4_000
const minPeriodRequests = 200
/** Maximum time for which a VM that is cut off still admits: its contact TTL and the answers then in flight. */
const maxContactLossMs = 3_000
const settleMs = 1_500

type AnswerRecord = { vm: string, kind: string, reason: string, sentMs: number, receivedMs: number }

const edit: LocalFleetOptions['edit'] = configuration => {
  Object.assign(configuration.workspaces['yard-1'], limit)
}

/** Sends reads to the VMs in rotation at a constant rate; `stop` ends the load and resolves after the last answer. */
const startLoad = (fleet: LocalFleet, vms: string[], ratePerSec: number) => {
  const caller = createCaller(vms.map(fleet.callerAddress))
  const answers: AnswerRecord[] = []
  const stopController = new AbortController()
  const send = async (index: number) => {
    const sentMs = monotonicMs()
    const request = { key: fleet.keyOf('yard-1'), route: 'read', statement: 'get berth', timeoutMs: requestTimeoutMs }
    const { kind, reason } = await caller.execute(index, request)
    answers.push({ vm: vms[index], kind, reason, sentMs, receivedMs: monotonicMs() })
  }
  const run = async () => {
    const pending: Array<Promise<void>> = []
    const startMs = monotonicMs()
    while (!stopController.signal.aborted) {
      while (pending.length < (monotonicMs() - startMs) * ratePerSec / 1_000) {
        pending.push(send(pending.length % vms.length))
      }
      await sleepMs(sendIntervalMs)
    }
    await Promise.all(pending)
    caller.close()
  }
  const completion = run()
  const stop = () => {
    stopController.abort()
    return completion
  }
  return { answers, stop }
}

const isAdmitted = ({ kind }: AnswerRecord) => kind === 'done' || kind === 'failed' || kind === 'outcomeUnknown'
const excessOf = (answers: AnswerRecord[]) => excessOverLimit(answers.filter(isAdmitted), limit)
const sentSince = (answers: AnswerRecord[], fromMs: number) => answers.filter(({ sentMs }) => sentMs >= fromMs)

const readRoster = async (fleet: LocalFleet) => {
  const stored = await fleet.platform.get(storeKeys.roster, platformTimeoutMs)
  if (!stored.ok || !stored.val) throw new Error('no roster')
  return {
    roster: decodeRecord(storeKeys.roster, stored.val.value, rosterSchema).unwrap(),
    revision: stored.val.revision
  }
}

const suspendedVms = async (fleet: LocalFleet) =>
  (await readRoster(fleet)).roster.members.filter(member => member.suspended).map(member => member.name)

const storeSuspended = async (fleet: LocalFleet, names: string[]) => {
  const { roster, revision: expectedRevision } = await readRoster(fleet)
  const members = roster.members.map(member => ({ ...member, suspended: names.includes(member.name) }))
  const value = encodeRecord({ ...roster, members })
  await fleet.platform.compareAndSwap({ key: storeKeys.roster, expectedRevision, value }, platformTimeoutMs)
}

/**
 * Waits for a period without refusals. The load needs the shares of all VMs for it: two thirds of the rate and a full
 * burst admit fewer requests than it sends in the period.
 */
const waitUntilNothingRefused = (answers: AnswerRecord[]) => {
  const startMs = monotonicMs()
  return eventually('nothing is refused', () => {
    const fromMs = monotonicMs() - noRefusalPeriodMs
    return fromMs >= startMs && sentSince(answers, fromMs).every(isAdmitted)
  })
}

const isReady = async (fleet: LocalFleet, vm: string) =>
  (await fetch(`http://${fleet.healthAddress(vm)}/readyz`)).status === 200

test('the other VMs receive the share of a VM that died, although the platform still lists it', async t => {
  const fleet = await startLocalFleet({ edit, stewardCount: 1 })
  const load = startLoad(fleet, ['vm-1', 'vm-2'], 0.9 * limit.ratePerSec)
  try {
    await sleepMs(settleMs)
    await fleet.closeEntry('vm-3')
    await eventually('vm-3 is suspended', async () => (await suspendedVms(fleet)).includes('vm-3'))
    await waitUntilNothingRefused(load.answers)
    t.true(sentSince(load.answers, monotonicMs() - noRefusalPeriodMs).length > minPeriodRequests)
    await load.stop()
    t.is(excessOf(load.answers), 0)
    t.is((await readRoster(fleet)).roster.members.length, 3)
  } finally {
    await load.stop()
    await fleet.close()
  }
})

test('a suspended VM that is alive but cut off admits nothing, and returns', async t => {
  const fleet = await startLocalFleet({ edit })
  const load = startLoad(fleet, fleet.vmNames, 2 * limit.ratePerSec)
  const setCut = (cut: boolean) => {
    fleet.platformLink('vm-3').setFault({ cut })
    for (const vm of fleet.vmNames) fleet.peerLink(vm).setFault({ cut })
  }
  try {
    await sleepMs(settleMs)
    setCut(true)
    await storeSuspended(fleet, ['vm-3'])
    const suspendedAtMs = monotonicMs()
    await sleepMs(maxContactLossMs + 2 * noRefusalPeriodMs)
    const admitted = sentSince(load.answers, suspendedAtMs + maxContactLossMs).filter(isAdmitted)
    t.deepEqual(admitted.filter(({ vm }) => vm === 'vm-3'), [])
    t.true(admitted.length > minPeriodRequests)
    t.false(await isReady(fleet, 'vm-3'))
    setCut(false)
    await sleepMs(settleMs)
    t.false(await isReady(fleet, 'vm-3'))
    await storeSuspended(fleet, [])
    await fleet.waitReady(['vm-3'])
    const readyAtMs = monotonicMs()
    await eventually('vm-3 admits', () =>
      sentSince(load.answers, readyAtMs).some(answer => answer.vm === 'vm-3' && isAdmitted(answer)))
    await load.stop()
    t.is(excessOf(load.answers), 0)
  } finally {
    await load.stop()
    await fleet.close()
  }
})

test('a VM unreachable to its peers and the steward is suspended, reports not ready and returns by itself', async t => {
  const fleet = await startLocalFleet({ edit, stewardCount: 1 })
  const load = startLoad(fleet, fleet.vmNames, 2 * limit.ratePerSec)
  try {
    fleet.peerLink('vm-3').setFault({ cut: true })
    await eventually('vm-3 is suspended', async () => (await suspendedVms(fleet)).includes('vm-3'))
    await eventually('vm-3 is not ready', async () => !await isReady(fleet, 'vm-3'))
    await sleepMs(2 * noRefusalPeriodMs)
    fleet.peerLink('vm-3').setFault({ cut: false })
    await eventually('the suspension is lifted', async () => (await suspendedVms(fleet)).length === 0)
    await fleet.waitReady(['vm-3'])
    await sleepMs(noRefusalPeriodMs)
    await load.stop()
    t.is(excessOf(load.answers), 0)
  } finally {
    await load.stop()
    await fleet.close()
  }
})
