/**
 * Findings: problems in an input, collected with their positions and reported together.
 */

/** One problem in an input. Lines and columns count from 1. */
export type Finding = {
  file: string
  line: number
  column: number
  message: string
}

/** Formats a finding as `file:line:column: message`. */
export const formatFinding = (finding: Finding): string =>
  `${finding.file}:${finding.line}:${finding.column}: ${finding.message}`
