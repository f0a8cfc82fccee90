/**
 * `get`: prints the documents in force, or writes them to a folder.
 */
import { messageOf } from '@egretyoke/common'
import { documentNames } from '@egretyoke/config'
import type { DocumentName } from '@egretyoke/config'
import { readStoredConfiguration, readWithRetries } from '@egretyoke/fleet'
import type { Context } from '../context.js'
import { writeDirectory } from '../documents-directory.js'
import { readErrorReport, success, usageReport } from '../report.js'
import type { Report } from '../report.js'

/** Reads one document by name, or all of them. */
export const get = async (context: Context, name: string | undefined, out: string | undefined): Promise<Report> => {
  const names = documentNames.filter(document => name === undefined || document === name)
  if (names.length === 0) return usageReport(`no document "${name}"; there are ${documentNames.join(', ')}`)
  if (name !== undefined && out !== undefined) return usageReport('--out writes all documents: leave out the name')
  const stored = await readWithRetries(context.timeouts, timeoutMs =>
    readStoredConfiguration(context.platform, timeoutMs))
  if (!stored.ok) return readErrorReport(stored.val)
  const { head: { version }, texts } = stored.val
  if (out !== undefined) {
    try {
      await writeDirectory(out, texts, version)
    } catch (thrown) {
      return usageReport(messageOf(thrown))
    }
    return success({ outcome: 'written', version, directory: out }, [`version ${version} written to ${out}`])
  }
  const documents = Object.fromEntries(names.map((document: DocumentName) => [document, texts[document].text]))
  return success({ outcome: 'read', version, documents }, Object.values(documents).map(text => text.trimEnd()))
}
