/**
 * Runs a scenario against one fleet: load and faults concurrently, then the measures and checks.
 */
import { sleepMs } from '@egretyoke/common'
import { createCaller } from '@egretyoke/testbed'
import type { Fleet } from '@egretyoke/testbed'
import type { LoadStream } from './arrivals.js'
import { startBalancer } from './balancer.js'
import { createFaultInjector, startStopwatch } from './faults.js'
import type { Fault, InjectedFault } from './faults.js'
import { readFinalLogs } from './fleet-roles.js'
import { runLoad } from './generator.js'
import type { History, Operation } from './history.js'
import { measureRun } from './measures.js'
import type { Measures } from './measures.js'

/** Light load before the run, not measured, so that the JIT compiler has compiled the programs' hot code. */
export type WarmUp = { streams: LoadStream[], durationMs: number }

/** Load and faults of a run. Streams that last to the end should extend beyond `plannedMs` by `maxExtensionMs`. */
export type Scenario = {
  streams: LoadStream[]
  faults: Fault[]
  /** Planned length; the load continues until every failover is complete, for at most `maxExtensionMs` more. */
  plannedMs: number
  seed: number
  runId: string
  warmUp?: WarmUp
}

/** Result of a run. */
export type ScenarioResult = {
  measures: Measures
  history: History
  faults: InjectedFault[]
  endedMs: number
}

/** Progress callbacks of a run. */
export type Progress = {
  onOperation?: (operation: Operation) => void
  onFault?: (fault: InjectedFault) => void
}

/** Maximum time by which the load is extended beyond the planned length until failovers are complete. */
export const maxExtensionMs = 20_000

const settleBeforeLoadMs = 2_500
const settleAfterLoadMs = 500
const completionPollMs = 100
const finalPrimaryTimeoutMs = 30_000
const channelsPerVm = 1

/** Runs a scenario against a ready fleet. Rejects when a group has no primary after the run. */
export const runScenario = async (
  fleet: Fleet,
  scenario: Scenario,
  progress: Progress = {}
): Promise<ScenarioResult> => {
  const caller = createCaller(fleet.callerAddresses(), channelsPerVm)
  const balancer = startBalancer(fleet.vmNames.length, fleet.vmNames.map(fleet.healthAddress))
  const injector = createFaultInjector(fleet, scenario.plannedMs)
  const stopping = new AbortController()
  const lastWriteMs = new Map<string, number>()
  let areFaultsPending = true

  const recordOperation = (operation: Operation) => {
    if (operation.access === 'write' && operation.kind === 'done') {
      lastWriteMs.set(operation.group, operation.sentMs)
    }
    progress.onOperation?.(operation)
  }
  const areFailoversComplete = () =>
    injector.failovers.every(({ group, atMs }) => (lastWriteMs.get(group) ?? 0) > atMs)

  try {
    const target = { caller, balancer, configuration: fleet.configuration(), keyOf: fleet.keyOf }
    const { warmUp, seed } = scenario
    if (warmUp) await runLoad(target, { ...warmUp, seed, runId: `${scenario.runId}-warm-up` })
    await sleepMs(settleBeforeLoadMs)
    const nowMs = startStopwatch()
    const stopWhenComplete = async () => {
      while (nowMs() < scenario.plannedMs || areFaultsPending || !areFailoversComplete()) {
        if (nowMs() > scenario.plannedMs + maxExtensionMs) break
        await sleepMs(completionPollMs)
      }
      stopping.abort()
      return nowMs()
    }
    const load = runLoad(target, {
      streams: scenario.streams,
      durationMs: scenario.plannedMs,
      seed,
      runId: scenario.runId,
      onOperation: recordOperation,
      signal: stopping.signal
    })
    const injectFaults = async () => {
      await injector.run(scenario.faults, nowMs, progress.onFault ?? (() => {}))
      areFaultsPending = false
    }
    const [history, endedMs] = await Promise.all([load, stopWhenComplete(), injectFaults()])
    await sleepMs(settleAfterLoadMs)
    const logs = await readFinalLogs(fleet, finalPrimaryTimeoutMs)
    const measures = measureRun(history, target.configuration, logs, { ...injector, endedMs })
    return { measures, history, faults: injector.injected, endedMs }
  } finally {
    stopping.abort()
    balancer.close()
    caller.close()
  }
}
