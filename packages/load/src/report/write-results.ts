/**
 * Writes the results of an experiment: results.json, results.md and plot.svg.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { EvaluatedBound, ExperimentOutcome } from '../experiment/experiment-result.js'
import { formatBounds, formatResults } from './markdown-table.js'
import { drawPlot } from './svg-plot.js'

/** Name and parameters of the run that a report is about. */
export type ReportHeader = { name: string, title: string, seed: number, seconds: number, columns: string[] }

/** Formats the report as Markdown. */
export const formatReport = (header: ReportHeader, { rows }: ExperimentOutcome, bounds: EvaluatedBound[]): string => [
  `# ${header.name}: ${header.title}`,
  `\`npm run experiment -- run ${header.name} --seconds ${header.seconds} --seed ${header.seed}\``,
  formatResults(rows, header.columns),
  ...bounds.length > 0 ? [formatBounds(bounds)] : []
].join('\n\n') + '\n'

/** Writes all result files; creates the folder if necessary. */
export const writeResults = (
  folder: string, header: ReportHeader, outcome: ExperimentOutcome, bounds: EvaluatedBound[]
): void => {
  mkdirSync(folder, { recursive: true })
  const { rows, panels } = outcome
  writeFileSync(join(folder, 'results.json'), JSON.stringify({ ...header, rows, bounds }, null, 2) + '\n')
  writeFileSync(join(folder, 'results.md'), formatReport(header, outcome, bounds))
  if (panels.length > 0) writeFileSync(join(folder, 'plot.svg'), drawPlot(panels))
}
