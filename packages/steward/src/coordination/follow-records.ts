/**
 * Maintains a local copy of the records that every VM follows. Changes are fetched from the entry on the same VM, which
 * puts no load on the platform, and from the platform only while that entry does not reply. The copy may lag behind the
 * store, so every decision based on it is applied with compare-and-swap.
 */
import { monotonicMs, Ok, ticks } from '@egretyoke/common'
import { storeKeys } from '@egretyoke/config'
import type { Platform, StoreChanges, StoredEntry } from '@egretyoke/fleet'

/** Maximum number of records in the copy, without the configuration documents. */
const maxRecords = 50_000
const documentPrefix = storeKeys.document('')

/** Local copy of the followed records. */
export type FollowedRecords = {
  get: (key: string) => StoredEntry | undefined
  /** True after the first reply from the entry or the platform. */
  isSynced: () => boolean
  /** Updates the copy with a record returned by a swap or a read. Older revisions are ignored. */
  updateCopy: (entry: StoredEntry) => void
  close: () => Promise<void>
}

/** Sources and intervals of the copy. Times are in milliseconds. */
export type FollowRecordsOptions = {
  platform: Platform
  /** Fetches changes after a revision from the entry on the same VM; undefined if it does not reply or is starting. */
  fetchFromEntry: (afterRevision: number) => Promise<StoreChanges | undefined>
  entryPollIntervalMs: number
  /** Time without a reply from the entry after which the platform is polled. */
  platformFallbackMs: number
  platformPollIntervalMs: number
  timeoutMs: number
}

/** Starts to follow the records. */
export const followRecords = (options: FollowRecordsOptions): FollowedRecords => {
  const records = new Map<string, StoredEntry>()
  const stopping = new AbortController()
  let documents = new Map<string, StoredEntry>()
  let knownRevision = 0
  let isSynced = false
  let lastEntryReplyMs = monotonicMs()
  let lastPlatformPollMs = -Infinity

  const updateCopy = (entry: StoredEntry) => {
    const existing = records.get(entry.key)
    if (existing && existing.revision >= entry.revision) return
    if (!existing && records.size >= maxRecords) return
    records.set(entry.key, entry)
  }

  /** Applies changes. A changed configuration head comes with all of its documents, which replace the previous ones. */
  const applyChanges = (changes: StoreChanges) => {
    const isDocument = (entry: StoredEntry) => entry.key.startsWith(documentPrefix)
    const newDocuments = changes.entries.filter(isDocument)
    if (newDocuments.length > 0) documents = new Map(newDocuments.map(entry => [entry.key, entry]))
    for (const entry of changes.entries) if (!isDocument(entry)) updateCopy(entry)
    knownRevision = Math.max(knownRevision, changes.storeRevision)
    isSynced = true
  }

  const syncFromEntry = async (): Promise<boolean> => {
    const changes = await options.fetchFromEntry(knownRevision)
    if (!changes) return false
    lastEntryReplyMs = monotonicMs()
    applyChanges(changes)
    return true
  }

  const syncFromPlatform = async () => {
    const nowMs = monotonicMs()
    const isDue = nowMs - lastEntryReplyMs >= options.platformFallbackMs &&
      nowMs - lastPlatformPollMs >= options.platformPollIntervalMs
    if (!isDue) return
    lastPlatformPollMs = nowMs
    const changes = await options.platform.range(storeKeys.watchedPrefix, knownRevision, options.timeoutMs)
    if (changes.ok) applyChanges(changes.val)
  }

  const pollContinuously = async () => {
    for await (const _ of ticks(options.entryPollIntervalMs, stopping.signal)) {
      if (!await syncFromEntry()) await syncFromPlatform()
    }
  }

  const running = pollContinuously()
  const close = async () => {
    stopping.abort()
    await running
  }
  return { get: key => records.get(key) ?? documents.get(key), isSynced: () => isSynced, updateCopy, close }
}

/** Returns a `get` that reads from the copy, and from the platform if the copy does not have the key. */
export const readThrough = (platform: Platform, copy: FollowedRecords): Pick<Platform, 'get'> => ({
  get: async (key, timeoutMs) => {
    const cached = copy.get(key)
    return cached && !cached.deleted ? Ok(cached) : await platform.get(key, timeoutMs)
  }
})
