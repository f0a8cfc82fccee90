/**
 * This gateway's copy of the platform's store: configuration, databases, evacuations, and the gateways' own records.
 */
import { messageOf } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import type { StoredEntry } from '@egretyoke/fleet'
import { events } from '../events.js'
import type { Configuration, Database } from './configuration.js'
import {
  decodeGroupRecord, decodeLimitRecord, decodeMember, decodeUsageRecord, recordPrefixes, usageKey
} from './stored-records.js'
import type { GroupRecord, LimitRecord, Member, UsageRecord } from './stored-records.js'
import { epochOf } from './store-revision.js'

/** A workspace or group that the configuration names but that cannot be used, and why. */
export type LeftOutName = { kind: 'workspace' | 'group', name: string, message: string }

/** Bounds of what is logged about one configuration. */
const maxLogged = { names: 20, nameLength: 200 } as const

/** Decoded store entry of the platform, the operators or a database; undefined content is unreadable or deleted. */
export type PlatformEntry =
  | { kind: 'configuration', configuration: Configuration | undefined, leftOut?: readonly LeftOutName[] }
  /** `fault`: why an entry names no database. */
  | { kind: 'database', id: string, database: Database | undefined, fault?: string }
  | { kind: 'evacuation', dataCentre: string }

/**
 * Decodes a store entry; undefined for keys that the gateway does not use. A deleted entry has an empty value and is
 * identified by its key.
 */
export type DecodePlatformEntry = (key: string, value: Buffer) => PlatformEntry | undefined

/** A record with the store revision of its last change, and the monotonic time at which this gateway learned of it. */
export type Versioned<T> = { record: T, revision: number, knownSinceMs: number }

/** Fleet state, updated by `apply` and `replaceAll`. */
export type FleetState = {
  configuration: () => Configuration | undefined
  databases: () => ReadonlyMap<string, Database>
  databasesOf: (group: string) => Database[]
  /** Data centres that are out of service, with the monotonic time at which this gateway learned of it. */
  evacuated: () => ReadonlyMap<string, number>
  /** Monotonic time at which this gateway learned that the database is draining; undefined when it is not. */
  drainingSinceMs: (database: string) => number | undefined
  members: () => ReadonlyMap<string, Member>
  /** Increases with each change of the members. */
  membersVersion: () => number
  group: (name: string) => Versioned<GroupRecord> | undefined
  limitRecord: (shard: number) => LimitRecord | undefined
  usageRecord: () => Versioned<UsageRecord> | undefined
  apply: (entry: StoredEntry) => void
  /** Epoch of the store of which this gateway has applied an entry. */
  epoch: () => number
  /** Time since this gateway learned of the epoch; Infinity in the epoch of a store that names none. */
  epochAgeMs: () => number
  /** Revision of the last change of a key that was applied; 0 if there is none or the key was deleted. */
  revisionOf: (key: string) => number
  /** Applies a complete listing; entries that it lacks are removed, unless they are newer than `revision`. */
  replaceAll: (entries: readonly StoredEntry[], revision?: number) => void
  /** Adds a listener that is called with the name of each group whose primary has changed. */
  onPrimaryChange: (listener: (group: string) => void) => void
}

/** Creates an empty fleet state. */
export const createFleetState = (decodePlatformEntry: DecodePlatformEntry, log: Logger): FleetState => {
  let configuration: Configuration | undefined
  const revisions = new Map<string, number>()
  const databases = new Map<string, Database>()
  const evacuated = new Map<string, number>()
  const drainingSinceMs = new Map<string, number>()
  const members = new Map<string, Member>()
  let membersVersion = 0
  const groups = new Map<string, Versioned<GroupRecord>>()
  const limits = new Map<string, LimitRecord>()
  let usageRecord: Versioned<UsageRecord> | undefined
  const listeners: Array<(group: string) => void> = []
  let epoch = 0
  let epochSinceMs = -Infinity

  const recordEpoch = (revision: number) => {
    if (epochOf(revision) <= epoch) return
    epoch = epochOf(revision)
    epochSinceMs = performance.now()
  }

  const applyGatewayRecord = ({ key, value, deleted, revision }: StoredEntry): boolean => {
    const put = <K, T>(map: Map<K, T>, id: K, record: T | undefined) => {
      if (record === undefined) map.delete(id)
      else map.set(id, record)
      return true
    }
    const logUnreadable = (message: string) => {
      log(events.recordUnreadable, { key, revision, message })
      return undefined
    }
    if (key.startsWith(recordPrefixes.vms)) {
      const member = deleted
        ? undefined
        : decodeMember(value).mapErr(
          error => logUnreadable(error.message)
        ).unwrapOr(undefined)
      membersVersion++
      return put(members, key.slice(recordPrefixes.vms.length), member)
    }
    if (key.startsWith(recordPrefixes.groups)) {
      const record = deleted
        ? undefined
        : decodeGroupRecord(value).mapErr(e => logUnreadable(e.message)).unwrapOr(undefined)
      const name = key.slice(recordPrefixes.groups.length)
      const hasPrimaryChanged = groups.get(name)?.record.primary !== record?.primary
      put(groups, name, record && { record, revision, knownSinceMs: performance.now() })
      if (hasPrimaryChanged) for (const listener of listeners) listener(name)
      return true
    }
    if (key.startsWith(recordPrefixes.limits)) {
      const record = deleted
        ? undefined
        : decodeLimitRecord(value).mapErr(e => logUnreadable(e.message)).unwrapOr(undefined)
      return put(limits, key.slice(recordPrefixes.limits.length), record)
    }
    if (key === usageKey) {
      const record = deleted
        ? undefined
        : decodeUsageRecord(value).mapErr(e => logUnreadable(e.message)).unwrapOr(undefined)
      usageRecord = record && { record, revision, knownSinceMs: performance.now() }
      return true
    }
    return false
  }

  /** An entry that cannot be decoded must not keep the others from being applied. */
  const decodeSafely = ({ key, value, revision }: StoredEntry): PlatformEntry | undefined => {
    try {
      return decodePlatformEntry(key, value)
    } catch (thrown) {
      log(events.recordUnreadable, { key, revision, message: messageOf(thrown) })
      return undefined
    }
  }

  const applyPlatformEntry = (entry: StoredEntry) => {
    const { key, deleted, revision } = entry
    const decoded = decodeSafely(entry)
    if (decoded === undefined) return
    if (decoded.kind === 'evacuation') {
      if (deleted) evacuated.delete(decoded.dataCentre)
      else evacuated.set(decoded.dataCentre, performance.now())
      return log(events.evacuationKnown, { dataCentre: decoded.dataCentre, evacuated: !deleted, revision })
    }
    if (decoded.kind === 'database') {
      const { id, database, fault } = decoded
      if (fault !== undefined) log(events.databaseEntryLeftOut, { database: id, revision, message: fault })
      if (deleted || database === undefined) databases.delete(id)
      else databases.set(id, database)
      if (database?.draining !== true) drainingSinceMs.delete(id)
      else if (!drainingSinceMs.has(id)) drainingSinceMs.set(id, performance.now())
      return log(events.databaseKnown, {
        database: id,
        group: database?.group,
        gone: deleted,
        revision,
        role: database?.role,
        draining: database?.draining,
        address: database?.address
      })
    }
    if (deleted || decoded.configuration === undefined) {
      return log(
        events.configurationUnreadable, { key, revision, deleted }
      )
    }
    if (configuration !== undefined && decoded.configuration.version < configuration.version) return
    configuration = decoded.configuration
    for (const { kind, name, message } of decoded.leftOut?.slice(0, maxLogged.names) ?? []) {
      log(events.configurationNameLeftOut, { kind, leftOut: name.slice(0, maxLogged.nameLength), revision, message })
    }
    log(events.configurationInForce, { version: configuration.version, revision, routes: configuration.routes.size })
  }

  const apply = (entry: StoredEntry) => {
    recordEpoch(entry.revision)
    if ((revisions.get(entry.key) ?? 0) >= entry.revision) return
    if (entry.deleted) revisions.delete(entry.key)
    else revisions.set(entry.key, entry.revision)
    if (!applyGatewayRecord(entry)) applyPlatformEntry(entry)
  }

  const replaceAll = (entries: readonly StoredEntry[], listedRevision = Infinity) => {
    const listed = new Set(entries.map(({ key }) => key))
    for (const [key, revision] of revisions) {
      if (listed.has(key) || revision > listedRevision) continue
      apply({ key, value: Buffer.alloc(0), revision: revision + 1, deleted: true })
    }
    for (const entry of entries) apply(entry)
  }

  return {
    configuration: () => configuration,
    databases: () => databases,
    databasesOf: group => [...databases.values()].filter(database => database.group === group),
    evacuated: () => evacuated,
    drainingSinceMs: database => drainingSinceMs.get(database),
    members: () => members,
    membersVersion: () => membersVersion,
    group: name => groups.get(name),
    limitRecord: shard => limits.get(String(shard)),
    usageRecord: () => usageRecord,
    epoch: () => epoch,
    epochAgeMs: () => performance.now() - epochSinceMs,
    revisionOf: key => revisions.get(key) ?? 0,
    apply,
    replaceAll,
    onPrimaryChange: listener => { listeners.push(listener) }
  }
}
