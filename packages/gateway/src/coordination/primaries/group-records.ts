/**
 * Compare-and-swap updates of the group records, and the check whether this gateway is currently permitted to use a
 * group's primary.
 *
 * A gateway adds itself to a record's users before it uses the primary. A primary change therefore waits only for the
 * listed users, however large the fleet is: until each has confirmed that it stopped, or its contact has expired.
 *
 * A record is evidence of the past: the databases may show that it is not right any more, and a store that was restored
 * from a copy may have lost a later one. No primary is used by a record that a database's reply contradicts, or that
 * has not been confirmed since the store was restored.
 */
import type { Logger } from '@egretyoke/common'
import { events } from '../../events.js'
import type { Database } from '../../state/configuration.js'
import type { Contact } from '../../state/contact.js'
import type { FleetState, Versioned } from '../../state/fleet-state.js'
import { encodeRecord, recordPrefixes, splitProcessName } from '../../state/stored-records.js'
import type { GroupRecord } from '../../state/stored-records.js'
import { epochOf } from '../../state/store-revision.js'
import type { MovedReason } from '../sessions/statement.js'
import type { SharedStore } from '../store/shared-store.js'
import { contradictsRecord } from './primary-evidence.js'
import type { PrimaryEvidence } from './primary-evidence.js'

/** A gateway stops using primaries when its fleet state was last confirmed longer ago than this. */
export const maxPrimaryContactAgeMs = 2500
const storeTimeoutMs = 900

/** Access to the group records. */
export type GroupRecords = {
  /** True while this gateway has contact with the store and its lease, without which it uses no primary. */
  hasContact: () => boolean
  /** True while the database is the current primary and this gateway is one of its users. */
  canUse: (group: string, database: string) => boolean
  /** Adds this gateway to the primary's users; false if the database is not the primary or the store call fails. */
  becomeUser: (group: string, database: string) => Promise<boolean>
  /** Why this gateway may not use the primary, after `canUse` or `becomeUser` has returned false. */
  whyNoUse: (group: string, database: string) => MovedReason
  /** Stops the use of the group's primary by this gateway until a record newer than the revision is known. */
  stopUse: (group: string, revision: number) => void
  /**
   * Takes note of a reply of a database to a request that was sent at `sentAtMs`. If it contradicts the record, this
   * gateway stops using the primary until another one is recorded.
   */
  observe: (database: Pick<Database, 'id' | 'group'>, evidence: PrimaryEvidence, sentAtMs: number) => void
  /** True if a reply of a database has contradicted the current record. */
  isContradicted: (group: string) => boolean
  /** Stores a record if the stored one is still at the revision; returns the new version, or undefined on failure. */
  store: (group: string, record: GroupRecord, expectedRevision: number) => Promise<Versioned<GroupRecord> | undefined>
}

/** Dependencies of the group records. */
export type GroupRecordsOptions = {
  /** NAME/INCARNATION of this process. */
  self: string
  fleetState: FleetState
  contact: Contact
  isLeaseHeld: () => boolean
  store: SharedStore
  log: Logger
}

/** A record that a reply has contradicted. */
type Contradiction = Pick<GroupRecord, 'primary' | 'term'> & {
  revision: number
  /** True if the reply named a later term: the record then stays wrong, whatever else of it is changed. */
  isLaterTerm: boolean
}

/**
 * Users that may still be using the primary. A process has ended if its VM runs a newer process. A process whose
 * membership record was removed has stopped by itself, because it does not use primaries without a lease.
 */
export const activeUsers = (users: readonly string[], fleetState: FleetState): string[] => users.filter(user => {
  const { name, incarnation } = splitProcessName(user)
  return fleetState.members().get(name)?.incarnation === incarnation
})

/**
 * False if the store was restored since the record was compared with what the databases say. While the fleet has
 * gateways of an earlier version, which drop the epoch when they change a record, one without it counts.
 */
export const isConfirmed = (
  { record, revision }: Versioned<GroupRecord>, { members }: Pick<FleetState, 'members'>
): boolean => {
  if ((record.epoch ?? 0) === epochOf(revision)) return true
  return record.epoch === undefined && [...members().values()].some(({ storesEpochs }) => storesEpochs !== true)
}

/** Creates the access to the group records for one process. */
export const createGroupRecords = (
  { self, fleetState, contact, isLeaseHeld, store, log }: GroupRecordsOptions
): GroupRecords => {
  const pendingJoins = new Map<string, Promise<boolean>>()
  const stoppedRevisions = new Map<string, number>()
  const contradictions = new Map<string, Contradiction>()
  /** Groups whose last change of the record by this gateway failed because the store did not answer or refused. */
  const unstoredGroups = new Set<string>()

  const isContradicted = (group: string): boolean => {
    const versioned = fleetState.group(group)
    const contradiction = contradictions.get(group)
    if (versioned === undefined || contradiction === undefined) return false
    const { record, revision } = versioned
    if (record.primary !== contradiction.primary || record.term !== contradiction.term) return false
    return contradiction.isLaterTerm || revision <= contradiction.revision
  }

  const isActivePrimary = (group: string, database: string) => {
    const versioned = fleetState.group(group)
    if (versioned?.record.phase !== 'serving' || versioned.record.primary !== database) return false
    const isStopped = versioned.revision <= (stoppedRevisions.get(group) ?? 0)
    return !isStopped && isConfirmed(versioned, fleetState) && !isContradicted(group)
  }

  const observe: GroupRecords['observe'] = ({ id, group }, evidence, sentAtMs) => {
    const versioned = fleetState.group(group)
    // A reply to an earlier request may describe the time before the record.
    if (versioned === undefined || sentAtMs < versioned.knownSinceMs) return
    const { record, revision } = versioned
    if (record.phase !== 'serving' || !contradictsRecord(record, id, evidence) || isContradicted(group)) return
    const { primary, term } = record
    contradictions.set(group, { primary, term, revision, isLaterTerm: evidence.term > term })
    log(events.primaryContradicted, {
      group, primary, term, revision, database: id, role: evidence.role, shownTerm: evidence.term
    })
  }

  const hasContact = () => contact.ageMs() < maxPrimaryContactAgeMs && isLeaseHeld()

  const canUse = (group: string, database: string) => hasContact() && isActivePrimary(group, database) &&
    fleetState.group(group)?.record.users.includes(self) === true

  const storeRecord = async (group: string, record: GroupRecord, expectedRevision: number) => {
    const key = recordPrefixes.groups + group
    const value = encodeRecord(record)
    const swap = await store.compareAndSwap({ key, expectedRevision, value }, storeTimeoutMs)
    if (swap.err) {
      unstoredGroups.add(group)
      return undefined
    }
    unstoredGroups.delete(group)
    const { current, swapped } = swap.val
    if (current !== undefined) fleetState.apply(current)
    if (!swapped || current === undefined) return undefined
    const copies = record.copies.map(({ id }) => id)
    log(events.groupRecordStored, { group, revision: current.revision, ...record, copies })
    return { record, revision: current.revision, knownSinceMs: performance.now() }
  }

  const addSelf = async (group: string, database: string): Promise<boolean> => {
    const versioned = fleetState.group(group)
    if (versioned === undefined || !isActivePrimary(group, database)) return false
    const { record, revision } = versioned
    const users = [...activeUsers(record.users, fleetState), self]
    return await storeRecord(group, { ...record, users }, revision) !== undefined
  }

  const becomeUser = async (group: string, database: string): Promise<boolean> => {
    if (canUse(group, database)) return true
    if (!hasContact() || !isActivePrimary(group, database)) return false
    const pending = pendingJoins.get(group) ?? addSelf(group, database).finally(() => pendingJoins.delete(group))
    pendingJoins.set(group, pending)
    await pending
    return canUse(group, database)
  }

  const whyNoUse = (group: string, database: string): MovedReason => {
    if (!hasContact()) return 'noContact'
    if (!isActivePrimary(group, database)) return 'notPrimary'
    return unstoredGroups.has(group) ? 'noContact' : 'moved'
  }

  const stopUse = (group: string, revision: number) => {
    stoppedRevisions.set(group, Math.max(revision, stoppedRevisions.get(group) ?? 0))
  }

  return { hasContact, canUse, becomeUser, whyNoUse, stopUse, observe, isContradicted, store: storeRecord }
}
