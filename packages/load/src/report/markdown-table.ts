/**
 * Formats experiment results as Markdown tables.
 */
import type { EvaluatedBound, MeasureValue, ResultRow } from '../experiment/experiment-result.js'

const significantDigits = 4

/** Formats a value, rounding non-integers to four significant digits; `-` stands for a measure without samples. */
export const formatMeasure = (value: MeasureValue): string => {
  if (value === undefined || value === null || Number.isNaN(value)) return '-'
  return Number.isInteger(value) ? String(value) : String(Number(value.toPrecision(significantDigits)))
}

const row = (cells: string[]): string => `| ${cells.join(' | ')} |`

const table = (header: string[], rows: string[][]): string =>
  [row(header), row(header.map(() => '---')), ...rows.map(row)].join('\n')

/** Formats a table with one row for each scenario and variant. */
export const formatResults = (rows: ResultRow[], columns: string[]): string => table(
  ['scenario', 'variant', ...columns],
  rows.map(({ scenario, variant, measures }) =>
    [scenario, variant, ...columns.map(column => formatMeasure(measures[column]))]))

/** Returns the row with the worst value for a bound; rows that do not meet it come first. */
const worstOf = (bounds: EvaluatedBound[]): EvaluatedBound => bounds.toSorted((left, right) => {
  if (left.isMet !== right.isMet) return left.isMet ? 1 : -1
  const direction = left.atMost === undefined ? 1 : -1
  return direction * ((left.seen ?? 0) - (right.seen ?? 0))
})[0]

/** Formats a table with one row for each bound, with the worst measured value. */
export const formatBounds = (bounds: EvaluatedBound[]): string => {
  const byBound = new Map<string, EvaluatedBound[]>()
  for (const bound of bounds) {
    const limits = [
      bound.atLeast === undefined ? '' : ` at least ${bound.atLeast}`,
      bound.atMost === undefined ? '' : ` at most ${bound.atMost}`
    ]
    const label = `${bound.measure}${limits.join('')}`
    byBound.set(label, [...byBound.get(label) ?? [], bound])
  }
  return table(['bound', 'worst seen', 'in', 'met'], [...byBound].map(([label, evaluated]) => {
    const worst = worstOf(evaluated)
    const met = evaluated.filter(bound => bound.isMet).length
    return [label, formatMeasure(worst.seen), `${worst.scenario}, ${worst.variant}`, `${met} of ${evaluated.length}`]
  }))
}
