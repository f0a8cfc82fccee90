/**
 * Experiments with load and faults. Each scenario runs one fleet for each variant, all concurrently and with the same
 * arrivals, so that interference from the machine affects all variants alike.
 */
import { messageOf } from '@egretyoke/common'
import { startFleet } from '@egretyoke/testbed'
import type { Fleet, LinkOptions } from '@egretyoke/testbed'
import type { History, Operation } from '../history.js'
import { latencyPercentiles } from '../measures.js'
import type { Measures } from '../measures.js'
import { runScenario } from '../run-scenario.js'
import type { ScenarioResult } from '../run-scenario.js'
import { describeFleet, streamsOf } from './experiment-fleet.js'
import type { ExperimentOutcome, MeasureValue, PlotLine, PlotPanel, ResultRow } from './experiment-result.js'
import type { LoadExperiment } from './experiment-schema.js'

/** Prints a line of progress. */
export type LogProgress = (text: string) => void

const plotStepMs = 500
/** A workspace counts as within its rate when at least this fraction of its requests was within rate and burst. */
const minWithinShare = 0.99

type Run = { variant: string, result: ScenarioResult, measures: Record<string, MeasureValue> }

/** Returns the highest p99 latency of the workspaces within their rate. */
const worstP99WithinRate = (measures: Measures): MeasureValue => {
  const within = Object.values(measures.workspaces)
    .filter(workspace => workspace.within >= minWithinShare * workspace.offered)
  return within.length === 0 ? undefined : Math.max(...within.map(workspace => workspace.p99Ms))
}

/** Returns the lowest share of served requests of the workspaces within their rate. */
const worstShareWithinRate = (measures: Measures): MeasureValue => {
  const within = Object.values(measures.workspaces)
    .filter(workspace => workspace.within >= minWithinShare * workspace.offered)
  return within.length === 0 ? undefined : Math.min(...within.map(workspace => workspace.share))
}

/** Counts the statements that the running databases executed and the requests that they declined. */
const countDatabaseWork = async (fleet: Fleet): Promise<{ statements: number, declined: number }> => {
  const stats = await Promise.all(fleet.databaseNames().filter(fleet.isRunning).map(name =>
    fleet.readDatabaseStats(name).catch(() => undefined)))
  return {
    statements: stats.reduce((sum, one) => sum + (one?.statements ?? 0), 0),
    declined: stats.reduce((sum, one) => sum + (one?.declined ?? 0), 0)
  }
}

const numbersOf = (measures: Measures): Record<string, MeasureValue> => Object.fromEntries(
  Object.entries(measures).filter((entry): entry is [string, MeasureValue] =>
    typeof entry[1] === 'number' || entry[1] === undefined))

/** Returns the rate of completed requests over time. */
const completionRateLine = (name: string, { operations }: History, endedMs: number): PlotLine => {
  const counts = new Array<number>(Math.ceil(endedMs / plotStepMs)).fill(0)
  const done = operations.filter((operation: Operation) => operation.kind === 'done' && operation.receivedMs < endedMs)
  for (const operation of done) counts[Math.floor(operation.receivedMs / plotStepMs)]++
  return { name, points: counts.map((count, index) => [index * plotStepMs / 1_000, count * 1_000 / plotStepMs]) }
}

const panelOf = (scenario: string, runs: Run[]): PlotPanel => ({
  title: scenario,
  yLabel: 'done per second',
  lines: runs.map(({ variant, result }) => completionRateLine(variant, result.history, result.endedMs)),
  marks: runs[0].result.faults.map(({ atMs, label }) => ({ atS: atMs / 1_000, label }))
})

const detailsOf = ({ result }: Run) => ({
  workspaces: result.measures.workspaces,
  answers: result.measures.answers,
  faults: result.faults,
  endedMs: result.endedMs,
  latencyMs: Object.fromEntries([50, 90, 99, 99.9].map(percentile =>
    [`p${percentile}`, latencyPercentiles(result.history.operations, [percentile])[0]]))
})

const runVariants = async (
  experiment: LoadExperiment, scenarioName: string, seconds: number, seed: number, logProgress: LogProgress
): Promise<Run[]> => {
  const scenario = experiment.scenarios[scenarioName]
  const shape = { ...experiment.fleet, ...scenario.fleet }
  const description = describeFleet(shape, experiment.workspaces)
  const plannedMs = seconds * 1_000
  const fleets: Fleet[] = []
  try {
    for (const { policies, contact } of Object.values(experiment.variants)) {
      fleets.push(await startFleet(description, {
        links: shape.links as LinkOptions,
        withoutStewards: !shape.stewards,
        entrySettings: () => ({ policies, contact }),
        stewardSettings: () => contact.ttlMs === undefined ? {} : { contactTtlMs: contact.ttlMs }
      }))
    }
    logProgress(`${scenarioName}: ${fleets.length} fleets are ready`)
    return await Promise.all(Object.keys(experiment.variants).map(async (variant, index) => {
      const fleet = fleets[index]
      const streams = streamsOf(
        experiment, [...experiment.load, ...scenario.load], fleet.configuration(), plannedMs)
      const result = await runScenario(
        fleet,
        { streams, faults: scenario.faults, plannedMs, seed, runId: `x${seed}` },
        { onFault: fault => logProgress(`${scenarioName}, ${variant}: ${fault.label}`) })
      const work = await countDatabaseWork(fleet)
      const measures = {
        ...numbersOf(result.measures),
        doneShare: result.measures.done / result.measures.statements,
        worstShareWithinRate: worstShareWithinRate(result.measures),
        worstP99WithinRateMs: worstP99WithinRate(result.measures),
        databaseStatementsPerRequest: work.statements / result.measures.statements,
        databaseDeclinesPerRequest: work.declined / result.measures.statements
      }
      return { variant, result, measures }
    }))
  } finally {
    await Promise.all(fleets.map(fleet => fleet.close()))
  }
}

/** Adds `MEASURERatio` to the rows of each ratio's scenario: MEASURE divided by its value in `toScenario`. */
const addRatios = (experiment: LoadExperiment, rows: ResultRow[]) => {
  for (const { measure, scenario, toScenario } of experiment.ratios) {
    for (const row of rows.filter(one => one.scenario === scenario)) {
      const base = rows.find(one => one.scenario === toScenario && one.variant === row.variant)?.measures[measure]
      const value = row.measures[measure]
      row.measures[`${measure}Ratio`] = base === undefined || value === undefined ? undefined : value / base
    }
  }
}

/** Runs all scenarios in sequence. A scenario that fails has rows without measures. */
export const runLoadExperiment = async (
  experiment: LoadExperiment, seconds: number, seed: number, logProgress: LogProgress
): Promise<ExperimentOutcome> => {
  const outcome: ExperimentOutcome = { rows: [], panels: [] }
  for (const scenario of Object.keys(experiment.scenarios)) {
    try {
      const runs = await runVariants(experiment, scenario, seconds, seed, logProgress)
      outcome.panels.push(panelOf(scenario, runs))
      outcome.rows.push(...runs.map(run =>
        ({ scenario, variant: run.variant, measures: run.measures, details: detailsOf(run) })))
    } catch (thrown) {
      logProgress(`${scenario} was not measured: ${messageOf(thrown)}`)
      const rows = Object.keys(experiment.variants).map(variant =>
        ({ scenario, variant, measures: {}, details: { notMeasured: messageOf(thrown) } }))
      outcome.rows.push(...rows)
    }
  }
  addRatios(experiment, outcome.rows)
  return outcome
}
