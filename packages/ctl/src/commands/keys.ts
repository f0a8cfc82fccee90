/**
 * `key create` and `key withdraw`. A key's text is shown once, at its creation; only its salted hash is stored.
 */
import { exitCodes, readJsonWithComments } from '@egretyoke/common'
import { createKey, documentSchemas } from '@egretyoke/config'
import type { Workspace } from '@egretyoke/config'
import type { Context } from '../context.js'
import { editDocument } from '../edit-documents.js'
import { findingsReport, usageReport } from '../report.js'
import type { Report } from '../report.js'

const keyIdPattern = /^[a-z0-9][a-z0-9-]{0,62}$/

const readWorkspaces = (text: string) => {
  const read = readJsonWithComments(text, 'workspaces.jsonc', documentSchemas.workspaces)
  return read.ok ? { workspaces: read.val.workspaces } : { refusal: findingsReport(read.val) }
}

const unknownWorkspace = (workspace: string) => usageReport(`no workspace "${workspace}"`)

const creationRefusal = (text: string, workspace: string, keyId: string): Report | undefined => {
  const { workspaces, refusal } = readWorkspaces(text)
  if (!workspaces) return refusal
  if (!Object.hasOwn(workspaces, workspace)) return unknownWorkspace(workspace)
  const holder = Object.entries<Workspace>(workspaces).find(([, { keys }]) => Object.hasOwn(keys, keyId))
  if (!holder) return undefined
  const message = `workspace "${holder[0]}" already has a key "${keyId}"; key ids are unique across all workspaces`
  return { exitCode: exitCodes.conflict, data: { outcome: 'conflict', message }, lines: [message] }
}

/** Creates a key and shows it. The key is shown also when the outcome is unknown, because it may be valid. */
export const createWorkspaceKey = async (context: Context, workspace: string, keyId: string): Promise<Report> => {
  if (!keyIdPattern.test(keyId)) return usageReport(`"${keyId}" is not a key id: lower-case letters, digits, hyphens`)
  const key = createKey(keyId)
  const report = await editDocument(context, {
    document: 'workspaces',
    path: ['workspaces', workspace, 'keys', keyId],
    value: key.stored,
    check: text => creationRefusal(text, workspace, keyId)
  })
  const { outcome } = report.data
  if (outcome !== 'accepted' && outcome !== 'unsettled') return report
  const notice = 'the key is shown only once:'
  return {
    ...report,
    data: { ...report.data, workspace, keyId, key: key.text },
    lines: [...report.lines, notice, key.text]
  }
}

const withdrawalRefusal = (text: string, workspace: string, keyId: string): Report | undefined => {
  const { workspaces, refusal } = readWorkspaces(text)
  if (!workspaces) return refusal
  if (!Object.hasOwn(workspaces, workspace)) return unknownWorkspace(workspace)
  if (Object.hasOwn(workspaces[workspace].keys, keyId)) return undefined
  return usageReport(`workspace "${workspace}" has no key "${keyId}"`)
}

/** Withdraws a key. Its entry is kept, so that its id is not reused. */
export const withdrawWorkspaceKey = (context: Context, workspace: string, keyId: string): Promise<Report> =>
  editDocument(context, {
    document: 'workspaces',
    path: ['workspaces', workspace, 'keys', keyId, 'state'],
    value: 'withdrawn',
    check: text => withdrawalRefusal(text, workspace, keyId)
  })
