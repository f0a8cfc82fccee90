/**
 * Guards against callers that go on working with a withdrawn key: requests that were queued, streams and transactions
 * that were open when the key was withdrawn, and VMs that cannot reach the platform or their peers.
 */
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { monotonicMs, sleepMs } from '@egretyoke/common'
import { createKey } from '@egretyoke/config'
import { connectRawCaller, executeRaw, openRawTransaction, outcomeOf, streamRaw } from './caller-streams.js'
import { eventually, startLocalFleet } from './local-fleet.js'
import type { LocalFleet } from './local-fleet.js'

const boundMs = 5_000
const observedMs = 6_000
const quietMs = 1_000
/** Per VM; more than the slots of the database, so that some requests are always queued. */
const queuedCallers = 4
/** Time limit for the start of all callers; long, because the machine may be busy. */
const beginMs = 60_000
const stepMs = 25
const streamTimeoutMs = 60_000

/** Links that are cut in each case: platform links of VMs, and all peer links. */
const cuts: Record<string, { platformOf: string[], peers: boolean }> = {
  'no VM cut off': { platformOf: [], peers: false },
  'one VM cut off from the platform only': { platformOf: ['vm-2'], peers: false },
  'all VMs cut off from their peers only': { platformOf: [], peers: true },
  'one VM cut off from the platform and from its peers': { platformOf: ['vm-2'], peers: true }
}

const setCuts = (fleet: LocalFleet, cut: { platformOf: string[], peers: boolean }, isCut: boolean) => {
  for (const vm of cut.platformOf) fleet.platformLink(vm).setFault({ cut: isCut })
  if (!cut.peers) return
  for (const vm of fleet.vmNames) fleet.peerLink(vm).setFault({ cut: isCut })
}

/** Starts callers of one VM that use a key until the signal aborts; `lastMs` holds the last progress of each kind. */
const startCallers = (address: string, key: string, signal: AbortSignal) => {
  const client = connectRawCaller(address)
  const lastMs: Record<string, number> = {}
  const note = (caller: string) => { lastMs[caller] = monotonicMs() }

  const statements = async (caller: string, route: string, statement: string) => {
    while (!signal.aborted) {
      const sentMs = monotonicMs()
      const answer = await executeRaw(client, { route, key }, statement)
      if (outcomeOf(answer).kind === 'done') lastMs[caller] = sentMs
      await sleepMs(stepMs)
    }
  }
  const stream = async () => {
    while (!signal.aborted) {
      const fields = { route: 'read', key, profile: 'long' }
      await streamRaw(client, fields, 'scan wide rows=100000', async () => {
        note('streaming')
        await sleepMs(stepMs)
      })
      await sleepMs(stepMs)
    }
  }
  const transactions = async () => {
    while (!signal.aborted) {
      const transaction = openRawTransaction(client, { route: 'write', key, profile: 'long' })
      let isOpen = outcomeOf(await transaction.begin()).kind === 'done'
      while (isOpen && !signal.aborted) {
        await sleepMs(stepMs)
        isOpen = outcomeOf(await transaction.execute('add berth 0 op=none')).kind === 'done'
        if (isOpen) note('mid-transaction')
      }
      transaction.cancel()
      await sleepMs(stepMs)
    }
  }
  const queued = Array.from({ length: queuedCallers }, () => statements('queued', 'read', 'get berth costMs=40'))
  const all = Promise.all([statements('busy', 'write', 'add berth 0 op=none'), stream(), transactions(), ...queued])
  /** Sends one request on the connection that has been open since the start. */
  const idleRequest = async () => outcomeOf(await executeRaw(client, { route: 'read', key }, 'get berth'))
  const close = async () => {
    await all
    client.close()
  }
  return { lastMs, idleRequest, close }
}

const withdrawUnder = async (t: ExecutionContext, fleet: LocalFleet, name: string, index: number) => {
  const { text: key, keyId, stored } = createKey(`key-${index}`)
  await fleet.applyConfiguration(draft => { draft.workspaces['yard-1'].keys[keyId] = stored })
  const probes = fleet.callerAddresses().map(connectRawCaller)
  for (const probe of probes) {
    await eventually('the key is active', async () =>
      outcomeOf(await executeRaw(probe, { route: 'read', key }, 'get berth')).kind === 'done')
    probe.close()
  }
  const stop = new AbortController()
  const callers = fleet.callerAddresses().map(address => startCallers(address, key, stop.signal))
  const isAtWork = () => callers.every(({ lastMs }) => Object.keys(lastMs).length === 4)
  const isQuiet = () => callers.every(({ lastMs }) =>
    Object.values(lastMs).every(ms => monotonicMs() - ms > quietMs))
  let withdrawnMs = 0
  let idle: Array<{ kind: string, reason: string }> = []
  try {
    await eventually('all callers make progress', isAtWork, beginMs)
    setCuts(fleet, cuts[name], true)
    await fleet.applyConfiguration(draft => { draft.workspaces['yard-1'].keys[keyId].state = 'withdrawn' })
    withdrawnMs = monotonicMs()
    await eventually(`${name}: all callers have stopped`, isQuiet, observedMs)
    idle = await Promise.all(callers.map(caller => caller.idleRequest()))
  } finally {
    stop.abort()
    setCuts(fleet, cuts[name], false)
    await Promise.all(callers.map(caller => caller.close()))
  }
  for (const [vm, { lastMs }] of callers.entries()) {
    const afterMs = Object.fromEntries(Object.entries(lastMs).map(([caller, ms]) =>
      [caller, Math.round(Math.max(0, ms - withdrawnMs))]))
    t.log(name, fleet.vmNames[vm], 'progress continued for (ms)', afterMs)
    for (const [caller, ms] of Object.entries(afterMs)) t.true(ms < boundMs, `${name}: ${caller} of ${vm + 1}`)
    t.is(idle[vm].kind, 'notRun', name)
    t.true(['keyRefused', 'outOfContact'].includes(idle[vm].reason), idle[vm].reason)
  }
  await fleet.waitReady()
}

test('a withdrawn key stops idle, busy, queued, streaming and mid-transaction callers on every VM', async t => {
  const fleet = await startLocalFleet({
    edit: configuration => {
      configuration.profiles.long = { ...configuration.profiles.session, timeoutMs: streamTimeoutMs }
      configuration.workspaces['yard-1'].ratePerSec = 100_000
      configuration.workspaces['yard-1'].burst = 100_000
    }
  })
  const client = connectRawCaller(fleet.callerAddress('vm-1'))
  try {
    const fields = { route: 'write', key: fleet.keyOf('yard-1') }
    await executeRaw(client, fields, `put wide ${'w'.repeat(200)} op=1`)
    for (const [index, name] of Object.keys(cuts).entries()) await withdrawUnder(t, fleet, name, index)
  } finally {
    client.close()
    await fleet.close()
  }
})
