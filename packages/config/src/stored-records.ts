/**
 * Keys and records that the system stores in the platform's key-value service. Values are JSON.
 */
import { Err, Ok, readJsonWithComments } from '@egretyoke/common'
import type { Finding, Result } from '@egretyoke/common'
import { z } from 'zod'
import { documentNames } from './documents.js'

/** Prefix of all keys of the system. */
export const keyPrefix = 'egretyoke/'

/** Keys and key prefixes in the key-value service. */
export const storeKeys = {
  head: `${keyPrefix}state/config-head`,
  document: (hash: string) => `${keyPrefix}documents/${hash}`,
  group: (group: string) => `${keyPrefix}state/groups/${group}`,
  groupPrefix: `${keyPrefix}state/groups/`,
  roster: `${keyPrefix}state/roster`,
  leaving: `${keyPrefix}state/leaving`,
  /** Below the watched prefix, so that stewards see the lease holder without querying the platform. */
  stewardLease: (group: string) => `${keyPrefix}state/leases/${group}`,
  /** Prefix of the small records that every VM watches. Documents are stored outside it. */
  watchedPrefix: `${keyPrefix}state/`
} as const

const version = z.number().int().min(0)
const hash = z.string().regex(/^[0-9a-f]{64}$/)

const changeId = z.string().min(1).max(100)

/** Maximum number of accepted changes recorded in the head. */
export const maxRecentChanges = 64

/** Maximum number of superseded documents recorded in the head until they are deleted. */
export const maxSupersededDocuments = 64

/** The active configuration. One compare-and-swap of this record accepts a change. */
export const configHeadSchema = z.strictObject({
  version,
  /** Hash of each document's text. */
  documents: z.record(z.enum(documentNames as [string, ...string[]]), hash),
  /** Id chosen by the sender of the change, who can look up the outcome in the head by it when the reply was lost. */
  changeId,
  /** The newest accepted changes, oldest first, including this one, so that a later change does not hide them. */
  recentChanges: z.array(z.strictObject({ changeId, version })).max(maxRecentChanges).default([]),
  /** Documents that are no longer active and not yet deleted, with the version that replaced them. */
  superseded: z.array(z.strictObject({ hash, version })).max(maxSupersededDocuments).default([])
})

/** Start of a term. `startPosition` is the position of the last entry of earlier terms that stays in the log. */
export const termStartSchema = z.strictObject({ term: version, startPosition: version })

/** Primary of a group in a term. In phase `fencing`, no write of the earlier term may be confirmed. */
export const groupRecordSchema = z.strictObject({
  term: z.number().int().min(1),
  primary: z.string(),
  phase: z.enum(['active', 'fencing']),
  /** Starts of the newest terms, oldest first, at most `maxLineageLength`. */
  lineage: z.array(termStartSchema).max(64)
})

/** Maximum length of the lineage in a group's record. */
export const maxLineageLength = 64

/** An entry VM of the roster. `address` is the address for its peers. */
export const rosterMemberSchema = z.strictObject({
  name: z.string().min(1),
  address: z.string().min(1),
  dataCentre: z.string().min(1),
  /** A suspended VM counts towards majorities but has no share of the limits. */
  suspended: z.boolean().default(false)
})

/**
 * The entry VMs that count towards majorities and share the limits. A membership change affects one VM and increments
 * the version. Suspensions keep the version, because they do not affect majorities.
 */
export const rosterSchema = z.strictObject({
  version: z.number().int().min(1),
  members: z.array(rosterMemberSchema).max(10_000)
})

/** VMs that the platform lists as leaving, copied into the store so that only one VM polls the list. */
export const leavingSchema = z.strictObject({
  endpoints: z.array(z.string().min(1)).max(10_000),
  vms: z.array(z.string().min(1)).max(10_000)
})

export type Leaving = z.infer<typeof leavingSchema>
export type ConfigHead = z.infer<typeof configHeadSchema>
export type TermStart = z.infer<typeof termStartSchema>
export type GroupRecord = z.infer<typeof groupRecordSchema>
/** Roster to be written: fields that have a default are optional. */
export type Roster = z.input<typeof rosterSchema>
export type RosterMember = z.input<typeof rosterMemberSchema>

/** Returns the names of the VMs that have a share of the limits. */
export const unsuspendedNames = (roster: Roster | undefined): string[] =>
  (roster?.members ?? []).filter(member => !member.suspended).map(member => member.name)

/** Encodes a record as the bytes to store. */
export const encodeRecord = (record: unknown): Buffer => Buffer.from(JSON.stringify(record))

/** Decodes stored bytes and validates them against a schema. */
export const decodeRecord = <T>(key: string, value: Uint8Array, schema: z.ZodType<T>): Result<T, Finding[]> => {
  const decoded = readJsonWithComments(Buffer.from(value).toString('utf8'), key, schema)
  return decoded.ok ? Ok(decoded.val) : Err(decoded.val)
}
