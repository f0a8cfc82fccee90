/**
 * `causes`: counts the requests that ended without success by their causes, from log files alone.
 */
import { countFailures, countFields } from '../failure-counts.js'
import type { CountField } from '../failure-counts.js'
import { readLogFiles } from '../log-files.js'
import { findingsReport, success, usageReport } from '../report.js'
import type { Report } from '../report.js'

/** Options of the command line. `from` and `until` are times that `Date.parse` reads. */
export type CausesOptions = { by: string, windowMs: number, from?: string, until?: string }

const isCountField = (name: string): name is CountField => (countFields as readonly string[]).includes(name)

const parseTime = (text: string | undefined): number | undefined => text === undefined ? undefined : Date.parse(text)

const countWidth = 7

const formatCount = (count: number, words: readonly string[]): string =>
  [String(count).padStart(countWidth), ...words].join('  ')

/** Reads the files and reports the counts, most frequent first. */
export const causes = async (
  files: readonly string[], { by, windowMs, from, until }: CausesOptions
): Promise<Report> => {
  const names = by.split(',').filter(name => name !== '')
  const unknown = names.find(name => !isCountField(name))
  if (unknown !== undefined) return usageReport(`cannot count by "${unknown}"; fields: ${countFields.join(', ')}`)
  const [fromMs, untilMs] = [parseTime(from), parseTime(until)]
  if (Number.isNaN(fromMs) || Number.isNaN(untilMs)) return usageReport('--from and --until take a time in ISO 8601')
  const read = await readLogFiles(files)
  if (read.err) return findingsReport(read.val)
  const { lines, unreadable } = read.val
  const counts = countFailures(lines, { by: names.filter(isCountField), windowMs, fromMs, untilMs })
  const total = counts.reduce((sum, { count }) => sum + count, 0)
  return success({ total, counts, unreadable }, [
    ...counts.map(({ cause, fields, count }) => formatCount(count, [cause, ...Object.values(fields)])),
    formatCount(total, ['in all'])
  ])
}
