/**
 * Reports of commands: data for `--json`, lines of text, and the exit code.
 */
import { exitCodes, formatFinding } from '@egretyoke/common'
import type { Finding } from '@egretyoke/common'
import type { ConfigReadError } from '@egretyoke/fleet'

/** Result of one command. With `--json` only `data` is written, as one line; otherwise only `lines`. */
export type Report = {
  exitCode: number
  data: Record<string, unknown>
  lines: string[]
}

/** Builds a report of success. */
export const success = (data: Record<string, unknown>, lines: string[]): Report =>
  ({ exitCode: exitCodes.ok, data, lines })

/** Builds a report of findings in documents or settings; nothing was changed. */
export const findingsReport = (findings: Finding[]): Report => ({
  exitCode: exitCodes.badSettings,
  data: { outcome: 'refused', findings },
  lines: findings.map(formatFinding)
})

/** Builds a report of wrong usage; nothing was changed. */
export const usageReport = (message: string): Report =>
  ({ exitCode: exitCodes.badUsage, data: { outcome: 'badUsage', message }, lines: [message] })

/** Builds a report that the configuration in force could not be read. */
export const readErrorReport = (error: ConfigReadError): Report => ({
  exitCode: error.reason === 'damaged' ? exitCodes.badSettings : exitCodes.unavailable,
  data: { outcome: 'unavailable', reason: error.reason, message: error.message },
  lines: [`the configuration in force cannot be read (${error.reason}): ${error.message}`]
})
