/**
 * Concurrent configuration changes by several operators: measures the time until each accepted change is active on
 * every VM, and the rate of calls to the platform.
 */
import { createRandom, sleepMs } from '@egretyoke/common'
import type { DocumentTexts } from '@egretyoke/config'
import { applyDocuments, connectPlatform, createChangeId, readConfiguration } from '@egretyoke/fleet'
import type { Platform } from '@egretyoke/fleet'
import { loopbackChannels } from '@egretyoke/protocol'
import { documentTexts, startFleet } from '@egretyoke/testbed'
import type { Fleet } from '@egretyoke/testbed'
import { createFaultInjector, startStopwatch } from '../faults.js'
import { describeFleet } from './experiment-fleet.js'
import type { ExperimentOutcome, ResultRow } from './experiment-result.js'
import type { ConfigExperiment } from './experiment-schema.js'
import { readMetrics } from './process-cost.js'
import type { LogProgress } from './run-load-experiment.js'

const versionMetric = 'egretyoke_config_version'
const versionPollMs = 50
const maxWaitMs = 20_000
const callTimeoutMs = 1_000
/** Wait for the last change to become active on every VM. */
const settleMs = 6_000

type AcceptedChange = { version: number, acceptedMs: number }
type ChangeCounts = { accepted: AcceptedChange[], conflicts: number, unsettled: number, unavailable: number }

/** Runs one operator until `hasEnded`: reads the configuration, changes a limit, applies it and counts the outcomes. */
const runOperator = async (
  platform: Platform, operator: number, pauseMs: () => number, nowMs: () => number, hasEnded: () => boolean,
  counts: ChangeCounts
) => {
  for (let change = 0; !hasEnded(); change++) {
    await sleepMs(pauseMs())
    const read = await readConfiguration(platform, callTimeoutMs)
    if (!read.ok) {
      counts.unavailable++
      continue
    }
    const { version, ...configuration } = read.val
    configuration.workspaces[`yard-${operator + 1}`].burst = 100 + change % 50
    const documents: Partial<DocumentTexts> = { workspaces: documentTexts(configuration).workspaces }
    const outcome = await applyDocuments(
      platform, { baseVersion: version, documents, changeId: createChangeId(version) },
      { callTimeoutMs, waitMs: maxWaitMs })
    if (outcome.kind === 'accepted') counts.accepted.push({ version: outcome.version, acceptedMs: nowMs() })
    if (outcome.kind === 'conflict') counts.conflicts++
    if (outcome.kind === 'unsettled') counts.unsettled++
    if (outcome.kind === 'unavailable') counts.unavailable++
  }
}

/** Polls each VM's configuration version until aborted; records increases with their times and counts decreases. */
const watchVersions = async (fleet: Fleet, nowMs: () => number, signal: AbortSignal) => {
  const seen = fleet.vmNames.map(() => [] as Array<{ version: number, atMs: number }>)
  let reverts = 0
  const watchVm = async (vm: string, index: number) => {
    while (!signal.aborted) {
      const metrics = await readMetrics(fleet.healthAddress(vm)).catch(() => undefined)
      const version = metrics?.get(versionMetric)
      const last = seen[index].at(-1)?.version ?? 0
      if (version !== undefined && version < last) reverts++
      if (version !== undefined && version > last) seen[index].push({ version, atMs: nowMs() })
      await sleepMs(versionPollMs, signal)
    }
  }
  await Promise.all(fleet.vmNames.map(watchVm))
  return { seen, reverts }
}

const percentile = (sorted: number[], share: number): number | undefined =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]

const runConfigScenario = async (
  experiment: ConfigExperiment, scenario: string, seconds: number, seed: number, logProgress: LogProgress
): Promise<ResultRow> => {
  const workspaces = Object.fromEntries(Array.from({ length: experiment.operators }, (_, index) =>
    [`yard-${index + 1}`, { ratePerSec: 100, burst: 100, weight: 1, group: 'group-1' }]))
  const fleet = await startFleet(describeFleet(experiment.fleet, workspaces))
  const platforms = Array.from({ length: experiment.operators },
    () => connectPlatform(fleet.platformAddress(), loopbackChannels))
  const stopping = new AbortController()
  try {
    const random = createRandom(seed)
    const nowMs = startStopwatch()
    const plannedMs = seconds * 1_000
    const injector = createFaultInjector(fleet, plannedMs)
    const counts: ChangeCounts = { accepted: [], conflicts: 0, unsettled: 0, unavailable: 0 }
    const callsBefore = (await fleet.readPlatformStats()).calls
    const watching = watchVersions(fleet, nowMs, stopping.signal)
    const pauseMs = () => -Math.log(1 - random.fraction()) * 1_000 * experiment.operators / experiment.changesPerSec
    const running = injector.run(
      experiment.scenarios[scenario].faults, nowMs, fault => logProgress(`${scenario}: ${fault.label}`))
    await Promise.all([running, ...platforms.map((platform, operator) =>
      runOperator(platform, operator, pauseMs, nowMs, () => nowMs() > plannedMs, counts))])
    const calls = (await fleet.readPlatformStats()).calls - callsBefore
    const elapsedSeconds = nowMs() / 1_000
    await sleepMs(settleMs)
    stopping.abort()
    const { seen, reverts } = await watching
    const delays = counts.accepted.map(({ version, acceptedMs }) => Math.max(...seen.map(observations => {
      const first = observations.find(observation => observation.version >= version)
      return first ? first.atMs - acceptedMs : Infinity
    }))).sort((left, right) => left - right)
    logProgress(`${scenario}: ${delays.length} changes accepted`)
    const measures = {
      accepted: counts.accepted.length,
      conflicts: counts.conflicts,
      unsettled: counts.unsettled,
      unavailable: counts.unavailable,
      inForceP50Ms: percentile(delays, 0.5),
      inForceMaxMs: delays.at(-1),
      reverts,
      platformCallsPerSec: calls / elapsedSeconds
    }
    return { scenario, variant: 'egretyoke', measures, details: { delays } }
  } finally {
    stopping.abort()
    for (const platform of platforms) platform.close()
    await fleet.close()
  }
}

/** Runs all scenarios in sequence. */
export const runConfigExperiment = async (
  experiment: ConfigExperiment, seconds: number, seed: number, logProgress: LogProgress
): Promise<ExperimentOutcome> => {
  const outcome: ExperimentOutcome = { rows: [], panels: [] }
  for (const scenario of Object.keys(experiment.scenarios)) {
    outcome.rows.push(await runConfigScenario(experiment, scenario, seconds, seed, logProgress))
  }
  return outcome
}
