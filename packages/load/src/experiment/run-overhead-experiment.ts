/**
 * Overhead of an entry: latency of the same reads sent directly to the primary and through one entry, in alternating
 * rounds of one second; then the CPU time of a busy entry, and its memory for connected idle callers.
 */
import { once } from 'node:events'
import { connect } from 'node:http2'
import type { ClientHttp2Session } from 'node:http2'
import { monotonicMs, sleepMs } from '@egretyoke/common'
import { connectGrpc, endpointProto, loopbackChannels } from '@egretyoke/protocol'
import type { EndpointMessages } from '@egretyoke/protocol'
import { createCaller, startFleet } from '@egretyoke/testbed'
import type { Fleet } from '@egretyoke/testbed'
import { poissonArrivals } from '../arrivals.js'
import { describeFleet } from './experiment-fleet.js'
import type { ExperimentOutcome, MeasureValue } from './experiment-result.js'
import { fleetShapeSchema } from './experiment-schema.js'
import type { OverheadExperiment } from './experiment-schema.js'
import { median, readProcessCost } from './process-cost.js'
import type { LogProgress } from './run-load-experiment.js'

const workspace = 'yard-1'
const statement = 'get berth costMs=1'
const directConnections = 12
const roundMs = 1_000
const settleMs = 3_000
const bytesPerKb = 1024
const statementTimeoutMs = 5_000
const connectBatchSize = 50

/** Runs one statement; resolves to false when it fails. */
type Execute = () => Promise<boolean>

/** Creates a pool of direct connections to a database; each connection runs one statement at a time. */
const connectDirectly = (address: string) => {
  const client = connectGrpc(endpointProto.Endpoint, address, loopbackChannels)
  let lastRequestId = 0
  const idle: Array<ReturnType<typeof client.Connect>> = []
  const waiting: Array<(stream: ReturnType<typeof client.Connect>) => void> = []

  const nextReply = async (stream: ReturnType<typeof client.Connect>): Promise<EndpointMessages.Reply__Output> => {
    const [reply] = await once(stream, 'data')
    return reply
  }
  const open = async () => {
    const stream = client.Connect()
    stream.on('error', () => {})
    stream.write({ requestId: ++lastRequestId, generation: 1, open: { group: 'group-1' } })
    await nextReply(stream)
    idle.push(stream)
  }
  const acquire = () => {
    const stream = idle.pop()
    return stream ? Promise.resolve(stream) : new Promise<typeof idle[number]>(resolve => waiting.push(resolve))
  }
  const release = (stream: typeof idle[number]) => {
    const next = waiting.shift()
    if (next) next(stream)
    else idle.push(stream)
  }
  const execute: Execute = async () => {
    const stream = await acquire()
    stream.write({
      requestId: ++lastRequestId,
      generation: 1,
      execute: { statement: Buffer.from(statement), writes: false, timeoutMs: statementTimeoutMs }
    })
    const reply = await nextReply(stream)
    release(stream)
    return reply.end?.verdict === 'DONE'
  }
  const openAll = () => Promise.all(Array.from({ length: directConnections }, open))
  return { openAll, execute, close: () => client.close() }
}

type Run = { latenciesMs: number[], failed: number }

/** Sends statements open-loop at the given rate; latencies count from the intended start. */
const sendOpenLoop = async (execute: Execute, ratePerSec: number, durationMs: number, seed: number): Promise<Run> => {
  const run: Run = { latenciesMs: [], failed: 0 }
  const startedMs = monotonicMs()
  const open: Array<Promise<void>> = []
  const send = async (intendedMs: number) => {
    const isDone = await execute()
    if (isDone) run.latenciesMs.push(monotonicMs() - startedMs - intendedMs)
    else run.failed++
  }
  const stream = { workspace, ratePerSec, fromMs: 0, toMs: durationMs, mix: {} }
  for (const { atMs } of poissonArrivals(stream, seed)) {
    const waitMs = startedMs + atMs - monotonicMs()
    if (waitMs > 0) await sleepMs(waitMs)
    open.push(send(atMs))
  }
  await Promise.all(open)
  return run
}

const percentileOf = (values: number[], share: number): number | undefined =>
  values.toSorted((left, right) => left - right)[Math.floor(values.length * share)]

/** Compares the latencies of direct reads and of reads through the entry, in alternating rounds. */
const compareLatencies = async (
  direct: Execute, throughEntry: Execute, ratePerSec: number, rounds: number, seed: number
) => {
  const directMs: number[] = []
  const entryMs: number[] = []
  let failed = 0
  for (let round = 0; round < rounds; round++) {
    const paths = [{ execute: direct, latenciesMs: directMs }, { execute: throughEntry, latenciesMs: entryMs }]
    for (const { execute, latenciesMs } of round % 2 === 0 ? paths : paths.toReversed()) {
      const run = await sendOpenLoop(execute, ratePerSec, roundMs, seed + round)
      latenciesMs.push(...run.latenciesMs)
      failed += run.failed
    }
  }
  const measures: Record<string, MeasureValue> = { statements: directMs.length + entryMs.length, failed }
  for (const [name, share] of [['P50', 0.5], ['P99', 0.99]] as const) {
    const entryValueMs = percentileOf(entryMs, share)
    const directValueMs = percentileOf(directMs, share)
    measures[`direct${name}Ms`] = directValueMs
    measures[`entry${name}Ms`] = entryValueMs
    measures[`added${name}Ms`] =
      entryValueMs === undefined || directValueMs === undefined ? undefined : entryValueMs - directValueMs
  }
  return measures
}

const measureCost = async (fleet: Fleet, execute: Execute, ratePerSec: number, durationMs: number, seed: number) => {
  const address = fleet.healthAddress(fleet.vmNames[0])
  const before = await readProcessCost(address)
  const startedMs = monotonicMs()
  const run = await sendOpenLoop(execute, ratePerSec, durationMs, seed)
  const seconds = (monotonicMs() - startedMs) / 1_000
  const after = await readProcessCost(address)
  const cpuSeconds = after.cpuSeconds - before.cpuSeconds
  return {
    done: run.latenciesMs.length,
    failed: run.failed,
    donePerSec: run.latenciesMs.length / seconds,
    entryCores: cpuSeconds / seconds,
    statementsPerCoreSec: run.latenciesMs.length / cpuSeconds,
    entryP50Ms: percentileOf(run.latenciesMs, 0.5),
    entryP99Ms: percentileOf(run.latenciesMs, 0.99)
  }
}

const connectIdle = async (address: string, count: number): Promise<ClientHttp2Session[]> => {
  const sessions: ClientHttp2Session[] = []
  while (sessions.length < count) {
    const batch = Array.from({ length: Math.min(connectBatchSize, count - sessions.length) }, () => {
      const session = connect(`http://${address}`)
      session.on('error', () => {})
      return session
    })
    await Promise.all(batch.map(session => once(session, 'remoteSettings')))
    sessions.push(...batch)
  }
  return sessions
}

const memoryKb = async (fleet: Fleet): Promise<number> =>
  (await readProcessCost(fleet.healthAddress(fleet.vmNames[0]))).memoryBytes / bytesPerKb

/** Measures in sequence: added latency, an entry under load, and an entry with many connected callers. */
export const runOverheadExperiment = async (
  experiment: OverheadExperiment, seconds: number, seed: number, logProgress: LogProgress
): Promise<ExperimentOutcome> => {
  const shape = fleetShapeSchema.parse({ vms: 1, slots: 12, maxConnections: 60, serviceMs: 1, stewards: false })
  const limits = { ratePerSec: 100_000, burst: 100_000, weight: 1, group: 'group-1' }
  const fleet = await startFleet(describeFleet(shape, { [workspace]: limits }), { withoutStewards: true })
  const caller = createCaller(fleet.callerAddresses(), 2)
  const direct = connectDirectly(fleet.configuration().groups['group-1'].endpoints['db-1-1'].address)
  const outcome: ExperimentOutcome = { rows: [], panels: [] }
  const addRow = (scenario: string, measures: Record<string, MeasureValue>) => {
    logProgress(scenario)
    outcome.rows.push({ scenario, variant: 'egretyoke', measures, details: {} })
  }
  const request = { key: fleet.keyOf(workspace), route: 'read-primary', statement }
  const throughEntry: Execute = async () => (await caller.execute(0, request)).kind === 'done'
  try {
    await direct.openAll()
    await sleepMs(settleMs)
    await sendOpenLoop(throughEntry, experiment.ratePerSec, settleMs, seed)
    const rounds = Math.ceil(seconds / 2)
    addRow('half load', await compareLatencies(direct.execute, throughEntry, experiment.ratePerSec, rounds, seed))
    const plannedMs = seconds * 1_000 / 2
    addRow('busy', await measureCost(fleet, throughEntry, experiment.busyRatePerSec, plannedMs, seed))
    const baselineKb = await memoryKb(fleet)
    const idle = await connectIdle(fleet.callerAddress(fleet.vmNames[0]), experiment.connectedCallers)
    await sleepMs(settleMs)
    const readings = [await memoryKb(fleet), await memoryKb(fleet), await memoryKb(fleet)]
    const connected = await measureCost(fleet, throughEntry, experiment.connectedRatePerSec, plannedMs, seed)
    addRow(`${experiment.connectedCallers} callers connected`, {
      ...connected, idleCallerKb: (median(readings) - baselineKb) / experiment.connectedCallers
    })
    for (const session of idle) session.destroy()
    return outcome
  } finally {
    direct.close()
    caller.close()
    await fleet.close()
  }
}
