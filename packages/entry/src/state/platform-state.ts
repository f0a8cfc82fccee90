/**
 * Local copy of the platform's records: the active configuration, the group records with their terms, the roster, and
 * the endpoints and VMs that are leaving. A batch of records is applied as a whole or not at all, and a record is never
 * replaced by an older revision.
 */
import {
  configHeadSchema,
  decodeRecord,
  documentNames,
  groupRecordSchema,
  leavingSchema,
  readDocuments,
  rosterSchema,
  storeKeys
} from '@egretyoke/config'
import type { ConfigHead, Configuration, DocumentTexts, GroupRecord, Leaving, Roster } from '@egretyoke/config'
import { Err, Ok, formatFinding, typedError } from '@egretyoke/common'
import type { Result, TypedError } from '@egretyoke/common'
import type { StoredEntry } from '@egretyoke/fleet'

/** Maximum number of records that a VM stores. */
export const maxRecords = 20_000

/** Fetches a document's text by its hash. Resolves to undefined if it is not available now. */
export type FetchDocument = (hash: string) => Promise<string | undefined>

/** Reason why a batch of records was not applied. */
export type ApplyError = TypedError<'documentMissing' | 'invalidRecord' | 'tooManyRecords'>

/** Local copy of the platform's records. */
export type PlatformState = {
  /** Newest revision among the applied records; 0 before the first one. */
  revision: () => number
  configuration: () => Configuration | undefined
  group: (name: string) => GroupRecord | undefined
  groupNames: () => string[]
  roster: () => Roster | undefined
  leaving: () => Leaving
  /** Records newer than a revision, with the active configuration's documents if its head record is one of them. */
  entriesAfter: (revision: number) => StoredEntry[]
  /** Applies a batch of records. Resolves to true if any of them was newer than the stored one. */
  applyRecords: (entries: StoredEntry[], fetchDocument: FetchDocument) => Promise<Result<boolean, ApplyError>>
  onChange: (listener: () => void) => void
}

const documentKeyPrefix = storeKeys.document('')
const emptyLeaving: Leaving = { endpoints: [], vms: [] }

const invalid = (key: string, detail: string): ApplyError => typedError('invalidRecord', `${key}: ${detail}`, { key })

/** Creates an empty state. */
export const createPlatformState = (): PlatformState => {
  const entries = new Map<string, StoredEntry>()
  const groups = new Map<string, GroupRecord>()
  const listeners = new Set<() => void>()
  let documents = new Map<string, string>()
  let configuration: Configuration | undefined
  let roster: Roster | undefined
  let leaving: Leaving = emptyLeaving
  let revision = 0

  const readConfiguration = async (head: ConfigHead, fetchDocument: FetchDocument) => {
    const fetched = new Map<string, string>()
    const texts: Partial<DocumentTexts> = {}
    for (const name of documentNames) {
      const hash = head.documents[name]
      const text = hash && (documents.get(hash) ?? await fetchDocument(hash))
      if (!hash || text === undefined) return Err(typedError('documentMissing', `no document "${name}"`, { name }))
      fetched.set(hash, text)
      texts[name] = { file: name, text }
    }
    const read = readDocuments(texts as DocumentTexts, head.version)
    if (!read.ok) return Err(invalid('configuration', read.val.map(formatFinding).join('; ')))
    return Ok({ configuration: read.val, documents: fetched })
  }

  /** Decodes one record and returns the function that applies it. */
  const decodeEntry = async (
    entry: StoredEntry,
    fetchDocument: FetchDocument
  ): Promise<Result<() => void, ApplyError>> => {
    if (entry.key === storeKeys.head && !entry.deleted) {
      const head = decodeRecord(entry.key, entry.value, configHeadSchema)
      if (!head.ok) return Err(invalid(entry.key, formatFinding(head.val[0])))
      if (head.val.version < (configuration?.version ?? 0)) return Err(invalid(entry.key, 'the version decreased'))
      const read = await readConfiguration(head.val, fetchDocument)
      if (!read.ok) return read
      return Ok(() => {
        configuration = read.val.configuration
        documents = read.val.documents
      })
    }
    if (entry.key.startsWith(storeKeys.groupPrefix)) {
      const name = entry.key.slice(storeKeys.groupPrefix.length)
      if (entry.deleted) return Ok(() => { groups.delete(name) })
      const record = decodeRecord(entry.key, entry.value, groupRecordSchema)
      if (!record.ok) return Err(invalid(entry.key, formatFinding(record.val[0])))
      return Ok(() => { groups.set(name, record.val) })
    }
    if (entry.key === storeKeys.roster && !entry.deleted) {
      const read = decodeRecord(entry.key, entry.value, rosterSchema)
      if (!read.ok) return Err(invalid(entry.key, formatFinding(read.val[0])))
      return Ok(() => { roster = read.val })
    }
    if (entry.key === storeKeys.leaving) {
      if (entry.deleted) return Ok(() => { leaving = emptyLeaving })
      const read = decodeRecord(entry.key, entry.value, leavingSchema)
      if (!read.ok) return Err(invalid(entry.key, formatFinding(read.val[0])))
      return Ok(() => { leaving = read.val })
    }
    return Ok(() => {})
  }

  const applyBatch: PlatformState['applyRecords'] = async (incoming, fetchDocument) => {
    const newer = incoming
      .filter(entry => !entry.key.startsWith(documentKeyPrefix))
      .filter(entry => entry.revision > (entries.get(entry.key)?.revision ?? 0))
    if (newer.length === 0) return Ok(false)
    if (entries.size + newer.length > maxRecords) return Err(typedError('tooManyRecords', 'too many records'))
    const includedDocuments = new Map(incoming
      .filter(entry => entry.key.startsWith(documentKeyPrefix))
      .map(entry => [entry.key.slice(documentKeyPrefix.length), entry.value.toString('utf8')]))
    const findDocument: FetchDocument = async hash => includedDocuments.get(hash) ?? await fetchDocument(hash)
    const steps: Array<() => void> = []
    for (const entry of newer) {
      const step = await decodeEntry(entry, findDocument)
      if (!step.ok) return step
      steps.push(step.val)
    }
    for (const step of steps) step()
    for (const entry of newer) {
      entries.set(entry.key, entry)
      revision = Math.max(revision, entry.revision)
    }
    for (const listener of listeners) listener()
    return Ok(true)
  }

  // Batches are applied one at a time, so that a slow document fetch does not let an older record replace a newer one.
  let lastBatch: Promise<unknown> = Promise.resolve()
  const applyRecords: PlatformState['applyRecords'] = (incoming, fetchDocument) => {
    const next = lastBatch.then(() => applyBatch(incoming, fetchDocument))
    lastBatch = next.catch(() => undefined)
    return next
  }

  const entriesAfter = (afterRevision: number): StoredEntry[] => {
    const changed = [...entries.values()].filter(entry => entry.revision > afterRevision)
    if (!changed.some(entry => entry.key === storeKeys.head)) return changed
    const texts = [...documents].map(([hash, text]) =>
      ({ key: storeKeys.document(hash), value: Buffer.from(text), revision: 0, deleted: false }))
    return [...changed, ...texts]
  }

  return {
    revision: () => revision,
    configuration: () => configuration,
    group: name => groups.get(name),
    groupNames: () => [...groups.keys()],
    roster: () => roster,
    leaving: () => leaving,
    entriesAfter,
    applyRecords,
    onChange: listener => { listeners.add(listener) }
  }
}
