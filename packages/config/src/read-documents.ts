/**
 * Parses the four configuration documents into one configuration and checks them across documents.
 */
import { createHash } from 'node:crypto'
import { Err, Ok, readJsonWithComments } from '@egretyoke/common'
import type { Finding, Result } from '@egretyoke/common'
import type { ZodType } from 'zod'
import { checkConfiguration } from './document-checks.js'
import type { DocumentTexts } from './document-checks.js'
import { documentSchemas } from './documents.js'
import type { Configuration, DocumentName } from './documents.js'

/** Returns the SHA-256 hash under which a document's text is stored, in hexadecimal. */
export const documentHash = (text: string): string => createHash('sha256').update(text).digest('hex')

/** Parses and checks all documents together. The error holds the findings of all documents. */
export const readDocuments = (texts: DocumentTexts, version: number): Result<Configuration, Finding[]> => {
  const read = <T>(name: DocumentName, schema: ZodType<T>) =>
    readJsonWithComments(texts[name].text, texts[name].file, schema)
  const profiles = read('profiles', documentSchemas.profiles)
  const workspaces = read('workspaces', documentSchemas.workspaces)
  const groups = read('groups', documentSchemas.groups)
  const dataCentres = read('data-centres', documentSchemas['data-centres'])
  if (!profiles.ok || !workspaces.ok || !groups.ok || !dataCentres.ok) {
    return Err([profiles, workspaces, groups, dataCentres].flatMap(document => document.ok ? [] : document.val))
  }
  const configuration: Configuration = {
    version,
    ...profiles.val,
    ...workspaces.val,
    ...groups.val,
    ...dataCentres.val
  }
  const findings = checkConfiguration(configuration, texts)
  return findings.length > 0 ? Err(findings) : Ok(configuration)
}
