/**
 * Guards against a VM that cuts off requests when SIGTERM ends it: calls that are still open after the drain notice,
 * and calls that arrive until the balancer has seen that the VM is not ready.
 */
import test from 'ava'
import { sleepMs } from '@egretyoke/common'
import { smallFleet, startFleet } from '@egretyoke/testbed'
import type { Fleet } from '@egretyoke/testbed'
import { connectRawCaller, executeRaw, openRawTransaction, outcomeOf, streamRaw } from './caller-streams.js'
import type { CallerFields, RawCaller } from './caller-streams.js'

const readyPollMs = 50
const longStatementMs = 1_200
const stepPauseMs = 150
const chunkPauseMs = 45
/** Shorter than the long calls, so that a VM has to wait for them after the notice. */
const drainNoticeMs = 400
const loadPeriodMs = 500
const rowCount = 3_000

/** Polls the readiness of all VMs until the signal aborts, as the balancer does; `ready` holds the ready VMs. */
const pollReadiness = (fleet: Fleet, signal: AbortSignal) => {
  const ready = new Set(fleet.vmNames)
  const poll = async (vm: string) => {
    while (!signal.aborted) {
      try {
        const response = await fetch(`http://${fleet.healthAddress(vm)}/readyz`)
        if (response.status === 200) ready.add(vm)
        else ready.delete(vm)
      } catch {
        ready.delete(vm)
      }
      await sleepMs(readyPollMs)
    }
  }
  const completion = Promise.all(fleet.vmNames.map(poll))
  return { ready, completion }
}

type Workload = (client: RawCaller, fields: CallerFields, name: string) => Promise<string>

const workloads: Record<string, Workload> = {
  'short write': async (client, fields, name) =>
    outcomeOf(await executeRaw(client, { ...fields, route: 'write' }, `add berth 1 op=${name}`)).kind,
  'long read': async (client, fields) =>
    outcomeOf(await executeRaw(client, { ...fields, route: 'read' }, `get berth costMs=${longStatementMs}`)).kind,
  'long stream': async (client, fields) => {
    const { rows, end } = await streamRaw(client, { ...fields, route: 'read' }, `scan berth rows=${rowCount}`,
      async () => { await sleepMs(chunkPauseMs) })
    return rows.length === rowCount ? outcomeOf(end).kind : `${rows.length} rows, ${outcomeOf(end).kind}`
  },
  'long transaction': async (client, fields, name) => {
    const transaction = openRawTransaction(client, { ...fields, route: 'write' })
    const beginOutcome = outcomeOf(await transaction.begin())
    if (beginOutcome.kind !== 'done') return beginOutcome.kind
    for (let step = 0; step < 8; step++) {
      await sleepMs(stepPauseMs)
      const { kind } = outcomeOf(await transaction.execute(`add quay 1 op=${name}-${step}`))
      if (kind !== 'done') return `step ${step}: ${kind}`
    }
    return outcomeOf(await transaction.commit()).kind
  }
}

/** Runs all workloads on all ready VMs until the signal aborts; resolves to the counts by workload and outcome. */
const runCallers = async (fleet: Fleet, signal: AbortSignal): Promise<Record<string, number>> => {
  const { ready, completion } = pollReadiness(fleet, signal)
  const clients = new Map(fleet.vmNames.map(vm => [vm, connectRawCaller(fleet.callerAddress(vm))]))
  const counts: Record<string, number> = {}
  const fields = { key: fleet.keyOf('yard-1'), timeoutMs: 10_000 }
  const worker = async (vm: string, workload: string, index: number) => {
    for (let iteration = 0; !signal.aborted; iteration++) {
      if (!ready.has(vm)) {
        await sleepMs(readyPollMs)
        continue
      }
      const outcome = await workloads[workload](clients.get(vm)!, fields, `${vm}-${index}-${iteration}`)
      counts[`${workload}: ${outcome}`] = (counts[`${workload}: ${outcome}`] ?? 0) + 1
    }
  }
  await Promise.all(fleet.vmNames.flatMap(vm =>
    Object.keys(workloads).flatMap(workload => [0, 1].map(index => worker(vm, workload, index)))))
  await completion
  for (const client of clients.values()) client.close()
  return counts
}

const highLimitFleet = (vmCount: number) => {
  const description = smallFleet(vmCount)
  for (const workspace of Object.values(description.configuration.workspaces)) {
    workspace.ratePerSec = 100_000
    workspace.burst = 100_000
  }
  for (const profile of Object.values(description.configuration.profiles)) profile.timeoutMs = 20_000
  for (const endpoint of Object.values(description.configuration.groups['group-1'].endpoints)) {
    endpoint.slots = 20
    endpoint.maxConnections = 60
  }
  return description
}

const isInterrupted = (outcome: string) => !outcome.endsWith(': done')

test('no request is cut off when SIGTERM ends VMs one by one, two at once, and during a platform outage',
  async t => {
    const fleet = await startFleet(highLimitFleet(3), {
      withoutStewards: true, entrySettings: () => ({ drainNoticeMs })
    })
    const stop = new AbortController()
    const callers = runCallers(fleet, stop.signal)
    const terminateAndRestart = async (...vms: string[]) => {
      await sleepMs(loadPeriodMs)
      t.deepEqual(await Promise.all(vms.map(vm => fleet.terminate(vm))), vms.map(() => 0))
      for (const vm of vms) await fleet.restart(vm)
      await fleet.waitReady()
    }
    try {
      for (const vm of fleet.vmNames) await terminateAndRestart(vm)
      await terminateAndRestart('vm-1', 'vm-3')
      await sleepMs(loadPeriodMs)
      await fleet.setPlatformFault({ down: true })
      await sleepMs(loadPeriodMs)
      t.is(await fleet.terminate('vm-2'), 0)
      await fleet.setPlatformFault({})
      stop.abort()
      const counts = await callers
      t.log(counts)
      t.deepEqual(Object.keys(counts).filter(isInterrupted), [])
      t.is(Object.keys(counts).length, Object.keys(workloads).length)
    } finally {
      stop.abort()
      await callers
      await fleet.close()
    }
  })

test('the same load detects requests that are cut off when a VM is killed', async t => {
  const fleet = await startFleet(highLimitFleet(2), { withoutStewards: true })
  const stop = new AbortController()
  const callers = runCallers(fleet, stop.signal)
  try {
    await sleepMs(loadPeriodMs)
    await fleet.kill('vm-1')
    stop.abort()
    t.not(Object.keys(await callers).filter(isInterrupted).length, 0)
  } finally {
    stop.abort()
    await callers
    await fleet.close()
  }
})
