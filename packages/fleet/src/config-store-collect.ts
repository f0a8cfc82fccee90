/**
 * Deletes documents that were superseded some versions ago, so that the store stays bounded.
 *
 * A document is deleted only when the head does not refer to it and the head is newer than the document's last write. A
 * change in progress has written its documents after its base head. When such a document is older than the current
 * head, the head has moved past that base, and the change can no longer be accepted.
 */
import { storeKeys } from '@egretyoke/config'
import type { ConfigHead } from '@egretyoke/config'
import type { StoredHead } from './config-store.js'
import type { Platform } from './platform.js'

/** Number of versions for which a superseded document is retained for slow readers. */
export const retainedVersions = 8

/** Maximum number of documents deleted by one change. */
const maxDeletionsPerChange = 8

/** Returns the hashes of superseded documents whose retention has ended, oldest first. */
export const expiredDocumentHashes = (head: ConfigHead): string[] =>
  head.superseded.filter(old => old.version + retainedVersions <= head.version).map(old => old.hash)

/** Deletes a document unless the head or a change in progress uses it. Returns true when it no longer exists. */
const deleteIfUnused = async (
  platform: Platform,
  hash: string,
  stored: StoredHead,
  timeoutMs: number
): Promise<boolean> => {
  if (Object.values(stored.head.documents).includes(hash)) return false
  const key = storeKeys.document(hash)
  const entry = await platform.get(key, timeoutMs)
  if (!entry.ok) return false
  if (!entry.val) return true
  const { revision } = entry.val
  if (revision >= stored.revision) return false
  const swap = { key, expectedRevision: revision, value: Buffer.alloc(0), delete: true }
  const outcome = await platform.compareAndSwap(swap, timeoutMs)
  return outcome.ok && outcome.val.swapped
}

/** Deletes documents that are not in use. Returns those that no longer exist; later changes retry the others. */
export const deleteUnusedDocuments = async (
  platform: Platform,
  hashes: string[],
  stored: StoredHead,
  timeoutMs: number
): Promise<string[]> => {
  const batch = hashes.slice(0, maxDeletionsPerChange)
  const deletedFlags = await Promise.all(batch.map(hash => deleteIfUnused(platform, hash, stored, timeoutMs)))
  return batch.filter((_hash, index) => deletedFlags[index])
}
