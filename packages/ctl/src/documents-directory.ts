/**
 * The operator's folder of documents: one file for each, and the version that they are based on.
 */
import { mkdir, readFile, stat, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { Err, maxDocumentBytes, messageOf, Ok } from '@egretyoke/common'
import type { Finding, Result } from '@egretyoke/common'
import { documentNames } from '@egretyoke/config'
import type { DocumentText, DocumentTexts } from '@egretyoke/config'

/** File with the version that the folder's documents are based on. */
export const baseVersionFile = '.base-version'

const readDocument = async (file: string): Promise<Result<DocumentText, Finding>> => {
  const start = { file, line: 1, column: 1 }
  try {
    const { size } = await stat(file)
    if (size > maxDocumentBytes) return Err({ ...start, message: `larger than ${maxDocumentBytes} bytes` })
    return Ok({ file, text: await readFile(file, 'utf8') })
  } catch (thrown) {
    return Err({ ...start, message: messageOf(thrown) })
  }
}

/** Reads `NAME.jsonc` for every document. The error lists every file that cannot be read. */
export const readDirectory = async (directory: string): Promise<Result<DocumentTexts, Finding[]>> => {
  const texts = {} as DocumentTexts
  const findings: Finding[] = []
  for (const name of documentNames) {
    const read = await readDocument(join(directory, `${name}.jsonc`))
    if (read.ok) texts[name] = read.val
    else findings.push(read.val)
  }
  return findings.length > 0 ? Err(findings) : Ok(texts)
}

/** Reads the version that the folder's documents are based on; undefined when the folder does not record it. */
export const readBaseVersion = async (directory: string): Promise<number | undefined> => {
  try {
    const text = (await readFile(join(directory, baseVersionFile), 'utf8')).trim()
    return /^\d{1,15}$/.test(text) ? Number(text) : undefined
  } catch {
    return undefined
  }
}

/** Writes the version that the folder's documents are now based on. Returns the error message when that fails. */
export const writeBaseVersion = async (directory: string, version: number): Promise<string | undefined> => {
  try {
    await writeFile(join(directory, baseVersionFile), `${version}\n`)
  } catch (thrown) {
    return messageOf(thrown)
  }
}

/** Creates the folder and writes all documents and their version to it. Throws when a file cannot be written. */
export const writeDirectory = async (directory: string, texts: DocumentTexts, version: number): Promise<void> => {
  await mkdir(directory, { recursive: true })
  for (const name of documentNames) await writeFile(join(directory, `${name}.jsonc`), texts[name].text)
  await writeFile(join(directory, baseVersionFile), `${version}\n`)
}
