/**
 * Formats the measures of a run as tables and as one JSON object.
 */
import { violatedGuarantees, violationMeasures } from './measures.js'
import type { Measures } from './measures.js'

const percent = (share: number | undefined): string =>
  share === undefined ? 'not measured' : `${(share * 100).toFixed(2)}%`

const milliseconds = (ms: number | undefined): string => ms === undefined ? 'not measured' : `${Math.round(ms)} ms`

const align = (rows: string[][]): string => {
  const widths = rows[0].map((_, column) => Math.max(...rows.map(row => row[column].length)))
  return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd()).join('\n')
}

/** Formats the service measures, latencies and guarantee violations of a run as a table. */
export const formatDemoTable = (measures: Measures): string => {
  const rows = [
    ['Measure', 'Seen in this run'],
    ['Reads served by replicas', percent(measures.readsByReplicaShare)],
    ['Gap in confirmed writes during the failover', milliseconds(measures.failoverGapMs)],
    ['Worst-served workspace', `${percent(measures.worstWorkspaceShare)} of its rate (${measures.worstWorkspace})`],
    ['Refused although within rate and burst', `${measures.wrongfulRefusals} of ${measures.statements}`],
    ['Service while a data centre left and returned', percent(measures.dataCentreServiceShare)],
    ['Latency at p50 and p99', `${measures.p50Ms.toFixed(1)} ms, ${measures.p99Ms.toFixed(1)} ms`],
    ['Requests that the load tool sent late, at p99', `${measures.lateSendP99Ms.toFixed(1)} ms`],
    ...violationMeasures.map(name => [name, String(measures[name])])
  ]
  return align(rows)
}

/** Formats the measures of each workspace as a table with one row each. */
export const formatWorkspaceTable = (measures: Measures): string => {
  const rows = Object.entries(measures.workspaces).map(([name, workspace]) => [
    name,
    String(workspace.offered),
    String(workspace.within),
    String(workspace.done),
    percent(workspace.share),
    workspace.p50Ms.toFixed(1),
    workspace.p99Ms.toFixed(1)
  ])
  return align([['Workspace', 'Offered', 'Within rate', 'Done', 'Share', 'p50 ms', 'p99 ms'], ...rows])
}

/** Returns the measures for the line of JSON; a measure without samples is null. */
export const demoJson = (measures: Measures, deployment: string, seed: number): Record<string, unknown> => ({
  deployment,
  seed,
  ...Object.fromEntries(Object.entries(measures).map(([name, value]) => [name, value ?? null])),
  brokenPromises: violatedGuarantees(measures)
})
