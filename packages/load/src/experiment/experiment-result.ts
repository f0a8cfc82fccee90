/**
 * Results of experiments, in one format for all kinds, and the evaluation of their bounds.
 */

/** Value of a measure; undefined without samples. */
export type MeasureValue = number | undefined

/** One line of a plot; each point is a time in seconds and a value. */
export type PlotLine = { name: string, points: Array<[number, number]> }

/** One panel of a plot. */
export type PlotPanel = {
  title: string
  yLabel: string
  lines: PlotLine[]
  /** Vertical marks at times in seconds. */
  marks: Array<{ atS: number, label: string }>
}

/** Measures of one scenario and variant. */
export type ResultRow = {
  scenario: string
  variant: string
  measures: Record<string, MeasureValue>
  /** Further results, for the JSON file only. */
  details: unknown
}

/** Result of an experiment before its bounds are evaluated. */
export type ExperimentOutcome = { rows: ResultRow[], panels: PlotPanel[] }

/** A bound with the measured value of one row. */
export type EvaluatedBound = {
  measure: string
  scenario: string
  variant: string
  atLeast?: number
  atMost?: number
  seen: MeasureValue
  isMet: boolean
}

/** A bound of an experiment file; without a scenario or variant it applies to all of them. */
export type Bound = {
  measure: string
  scenario?: string
  variant?: string
  atLeast?: number
  atMost?: number
}

/** Evaluates each bound for each row that it applies to. A measure without a value does not meet a bound. */
export const evaluateBounds = (bounds: Bound[], rows: ResultRow[]): EvaluatedBound[] => bounds.flatMap(bound => {
  const matchingRows = rows.filter(row =>
    (bound.scenario ?? row.scenario) === row.scenario && (bound.variant ?? row.variant) === row.variant)
  return matchingRows.map(({ scenario, variant, measures }) => {
    const seen = measures[bound.measure]
    const isMet = seen !== undefined && seen >= (bound.atLeast ?? -Infinity) && seen <= (bound.atMost ?? Infinity)
    return { ...bound, scenario, variant, seen, isMet }
  })
})
