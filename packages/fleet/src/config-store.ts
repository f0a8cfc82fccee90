/**
 * Reads the operators' configuration from the platform's store. Documents are content-addressed: they are stored under
 * their hash and never change. The head refers to the documents of the active version.
 */
import { backoffMs, Err, formatFinding, monotonicMs, Ok, sleepMs, typedError } from '@egretyoke/common'
import type { Finding, Result, TypedError } from '@egretyoke/common'
import {
  configHeadSchema, decodeRecord, documentHash, documentNames, readDocuments, storeKeys
} from '@egretyoke/config'
import type { ConfigHead, Configuration, DocumentTexts } from '@egretyoke/config'
import type { Platform, PlatformError, StoredEntry } from './platform.js'

/** The head and the store revision of its last change. Version and revision are 0 before the first change. */
export type StoredHead = { head: ConfigHead, revision: number }

/**
 * Why a configuration could not be read. `noAnswer`: the platform did not reply; `noConfiguration`: none has been
 * accepted yet; `missingDocument`: the head refers to a document that is not stored; `damaged`: a record does not match
 * its schema, or a document its hash.
 */
export type ConfigReadError = TypedError<'noAnswer' | 'noConfiguration' | 'missingDocument' | 'damaged'>

/** The head before the first accepted change. */
export const emptyHead: ConfigHead = { version: 0, documents: {}, changeId: 'none', recentChanges: [], superseded: [] }

/** Maximum read attempts when the head changes during the read. */
const maxReadAttempts = 4

const initialBackoffMs = 50
const maxBackoffMs = 1000

/** Timeouts of applying a change and of finding its outcome. */
export type ApplyTimeouts = {
  /** Timeout of each call to the platform. */
  callTimeoutMs: number
  /** Total time for which calls are retried while the platform does not reply. */
  waitMs: number
}

/** Default timeouts. */
export const defaultApplyTimeouts: ApplyTimeouts = { callTimeoutMs: 2000, waitMs: 30_000 }

/** Yields the timeout of each attempt, at first immediately, then with exponential backoff, until `waitMs` is over. */
export async function * attemptTimeouts (timeouts: ApplyTimeouts): AsyncGenerator<number> {
  const deadlineMs = monotonicMs() + timeouts.waitMs
  for (const delayMs of backoffMs(initialBackoffMs, maxBackoffMs)) {
    const remainingMs = deadlineMs - monotonicMs()
    if (remainingMs <= 0) return
    yield Math.min(timeouts.callTimeoutMs, remainingMs)
    if (monotonicMs() + delayMs >= deadlineMs) return
    await sleepMs(delayMs)
  }
}

/** Retries a read while the platform does not reply, for at most `waitMs`. */
export const readWithRetries = async <T>(
  timeouts: ApplyTimeouts,
  read: (timeoutMs: number) => Promise<Result<T, ConfigReadError>>
): Promise<Result<T, ConfigReadError>> => {
  let lastResult: Result<T, ConfigReadError> =
    Err(typedError('noAnswer', 'the wait time was over before the first call'))
  for await (const timeoutMs of attemptTimeouts(timeouts)) {
    lastResult = await read(timeoutMs)
    if (lastResult.ok || lastResult.val.reason !== 'noAnswer') return lastResult
  }
  return lastResult
}

const damagedError = (findings: Finding[]): ConfigReadError =>
  typedError('damaged', findings.map(formatFinding).join('\n'))

/** Decodes a stored head. Without an entry, returns the empty head. */
export const decodeHead = (entry: StoredEntry | undefined): Result<StoredHead, ConfigReadError> => {
  if (!entry) return Ok({ head: emptyHead, revision: 0 })
  const decoded = decodeRecord(entry.key, entry.value, configHeadSchema)
  return decoded.ok ? Ok({ head: decoded.val as ConfigHead, revision: entry.revision }) : Err(damagedError(decoded.val))
}

/** Subset of the platform that reading needs. */
export type PlatformReader = Pick<Platform, 'get'>

/** Reads the head in one call. */
export const readHead = async (
  platform: PlatformReader,
  timeoutMs: number
): Promise<Result<StoredHead, ConfigReadError>> => {
  const entry = await platform.get(storeKeys.head, timeoutMs)
  return entry.ok ? decodeHead(entry.val) : Err(entry.val as PlatformError)
}

/** Reads one document's text in one call and verifies its hash. */
export const readDocumentText = async (
  platform: PlatformReader,
  hash: string,
  timeoutMs: number
): Promise<Result<string, ConfigReadError>> => {
  const entry = await platform.get(storeKeys.document(hash), timeoutMs)
  if (!entry.ok) return Err(entry.val as PlatformError)
  if (!entry.val) return Err(typedError('missingDocument', `document ${hash} is not stored`, { hash }))
  const text = entry.val.value.toString('utf8')
  if (documentHash(text) === hash) return Ok(text)
  return Err(typedError('damaged', `document ${hash} does not match its hash`, { hash }))
}

/** Reads the texts of all documents of a head. The file name of each is NAME.jsonc. */
export const readDocumentTexts = async (
  platform: PlatformReader,
  head: ConfigHead,
  timeoutMs: number
): Promise<Result<DocumentTexts, ConfigReadError>> => {
  if (head.version === 0) return Err(typedError('noConfiguration', 'no configuration has been accepted yet'))
  const texts = {} as DocumentTexts
  const reads = await Promise.all(documentNames.map(name =>
    readDocumentText(platform, head.documents[name], timeoutMs)))
  for (const [index, name] of documentNames.entries()) {
    const read = reads[index]
    if (!read.ok) return Err(read.val)
    texts[name] = { file: `${name}.jsonc`, text: read.val }
  }
  return Ok(texts)
}

/** Parses and checks the texts of a head's documents. */
export const configurationOf = (head: ConfigHead, texts: DocumentTexts): Result<Configuration, ConfigReadError> => {
  const read = readDocuments(texts, head.version)
  return read.ok ? Ok(read.val) : Err(damagedError(read.val))
}

/** A head and the texts of its documents. */
export type StoredConfiguration = StoredHead & { texts: DocumentTexts }

/** Reads the head and its documents. Retries when the head changed during the read and an old document was deleted. */
export const readStoredConfiguration = async (
  platform: PlatformReader,
  timeoutMs: number
): Promise<Result<StoredConfiguration, ConfigReadError>> => {
  for (let attempt = 1; ; attempt++) {
    const stored = await readHead(platform, timeoutMs)
    if (!stored.ok) return Err(stored.val)
    const texts = await readDocumentTexts(platform, stored.val.head, timeoutMs)
    if (texts.ok) return Ok({ ...stored.val, texts: texts.val })
    if (texts.val.reason !== 'missingDocument' || attempt === maxReadAttempts) return Err(texts.val)
  }
}

/** Reads and checks the active configuration. `timeoutMs` is the timeout of each call. */
export const readConfiguration = async (
  platform: PlatformReader,
  timeoutMs: number
): Promise<Result<Configuration, ConfigReadError>> => {
  const stored = await readStoredConfiguration(platform, timeoutMs)
  return stored.ok ? configurationOf(stored.val.head, stored.val.texts) : Err(stored.val)
}
