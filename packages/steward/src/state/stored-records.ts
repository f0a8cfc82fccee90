/**
 * Decoders of the records in the platform's store: the roster, the leaving VMs and the groups' records.
 */
import { formatFinding } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import { decodeRecord, groupRecordSchema, leavingSchema, rosterSchema } from '@egretyoke/config'
import type { GroupRecord, Leaving, Roster } from '@egretyoke/config'
import type { StoredEntry } from '@egretyoke/fleet'
import type { ZodType } from 'zod'
import { events } from '../events.js'

/** A decoded record with the store revision of its last change; revision 0 means that the record does not exist. */
export type Stored<T> = { value: T, revision: number }

/** Decodes a stored record. An invalid one is logged and returned as undefined, with its revision. */
export const decodeStored = <T>(
  entry: StoredEntry | undefined,
  schema: ZodType<T>,
  log: Logger
): Stored<T | undefined> => {
  if (!entry || entry.deleted) return { value: undefined, revision: 0 }
  const decoded = decodeRecord(entry.key, entry.value, schema)
  if (decoded.ok) return { value: decoded.val, revision: entry.revision }
  log(events.recordDamaged, { key: entry.key, findings: decoded.val.map(formatFinding) })
  return { value: undefined, revision: entry.revision }
}

/** Decodes a group's record. */
export const decodeGroupRecord = (entry: StoredEntry | undefined, log: Logger): Stored<GroupRecord | undefined> =>
  decodeStored(entry, groupRecordSchema, log)

/** Decodes the roster. */
export const decodeRoster = (entry: StoredEntry | undefined, log: Logger): Stored<Roster | undefined> =>
  decodeStored(entry, rosterSchema, log)

/** Decodes the list of leaving VMs. */
export const decodeLeaving = (entry: StoredEntry | undefined, log: Logger): Stored<Leaving | undefined> =>
  decodeStored(entry, leavingSchema, log)
