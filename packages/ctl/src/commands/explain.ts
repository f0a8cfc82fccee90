/**
 * `explain`: reports the outcome of a request and its cause, from log files alone.
 */
import { readLogFiles } from '../log-files.js'
import type { LogLine } from '../log-files.js'
import { findingsReport, success, usageReport } from '../report.js'
import type { Report } from '../report.js'
import { requestTimeline } from '../request-timeline.js'

/** Fields that are not shown as `name=value`, because they head the line or only programs need them. */
const commonFields: ReadonlySet<string> = new Set(['time', 'timeMs', 'vm', 'event', 'name', 'level', 'program'])

const formatLine = (line: LogLine, ownLines: ReadonlySet<LogLine>): string => {
  const fields = Object.entries(line)
    .filter(([name]) => !commonFields.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'object' ? JSON.stringify(value) : value}`)
  const mark = ownLines.has(line) ? '*' : ' '
  return `${mark} ${line.time.slice(11, 23)} ${line.vm} ${line.event} ${line.name} ${fields.join(' ')}`
}

/** Reads the files and reports the request's timeline in order of time; lines of the request itself are marked `*`. */
export const explain = async (request: string, files: readonly string[]): Promise<Report> => {
  const read = await readLogFiles(files)
  if (read.err) return findingsReport(read.val)
  const { lines, unreadable } = read.val
  const { own, around, leftOut, cause } = requestTimeline(lines, request)
  if (own.length === 0) return usageReport(`none of the ${lines.length} log lines belongs to request ${request}`)
  const marked = new Set(own)
  const all = [...own, ...around].sort((one, other) => one.timeMs - other.timeMs)
  return success({ request, cause, lines: all, leftOut, unreadable }, [
    ...all.map(line => formatLine(line, marked)),
    ...(leftOut > 0 ? [`  ${leftOut} more lines of the same kinds`] : []),
    `cause: ${cause}`
  ])
}
