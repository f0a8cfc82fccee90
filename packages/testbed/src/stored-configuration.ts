/**
 * Writes the configuration, group records and the roster to the platform's store.
 */
import { documentNames, encodeRecord, storeKeys } from '@egretyoke/config'
import type { Configuration, DocumentName, DocumentTexts, GroupRecord, Roster } from '@egretyoke/config'
import { applyDocuments, createChangeId } from '@egretyoke/fleet'
import type { Platform } from '@egretyoke/fleet'

const timeoutMs = 5_000

/** Configuration without its version. */
export type StoredConfiguration = Omit<Configuration, 'version'>

const documentOf = (configuration: StoredConfiguration): Record<DocumentName, unknown> => ({
  profiles: { profiles: configuration.profiles },
  workspaces: { workspaces: configuration.workspaces },
  groups: { groups: configuration.groups },
  'data-centres': { dataCentres: configuration.dataCentres }
})

const put = async (platform: Platform, key: string, value: Buffer): Promise<void> => {
  const existing = await platform.get(key, timeoutMs)
  if (!existing.ok) throw new Error(existing.val.message)
  const swapped = await platform.compareAndSwap(
    { key, expectedRevision: existing.val?.revision ?? 0, value }, timeoutMs)
  if (!swapped.ok) throw new Error(swapped.val.message)
  if (!swapped.val.swapped) throw new Error(`${key} was changed concurrently`)
}

/** Returns the JSON text of each document of a configuration. */
export const documentTexts = (configuration: StoredConfiguration): DocumentTexts => {
  const documents = documentOf(configuration)
  return Object.fromEntries(documentNames.map(name =>
    [name, { file: name, text: JSON.stringify(documents[name]) }])) as DocumentTexts
}

/** Activates a configuration as the successor of `baseVersion`; returns its version. Throws when it is not accepted. */
export const putConfiguration = async (
  platform: Platform,
  configuration: StoredConfiguration,
  baseVersion: number
): Promise<number> => {
  const documents = documentTexts(configuration)
  const outcome = await applyDocuments(platform, { baseVersion, documents, changeId: createChangeId(baseVersion) })
  if (outcome.kind === 'accepted') return outcome.version
  throw new Error(`configuration not accepted: ${JSON.stringify(outcome)}`)
}

/** Writes the records that stewards would write: each group in term 1, an empty leaving record, and the roster. */
export const putFleetRecords = async (
  platform: Platform,
  configuration: StoredConfiguration,
  members: Roster['members']
): Promise<void> => {
  for (const [name, group] of Object.entries(configuration.groups)) {
    const record: GroupRecord = {
      term: 1,
      primary: group.firstPrimary,
      phase: 'active',
      lineage: [{ term: 1, startPosition: 0 }]
    }
    await put(platform, storeKeys.group(name), encodeRecord(record))
  }
  await put(platform, storeKeys.leaving, encodeRecord({ endpoints: [], vms: [] }))
  const roster: Roster = { version: 1, members }
  await put(platform, storeKeys.roster, encodeRecord(roster))
}
