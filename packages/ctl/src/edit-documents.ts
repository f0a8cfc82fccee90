/**
 * Edits of single values in the documents in force; they preserve the operators' comments. When another change is
 * accepted first, the edit is retried on top of it, but only if that change has not modified the same value.
 */
import { isDeepStrictEqual } from 'node:util'
import { applyEdits, findNodeAtLocation, getNodeValue, modify, parseTree } from 'jsonc-parser'
import { sleepMs } from '@egretyoke/common'
import type { DocumentPath } from '@egretyoke/common'
import type { DocumentName } from '@egretyoke/config'
import { applyDocuments, createChangeId, readStoredConfiguration, readWithRetries } from '@egretyoke/fleet'
import { conflictReport, outcomeReport } from './change-report.js'
import type { Context } from './context.js'
import { events } from './events.js'
import { readErrorReport } from './report.js'
import type { Report } from './report.js'

/** Maximum number of retries of an edit after conflicts with other changes. */
const maxEditRetries = 32

const maxRetryPauseMs = 50

/** Sets the value at a path of a text and leaves the rest unchanged. */
export const setValue = (text: string, path: DocumentPath, value: unknown): string =>
  applyEdits(text, modify(text, path, value, { formattingOptions: { insertSpaces: true, tabSize: 2, eol: '\n' } }))

/** Returns the value at a path; undefined when there is none. */
export const getValue = (text: string, path: DocumentPath): unknown => {
  const root = parseTree(text, [], { allowTrailingComma: true })
  const node = root && findNodeAtLocation(root, path)
  return node ? getNodeValue(node) : undefined
}

/** An edit of one value in one document. */
export type ValueEdit = {
  document: DocumentName
  path: DocumentPath
  value: unknown
  /** Validates the edit against the text in force; when it returns a report, the command ends without a change. */
  check: (text: string) => Report | undefined
}

/** Applies an edit by compare-and-swap, and retries it after concurrent changes of other values. */
export const editDocument = async (context: Context, edit: ValueEdit): Promise<Report> => {
  const { platform, timeouts, log } = context
  let previous: { value: unknown } | undefined
  for (let attempt = 0; ; attempt++) {
    const stored = await readWithRetries(timeouts, timeoutMs => readStoredConfiguration(platform, timeoutMs))
    if (!stored.ok) return readErrorReport(stored.val)
    const { head, texts } = stored.val
    const { file, text } = texts[edit.document]
    const refusal = edit.check(text)
    if (refusal) return refusal
    const current = getValue(text, edit.path)
    const edited = { [edit.document]: { file, text: setValue(text, edit.path, edit.value) } }
    const isAlreadySet = isDeepStrictEqual(current, edit.value)
    const isValueChanged = previous !== undefined && !isAlreadySet && !isDeepStrictEqual(previous.value, current)
    if (isValueChanged || attempt > maxEditRetries) {
      const conflict = { kind: 'conflict' as const, head, differing: [edit.document] }
      return conflictReport(context, conflict, head.version - 1, edited)
    }
    previous = { value: current }

    const changeId = createChangeId(head.version)
    log(events.changeSent, { changeId, baseVersion: head.version, documents: [edit.document] })
    const outcome = await applyDocuments(platform, { baseVersion: head.version, documents: edited, changeId }, timeouts)
    log(events.changeSettled, { changeId, outcome: outcome.kind })
    if (outcome.kind !== 'conflict') return outcomeReport(outcome)
    log(events.changeRetried, { changeId, headVersion: outcome.head.version })
    await sleepMs(Math.random() * maxRetryPauseMs)
  }
}
