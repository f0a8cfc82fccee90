/**
 * `validate`: checks the documents of a folder without calling the platform.
 */
import { readDocuments } from '@egretyoke/config'
import { readDirectory } from '../documents-directory.js'
import { findingsReport, success } from '../report.js'
import type { Report } from '../report.js'

/** Reports the findings in all documents. */
export const validate = async (directory: string): Promise<Report> => {
  const texts = await readDirectory(directory)
  if (!texts.ok) return findingsReport(texts.val)
  const read = readDocuments(texts.val, 0)
  if (!read.ok) return findingsReport(read.val)
  return success({ outcome: 'valid' }, ['the documents are valid'])
}
