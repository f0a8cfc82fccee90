/**
 * `apply`: replaces the configuration in force with the documents of a folder, by one compare-and-swap.
 */
import { readDocuments } from '@egretyoke/config'
import type { DocumentTexts } from '@egretyoke/config'
import { applyDocuments, createChangeId, readHead, readStoredConfiguration, readWithRetries } from '@egretyoke/fleet'
import { conflictReport, outcomeReport } from '../change-report.js'
import type { Context } from '../context.js'
import { readBaseVersion, readDirectory, writeBaseVersion } from '../documents-directory.js'
import { events } from '../events.js'
import { findingsReport, readErrorReport, success, usageReport } from '../report.js'
import type { Report } from '../report.js'
import { changedDocuments, formatDocuments } from './diff.js'

/** Options of `apply`. */
export type ApplyOptions = {
  dryRun?: boolean
  /** Version that the documents are based on; read from the folder by default. */
  base?: number
}

const dryRun = async (context: Context, documents: DocumentTexts, baseVersion: number): Promise<Report> => {
  const stored = await readWithRetries(context.timeouts, timeoutMs =>
    readStoredConfiguration(context.platform, timeoutMs))
  if (!stored.ok && stored.val.reason !== 'noConfiguration') return readErrorReport(stored.val)
  const inForce = stored.ok ? stored.val.texts : {}
  const changes = changedDocuments(inForce, documents)
  const version = stored.ok ? stored.val.head.version : 0
  if (stored.ok && version !== baseVersion) {
    const differing = changes.map(({ document }) => document)
    return conflictReport(context, { kind: 'conflict', head: stored.val.head, differing }, baseVersion, documents)
  }
  const line = changes.length > 0 ? `would become version ${version + 1}` : `no difference from version ${version}`
  return success({ outcome: 'dryRun', version, documents: changes }, [...formatDocuments(changes), line])
}

/** The base version from the option or the folder, or 0 while no configuration is stored. */
const baseVersionOf = async (context: Context, directory: string, base: number | undefined) => {
  const givenVersion = base ?? await readBaseVersion(directory)
  if (givenVersion !== undefined) return givenVersion
  const stored = await readWithRetries(context.timeouts, timeoutMs => readHead(context.platform, timeoutMs))
  if (!stored.ok) return readErrorReport(stored.val)
  if (stored.val.head.version === 0) return 0
  return usageReport(`${directory} does not record the version that its documents are based on: pass it with --base, ` +
    `or start from \`egretyokectl get --out DIR\` (version ${stored.val.head.version} is in force)`)
}

/** Applies a folder. Nothing is changed unless all documents are valid and based on the version in force. */
export const apply = async (context: Context, directory: string, options: ApplyOptions): Promise<Report> => {
  const read = await readDirectory(directory)
  if (!read.ok) return findingsReport(read.val)
  const documents = read.val
  const checked = readDocuments(documents, 0)
  if (!checked.ok) return findingsReport(checked.val)
  const baseVersion = await baseVersionOf(context, directory, options.base)
  if (typeof baseVersion !== 'number') return baseVersion
  if (options.dryRun) return dryRun(context, documents, baseVersion)

  const changeId = createChangeId(baseVersion)
  context.log(events.changeSent, { changeId, baseVersion, documents: Object.keys(documents) })
  const outcome = await applyDocuments(context.platform, { baseVersion, documents, changeId }, context.timeouts)
  context.log(events.changeSettled, { changeId, outcome: outcome.kind })
  if (outcome.kind === 'conflict') return conflictReport(context, outcome, baseVersion, documents)
  const report = outcomeReport(outcome)
  if (outcome.kind !== 'accepted') return report
  const notWritten = await writeBaseVersion(directory, outcome.version)
  if (notWritten) report.lines.push(`the version could not be written to ${directory}: ${notWritten}`)
  return report
}
