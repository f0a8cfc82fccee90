/**
 * Measures of a run: replica reads, failover gap, workspace shares, service during evacuations, latencies, and the
 * guarantee violations that the checker found.
 */
import type { StoredConfiguration } from '@egretyoke/testbed'
import { build } from 'hdr-histogram-js'
import { checkRateRefusals, excessAdmitted } from './checker/admission.js'
import { checkWrites } from './checker/logged-writes.js'
import type { GroupLogs } from './checker/logged-writes.js'
import { countAgeViolations, countSessionViolations } from './checker/reads.js'
import { clockKey } from './generator.js'
import { groupBy } from './history.js'
import type { History, Operation } from './history.js'

/** Measures of one workspace. Latencies are those of completed requests, counted from the intended start. */
export type WorkspaceMeasures = {
  offered: number
  within: number
  done: number
  /** Completed requests divided by those within rate and burst, at most 1. */
  share: number
  wrongfulRefusals: number
  overAdmitted: number
  p50Ms: number
  p99Ms: number
}

/** Evacuation of a data centre; times are in milliseconds since the start of the run. */
export type DataCentreWindow = {
  /** Start of the evacuation. */
  fromMs: number
  /** Time when the data centre was put back into service. */
  backMs: number
  /** End of the window in which service is measured. */
  toMs: number
  /** Indexes of the VMs in the data centre, and names of its endpoints. */
  vms: number[]
  endpoints: string[]
}

/** Events of a run on which measures depend. */
export type RunEvents = {
  /** Groups that lost their primary, with the time of the loss. */
  failovers: Array<{ group: string, atMs: number }>
  dataCentreWindows: DataCentreWindow[]
  /** End of the load. */
  endedMs: number
}

/** All measures of a run. A measure without samples is undefined. */
export type Measures = {
  statements: number
  done: number
  readsByReplicaShare: number | undefined
  failoverGapMs: number | undefined
  readGapMs: number | undefined
  worstWorkspaceShare: number | undefined
  worstWorkspace: string
  wrongfulRefusals: number
  wrongfulRefusalShare: number | undefined
  dataCentreServiceShare: number | undefined
  /**
   * Longest time from the start of an evacuation until a request was sent that a VM or endpoint of the data centre
   * completed; requests sent after its return to service do not count.
   */
  lastNewWorkAfterOutMs: number | undefined
  sessionViolations: number
  ageViolations: number
  lostConfirmedWrites: number
  lostPrimaryConfirmedWrites: number
  repeatedWrites: number
  notRunButRan: number
  overAdmitted: number
  p50Ms: number
  p99Ms: number
  /** Delay between intended and actual sending by the load generator, 99th percentile; included in the latencies. */
  lateSendP99Ms: number
  workspaces: Record<string, WorkspaceMeasures>
  /** Number of responses by kind and reason. */
  answers: Record<string, number>
}

/** Measures that count violations of guarantees and must be 0. */
export const violationMeasures = [
  'sessionViolations', 'ageViolations', 'lostConfirmedWrites', 'repeatedWrites', 'notRunButRan', 'overAdmitted'
] as const

const microsecondsPerMs = 1_000
const maxLatencyUs = 120_000_000
/** Length of the window after the loss of a primary in which the service gap is measured. */
const failoverWindowMs = 30_000

const share = (part: number, whole: number): number | undefined => whole === 0 ? undefined : part / whole

/** Returns percentiles of the latencies of completed operations, in milliseconds. */
export const latencyPercentiles = (operations: Operation[], percentiles: number[]): number[] => {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: maxLatencyUs,
    numberOfSignificantValueDigits: 3
  })
  for (const operation of operations) {
    if (operation.kind !== 'done') continue
    const latencyUs = Math.round((operation.receivedMs - operation.intendedMs) * microsecondsPerMs)
    histogram.recordValue(Math.min(maxLatencyUs, Math.max(1, latencyUs)))
  }
  return percentiles.map(percentile => histogram.getValueAtPercentile(percentile) / microsecondsPerMs)
}

const lateSendP99Ms = (operations: Operation[]): number => {
  const delaysMs = operations.map(operation => operation.sentMs - operation.intendedMs)
    .sort((left, right) => left - right)
  return delaysMs[Math.floor(delaysMs.length * 0.99)] ?? 0
}

/**
 * Returns the longest time without a completed request of the given access in the group, in milliseconds, from the last
 * completion before the failover to the end of the window after it.
 */
export const longestGapMs = (
  operations: Operation[],
  access: Operation['access'],
  { group, atMs }: RunEvents['failovers'][number],
  endedMs: number
): number => {
  const windowEndMs = Math.min(endedMs, atMs + failoverWindowMs)
  const times = operations
    .filter(operation => operation.group === group && operation.access === access && operation.kind === 'done')
    .map(operation => operation.receivedMs)
    .sort((left, right) => left - right)
  const before = times.filter(time => time < atMs).at(-1) ?? atMs
  const boundaries = [before, ...times.filter(time => time >= atMs && time < windowEndMs), windowEndMs]
  const gaps = boundaries.slice(1).map((time, index) => time - boundaries[index])
  return Math.max(...gaps)
}

const measureWorkspace = (
  operations: Operation[],
  limit: { ratePerSec: number, burst: number }
): WorkspaceMeasures & { withinOperations: Operation[] } => {
  const { within, wrongfulRefusals } = checkRateRefusals(operations, limit)
  const done = operations.filter(operation => operation.kind === 'done').length
  const [p50Ms, p99Ms] = latencyPercentiles(operations, [50, 99])
  return {
    offered: operations.length,
    within: within.length,
    done,
    share: within.length === 0 ? 1 : Math.min(1, done / within.length),
    wrongfulRefusals,
    overAdmitted: excessAdmitted(operations, limit),
    p50Ms,
    p99Ms,
    withinOperations: within
  }
}

type MeasuredWorkspace = { own: Operation[], withinOperations: Operation[] }

const countResponses = (operations: Operation[]): Record<string, number> => {
  const counts: Record<string, number> = {}
  for (const { kind, reason } of operations) {
    const name = reason === '' ? kind : `${kind}: ${reason}`
    counts[name] = (counts[name] ?? 0) + 1
  }
  return counts
}

const maxOf = (values: number[]): number | undefined => values.length === 0 ? undefined : Math.max(...values)

const sumOf = (values: number[]): number => values.reduce((total, value) => total + value, 0)

/**
 * Returns completed requests divided by those within rate and burst, both sent during the windows. Of each workspace,
 * at most as many completed requests count as were within its rate; the entries may have admitted other ones.
 */
const serviceShareDuring = (windows: DataCentreWindow[], workspaces: MeasuredWorkspace[]): number | undefined => {
  const isInWindow = ({ sentMs }: Operation) => windows.some(({ fromMs, toMs }) => sentMs >= fromMs && sentMs < toMs)
  const counts = workspaces.map(({ own, withinOperations }) => {
    const within = withinOperations.filter(isInWindow).length
    const done = own.filter(operation => isInWindow(operation) && operation.kind === 'done').length
    return { within, served: Math.min(within, done) }
  })
  return share(sumOf(counts.map(count => count.served)), sumOf(counts.map(count => count.within)))
}

const lastNewWorkAfterOutMs = (windows: DataCentreWindow[], operations: Operation[]): number | undefined =>
  maxOf(windows.map(({ fromMs, backMs, vms, endpoints }) => operations
    .filter(operation => operation.kind === 'done' && operation.sentMs >= fromMs && operation.sentMs < backMs)
    .filter(operation => vms.includes(operation.vm) || endpoints.includes(operation.endpoint))
    .reduce((last, operation) => Math.max(last, operation.sentMs - fromMs), 0)))

/** Computes the measures of a run. `logs` are the final primaries' logs; writes of groups without one are unchecked. */
export const measureRun = (
  history: History,
  configuration: StoredConfiguration,
  logs: GroupLogs,
  events: RunEvents
): Measures => {
  const { operations } = history
  const byWorkspace = [...groupBy(operations, operation => operation.workspace)]
    .map(([name, own]) => ({ name, own, ...measureWorkspace(own, configuration.workspaces[name]) }))
  const worst = byWorkspace.toSorted((left, right) => left.share - right.share)[0]
  const eligibleReads = operations.filter(operation => operation.isReplicaEligible && operation.kind === 'done')
  const wrongfulRefusals = sumOf(byWorkspace.map(workspace => workspace.wrongfulRefusals))
  const gaps = (access: Operation['access']) =>
    maxOf(events.failovers.map(failover => longestGapMs(operations, access, failover, events.endedMs)))
  const [p50Ms, p99Ms] = latencyPercentiles(operations, [50, 99])
  return {
    statements: operations.length,
    done: operations.filter(operation => operation.kind === 'done').length,
    readsByReplicaShare: share(eligibleReads.filter(read => read.fromReplica).length, eligibleReads.length),
    failoverGapMs: gaps('write'),
    readGapMs: gaps('read'),
    worstWorkspaceShare: worst?.share,
    worstWorkspace: worst?.name ?? '',
    wrongfulRefusals,
    wrongfulRefusalShare: share(wrongfulRefusals, sumOf(byWorkspace.map(workspace => workspace.within))),
    dataCentreServiceShare: serviceShareDuring(events.dataCentreWindows, byWorkspace),
    lastNewWorkAfterOutMs: lastNewWorkAfterOutMs(events.dataCentreWindows, operations),
    sessionViolations: countSessionViolations(operations),
    ageViolations: countAgeViolations(operations, clockKey),
    ...checkWrites(operations, logs),
    overAdmitted: sumOf(byWorkspace.map(workspace => workspace.overAdmitted)),
    p50Ms,
    p99Ms,
    lateSendP99Ms: lateSendP99Ms(operations),
    workspaces: Object.fromEntries(byWorkspace.map(({ name, own: _own, withinOperations: _, ...measures }) =>
      [name, measures])),
    answers: countResponses(operations)
  }
}

/** Returns the names of the violation measures that are above 0. */
export const violatedGuarantees = (measures: Measures): string[] =>
  violationMeasures.filter(name => measures[name] > 0)
