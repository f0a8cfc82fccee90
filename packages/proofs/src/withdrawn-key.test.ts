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

const maxStopMs = 5_000
const observationMs = 6_000
const noProgressPeriodMs = 1_000
/** Number for each VM; more than the slots of the database, so that some requests are always queued. */
const queuedCallerCount = 4
/** Time limit for the start of all callers; long, because the machine may be busy. */
const startTimeoutMs = 60_000
const stepIntervalMs = 25
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

/** Starts callers of one VM that use a key until the signal aborts; `lastProgressMs` is by kind of caller. */
const startCallers = (address: string, key: string, signal: AbortSignal) => {
  const client = connectRawCaller(address)
  const lastProgressMs: Record<string, number> = {}
  const recordProgress = (caller: string) => { lastProgressMs[caller] = monotonicMs() }

  const runStatements = async (caller: string, route: string, statement: string) => {
    while (!signal.aborted) {
      const sentMs = monotonicMs()
      const answer = await executeRaw(client, { route, key }, statement)
      if (outcomeOf(answer).kind === 'done') lastProgressMs[caller] = sentMs
      await sleepMs(stepIntervalMs)
    }
  }
  const runStreams = async () => {
    while (!signal.aborted) {
      const fields = { route: 'read', key, profile: 'long' }
      await streamRaw(client, fields, 'scan wide rows=100000', async () => {
        recordProgress('streaming')
        await sleepMs(stepIntervalMs)
      })
      await sleepMs(stepIntervalMs)
    }
  }
  const runTransactions = async () => {
    while (!signal.aborted) {
      const transaction = openRawTransaction(client, { route: 'write', key, profile: 'long' })
      let isOpen = outcomeOf(await transaction.begin()).kind === 'done'
      while (isOpen && !signal.aborted) {
        await sleepMs(stepIntervalMs)
        isOpen = outcomeOf(await transaction.execute('add berth 0 op=none')).kind === 'done'
        if (isOpen) recordProgress('mid-transaction')
      }
      transaction.cancel()
      await sleepMs(stepIntervalMs)
    }
  }
  const queued = Array.from({ length: queuedCallerCount }, () => runStatements('queued', 'read', 'get berth costMs=40'))
  const completion = Promise.all([
    runStatements('busy', 'write', 'add berth 0 op=none'), runStreams(), runTransactions(), ...queued
  ])
  /** Sends one request on the connection that has been open since the start. */
  const idleRequest = async () => outcomeOf(await executeRaw(client, { route: 'read', key }, 'get berth'))
  const close = async () => {
    await completion
    client.close()
  }
  return { lastProgressMs, idleRequest, close }
}

const checkWithdrawal = async (t: ExecutionContext, fleet: LocalFleet, name: string, index: number) => {
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
  const areAllActive = () => callers.every(({ lastProgressMs }) => Object.keys(lastProgressMs).length === 4)
  const haveAllStopped = () => callers.every(({ lastProgressMs }) =>
    Object.values(lastProgressMs).every(ms => monotonicMs() - ms > noProgressPeriodMs))
  let withdrawnAtMs = 0
  let idleOutcomes: Array<{ kind: string, reason: string }> = []
  try {
    await eventually('all callers make progress', areAllActive, startTimeoutMs)
    setCuts(fleet, cuts[name], true)
    await fleet.applyConfiguration(draft => { draft.workspaces['yard-1'].keys[keyId].state = 'withdrawn' })
    withdrawnAtMs = monotonicMs()
    await eventually(`${name}: all callers have stopped`, haveAllStopped, observationMs)
    idleOutcomes = await Promise.all(callers.map(caller => caller.idleRequest()))
  } finally {
    stop.abort()
    setCuts(fleet, cuts[name], false)
    await Promise.all(callers.map(caller => caller.close()))
  }
  for (const [vm, { lastProgressMs }] of callers.entries()) {
    const continuedMs = Object.fromEntries(Object.entries(lastProgressMs).map(([caller, ms]) =>
      [caller, Math.round(Math.max(0, ms - withdrawnAtMs))]))
    t.log(name, fleet.vmNames[vm], 'progress continued for (ms)', continuedMs)
    for (const [caller, ms] of Object.entries(continuedMs)) t.true(ms < maxStopMs, `${name}: ${caller} of ${vm + 1}`)
    t.is(idleOutcomes[vm].kind, 'notRun', name)
    t.true(['keyRefused', 'outOfContact'].includes(idleOutcomes[vm].reason), idleOutcomes[vm].reason)
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
    for (const [index, name] of Object.keys(cuts).entries()) await checkWithdrawal(t, fleet, name, index)
  } finally {
    client.close()
    await fleet.close()
  }
})
