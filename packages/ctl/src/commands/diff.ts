/**
 * `diff`: compares the documents of a folder with those in force.
 */
import { documentNames, readDocuments } from '@egretyoke/config'
import type { DocumentTexts } from '@egretyoke/config'
import { readStoredConfiguration, readWithRetries } from '@egretyoke/fleet'
import type { Context } from '../context.js'
import { readDirectory } from '../documents-directory.js'
import { findingsReport, readErrorReport, success } from '../report.js'
import type { Report } from '../report.js'
import { diffTexts, formatChanges } from '../text-diff.js'

/** Changed lines of each document that differs. */
export const changedDocuments = (inForce: Partial<DocumentTexts>, candidate: DocumentTexts) =>
  documentNames
    .map(document => ({ document, changes: diffTexts(inForce[document]?.text ?? '', candidate[document].text) }))
    .filter(({ changes }) => changes.length > 0)

/** Formats the changes of documents as lines of text. */
export const formatDocuments = (documents: ReturnType<typeof changedDocuments>): string[] =>
  documents.flatMap(({ document, changes }) => [`${document}:`, ...formatChanges(changes).map(line => `  ${line}`)])

/** Shows what `apply` would change. */
export const diff = async (context: Context, directory: string): Promise<Report> => {
  const candidate = await readDirectory(directory)
  if (!candidate.ok) return findingsReport(candidate.val)
  const checked = readDocuments(candidate.val, 0)
  if (!checked.ok) return findingsReport(checked.val)
  const stored = await readWithRetries(context.timeouts, timeoutMs =>
    readStoredConfiguration(context.platform, timeoutMs))
  if (!stored.ok && stored.val.reason !== 'noConfiguration') return readErrorReport(stored.val)
  const documents = changedDocuments(stored.ok ? stored.val.texts : {}, candidate.val)
  const version = stored.ok ? stored.val.head.version : 0
  const lines = documents.length > 0 ? formatDocuments(documents) : [`no difference from version ${version}`]
  return success({ outcome: 'compared', version, documents }, lines)
}
