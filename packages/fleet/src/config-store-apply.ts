/**
 * Changes the operators' configuration. Documents are stored first, then one compare-and-swap of the head accepts
 * the change. When the reply is lost, the outcome is read from the head's recent changes, never guessed.
 *
 * Each change that starts to use a document writes it again, which gives it a new revision. Documents are deleted by
 * compare-and-swap at a revision below the head's, so none is deleted between its write and the head's swap.
 */
import { randomBytes } from 'node:crypto'
import { Err, monotonicMs, Ok } from '@egretyoke/common'
import type { Finding, Result } from '@egretyoke/common'
import {
  documentHash, documentNames, encodeRecord, maxRecentChanges, maxSupersededDocuments, readDocuments, storeKeys
} from '@egretyoke/config'
import type { ConfigHead, DocumentName, DocumentTexts } from '@egretyoke/config'
import { deleteUnusedDocuments, expiredDocumentHashes } from './config-store-collect.js'
import { settlementFromHead, versionOfChange } from './config-store-settle.js'
import {
  attemptTimeouts, decodeHead, defaultApplyTimeouts, readDocumentTexts, readHead, readWithRetries
} from './config-store.js'
import type { ApplyTimeouts, StoredHead } from './config-store.js'
import type { Platform } from './platform.js'

/** A change: new texts of some or all documents. */
export type ConfigChange = {
  /** Version on which the change is based; 0 when there is no configuration yet. */
  baseVersion: number
  documents: Partial<DocumentTexts>
  /** From `createChangeId`. A change id takes effect at most once. */
  changeId: string
}

/** Outcome of applying a change. */
export type ApplyOutcome =
  /** Active since `version`. `changed` is false when the active documents already had these texts. */
  | { kind: 'accepted', version: number, changed: boolean }
  /** Not accepted: another change was accepted first. `differing`: documents whose text differs from the head's. */
  | { kind: 'conflict', head: ConfigHead, differing: DocumentName[] }
  /** May have been accepted: the platform does not reply. `settleChange` finds the outcome. */
  | { kind: 'unsettled', changeId: string, message: string }
  /** Not accepted: the platform stopped replying, or declined, before the head was swapped. */
  | { kind: 'unavailable', message: string }
  /** Not accepted: the documents are invalid. */
  | { kind: 'refused', findings: Finding[] }

/** Creates a change id. It contains the base version, so that the outcome of the change can be found later. */
export const createChangeId = (baseVersion: number): string => `v${baseVersion}-${randomBytes(12).toString('hex')}`

/** Maximum number of compare-and-swaps per attempt when other operators store the same document concurrently. */
const maxSwapsPerAttempt = 8

type Hashes = Partial<Record<DocumentName, string>>

/** A validated change, ready to be stored. */
type PreparedChange = {
  base: StoredHead
  changeId: string
  texts: DocumentTexts
  hashes: Hashes
  changedNames: DocumentName[]
}

const unavailable = (message: string): ApplyOutcome => ({ kind: 'unavailable', message })

const conflict = (head: ConfigHead, hashes: Hashes): ApplyOutcome => ({
  kind: 'conflict',
  head,
  differing: documentNames.filter(name => hashes[name] !== undefined && hashes[name] !== head.documents[name])
})

const hashesOf = (documents: Partial<DocumentTexts>): Hashes => {
  const hashes: Hashes = {}
  for (const name of documentNames) {
    const document = documents[name]
    if (document) hashes[name] = documentHash(document.text)
  }
  return hashes
}

/** Validates a change against the head and the whole configuration. The error is the outcome of the change. */
const prepareChange = async (
  platform: Platform,
  change: ConfigChange,
  timeouts: ApplyTimeouts
): Promise<Result<PreparedChange, ApplyOutcome>> => {
  const { changeId, documents } = change
  const stored = await readWithRetries(timeouts, timeoutMs => readHead(platform, timeoutMs))
  if (!stored.ok) return Err(unavailable(stored.val.message))
  const base = stored.val
  const hashes = hashesOf(documents)
  const earlierVersion = versionOfChange(base.head, changeId)
  if (earlierVersion !== undefined) return Err({ kind: 'accepted', version: earlierVersion, changed: true })
  if (base.head.version !== change.baseVersion) return Err(conflict(base.head, hashes))

  const changedNames = documentNames.filter(name => hashes[name] && hashes[name] !== base.head.documents[name])
  if (changedNames.length === 0) return Err({ kind: 'accepted', version: base.head.version, changed: false })
  const isComplete = documentNames.every(name => documents[name])
  const current = isComplete
    ? Ok(documents as DocumentTexts)
    : await readWithRetries(timeouts, timeoutMs => readDocumentTexts(platform, base.head, timeoutMs))
  if (!current.ok) return Err(unavailable(current.val.message))
  const texts = { ...current.val, ...documents }
  const validated = readDocuments(texts, base.head.version + 1)
  if (!validated.ok) return Err({ kind: 'refused', findings: validated.val })
  return Ok({ base, changeId, texts, hashes, changedNames })
}

/** Stores a document at a revision above the base head's. Returns the reason on failure, undefined on success. */
const storeDocument = async (
  platform: Platform,
  text: string,
  baseRevision: number,
  timeouts: ApplyTimeouts
): Promise<string | undefined> => {
  const key = storeKeys.document(documentHash(text))
  const value = Buffer.from(text)
  let expectedRevision = 0
  for await (const timeoutMs of attemptTimeouts(timeouts)) {
    for (let swapCount = 0; swapCount < maxSwapsPerAttempt; swapCount++) {
      const outcome = await platform.compareAndSwap({ key, expectedRevision, value }, timeoutMs)
      if (!outcome.ok) {
        const stored = await platform.get(key, timeoutMs)
        if (stored.ok && stored.val && stored.val.revision > baseRevision) return undefined
        break
      }
      if (outcome.val.swapped) return undefined
      const currentRevision = outcome.val.current?.revision ?? 0
      if (currentRevision > baseRevision) return undefined
      if (currentRevision === expectedRevision) return 'the platform declined to store a document'
      expectedRevision = currentRevision
    }
  }
  return 'the platform did not reply while the documents were being stored'
}

const nextHead = (change: PreparedChange, deletedHashes: string[]): ConfigHead => {
  const { base: { head }, changeId } = change
  const version = head.version + 1
  const documents = { ...head.documents, ...change.hashes } as ConfigHead['documents']
  const activeHashes = Object.values(documents)
  const replaced = Object.values(head.documents).map(hash => ({ hash, version }))
  const superseded = [...head.superseded, ...replaced]
    .filter(old => !activeHashes.includes(old.hash) && !deletedHashes.includes(old.hash))
  return {
    version,
    documents,
    changeId,
    recentChanges: [...head.recentChanges, { changeId, version }].slice(-maxRecentChanges),
    superseded: superseded.slice(-maxSupersededDocuments)
  }
}

/** Determines the outcome of a sent change from a head; undefined while the swap may still be applied. */
const outcomeFromHead = (stored: StoredHead, change: PreparedChange): ApplyOutcome | undefined => {
  const { base, changeId, hashes } = change
  if (stored.revision === base.revision) return undefined
  const settlement = settlementFromHead(stored.head, base.head.version, changeId)
  if (settlement.kind === 'accepted') return { kind: 'accepted', version: settlement.version, changed: true }
  if (settlement.kind === 'notAccepted') return conflict(stored.head, hashes)
  const message = settlement.kind === 'unsettled'
    ? settlement.message
    : `the head is at version ${settlement.headVersion} again`
  return { kind: 'unsettled', changeId, message }
}

/** Retries the head's swap until its outcome is known. At most one of the swaps sent can be applied. */
const swapHead = async (
  platform: Platform,
  change: PreparedChange,
  next: ConfigHead,
  timeouts: ApplyTimeouts
): Promise<ApplyOutcome> => {
  const swap = { key: storeKeys.head, expectedRevision: change.base.revision, value: encodeRecord(next) }
  let sentCount = 0
  let lostReplies = 0
  for await (const timeoutMs of attemptTimeouts(timeouts)) {
    sentCount++
    const outcome = await platform.compareAndSwap(swap, timeoutMs)
    if (outcome.ok && outcome.val.swapped) return { kind: 'accepted', version: next.version, changed: true }
    if (!outcome.ok) lostReplies++
    const stored = outcome.ok ? decodeHead(outcome.val.current) : await readHead(platform, timeoutMs)
    if (!stored.ok) continue
    const knownOutcome = outcomeFromHead(stored.val, change)
    if (knownOutcome) return knownOutcome
    if (outcome.ok && lostReplies === 0) return unavailable('the platform declined to store the head')
  }
  if (sentCount === 0) return unavailable('the wait time expired after the documents were stored')
  return { kind: 'unsettled', changeId: change.changeId, message: 'the platform did not reply' }
}

/** Applies a change. Returns when its outcome is known or the wait time has expired. */
export const applyDocuments = async (
  platform: Platform,
  change: ConfigChange,
  timeouts: ApplyTimeouts = defaultApplyTimeouts
): Promise<ApplyOutcome> => {
  const deadlineMs = monotonicMs() + timeouts.waitMs
  const remainingTimeouts = (): ApplyTimeouts => ({ ...timeouts, waitMs: deadlineMs - monotonicMs() })
  const prepared = await prepareChange(platform, change, timeouts)
  if (!prepared.ok) return prepared.val
  const { base, texts, hashes, changedNames } = prepared.val
  for (const name of changedNames) {
    const failure = await storeDocument(platform, texts[name].text, base.revision, remainingTimeouts())
    if (failure) return unavailable(failure)
  }
  const expiredHashes = expiredDocumentHashes(base.head)
  const deletedHashes = await deleteUnusedDocuments(platform, expiredHashes, base, timeouts.callTimeoutMs)
  const outcome = await swapHead(platform, prepared.val, nextHead(prepared.val, deletedHashes), remainingTimeouts())
  if (outcome.kind !== 'conflict') return outcome

  const stored = await readHead(platform, timeouts.callTimeoutMs)
  if (!stored.ok) return outcome
  const retainedHashes = stored.val.head.superseded.map(old => old.hash)
  const abandonedHashes = changedNames.map(name => hashes[name] as string)
    .filter(hash => !retainedHashes.includes(hash))
  await deleteUnusedDocuments(platform, abandonedHashes, stored.val, timeouts.callTimeoutMs)
  return outcome
}
