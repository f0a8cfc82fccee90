/**
 * Reports of the outcome of a configuration change. A conflict report shows the lines of both versions.
 */
import { exitCodes } from '@egretyoke/common'
import type { DocumentName, DocumentTexts } from '@egretyoke/config'
import { readDocumentText } from '@egretyoke/fleet'
import type { ApplyOutcome } from '@egretyoke/fleet'
import type { Context } from './context.js'
import { findingsReport, success } from './report.js'
import type { Report } from './report.js'
import { diffTexts, formatChanges } from './text-diff.js'
import type { LineChange } from './text-diff.js'

type Conflict = Extract<ApplyOutcome, { kind: 'conflict' }>
type DocumentConflict = { document: DocumentName, changes: LineChange[] | undefined }

const conflictsOf = async (context: Context, conflict: Conflict, documents: Partial<DocumentTexts>) => {
  const { platform, timeouts } = context
  const conflicts: DocumentConflict[] = []
  for (const document of conflict.differing) {
    const active = await readDocumentText(platform, conflict.head.documents[document], timeouts.callTimeoutMs)
    const changedText = documents[document]?.text ?? ''
    conflicts.push({ document, changes: active.ok ? diffTexts(active.val, changedText) : undefined })
  }
  return conflicts
}

/** Reports a conflict: for each document, the lines in force (`-`) and the lines of this change (`+`). */
export const conflictReport = async (
  context: Context,
  conflict: Conflict,
  baseVersion: number,
  documents: Partial<DocumentTexts>
): Promise<Report> => {
  const conflicts = await conflictsOf(context, conflict, documents)
  const { version, changeId } = conflict.head
  const conflictLines = conflicts.flatMap(({ document, changes }) => [
    `${document}: in force (-) and yours (+)`,
    ...(changes ? formatChanges(changes) : ['  the document in force cannot be read']).map(line => `  ${line}`)
  ])
  return {
    exitCode: exitCodes.conflict,
    data: { outcome: 'conflict', baseVersion, headVersion: version, headChangeId: changeId, documents: conflicts },
    lines: [
      `conflict: your change is based on version ${baseVersion}, version ${version} is in force; nothing was changed`,
      ...conflictLines
    ]
  }
}

/** Reports the outcome of a change, except a conflict. */
export const outcomeReport = (outcome: Exclude<ApplyOutcome, Conflict>): Report => {
  if (outcome.kind === 'refused') return findingsReport(outcome.findings)
  if (outcome.kind === 'accepted') {
    const { version, changed } = outcome
    const line = changed ? `accepted as version ${version}` : `no difference: version ${version} is in force`
    return success({ outcome: 'accepted', version, changed }, [line])
  }
  if (outcome.kind === 'unavailable') {
    const { message } = outcome
    return {
      exitCode: exitCodes.unavailable,
      data: { outcome: 'unavailable', message },
      lines: [`nothing was changed: ${message}`]
    }
  }
  const { changeId, message } = outcome
  return {
    exitCode: exitCodes.unavailable,
    data: { outcome: 'unsettled', changeId, message },
    lines: [`it is unknown whether the change was accepted: ${message}`, `check later: egretyokectl settle ${changeId}`]
  }
}
