/**
 * Changes of the group records, each under the condition that nobody changed the record meanwhile, and the question
 * whether this gateway may use a primary at this moment.
 *
 * A gateway that is not among a record's users adds itself first. Whoever changes the primary therefore has to wait for
 * the users alone, however large the fleet is: each of them says that it has stopped, or its contact has run out.
 */
import type { Logger } from '@egretyoke/common'
import { events } from '../events.js'
import type { Contact } from '../state/contact.js'
import type { FleetView, Versioned } from '../state/fleet-view.js'
import { recordKeys, writeRecord } from '../state/stored-records.js'
import type { GroupRecord } from '../state/stored-records.js'
import type { SharedStore } from './shared-store.js'

/** A gateway whose view was not confirmed for longer does not use primaries. */
export const primaryContactMs = 2500
const storeTimeoutMs = 900

/** Group records. */
export type GroupRecords = {
  /** True while the database is the primary in force and this gateway is one of its users. */
  mayUse: (group: string, database: string) => boolean
  /** Makes this gateway a user of the primary in force; false when the database is not, or the store says no. */
  become: (group: string, database: string) => Promise<boolean>
  /** Ends the use of the group's primary here until a record later than the revision is known. */
  stop: (group: string, revision: number) => void
  /** Stores a record if the stored one is still at the revision; the revision of the new one, or undefined. */
  store: (group: string, record: GroupRecord, expectedRevision: number) => Promise<Versioned<GroupRecord> | undefined>
}

/** What the records are made with. */
export type GroupRecordsOptions = {
  /** NAME/INCARNATION of this process. */
  self: string
  view: FleetView
  contact: Contact
  isLeaseHeld: () => boolean
  store: SharedStore
  log: Logger
}

/**
 * Users that may still use the primary. A process whose VM has a newer one has ended, and one whose record is gone has
 * stopped on its own: it does not use primaries without a lease.
 */
export const livingUsers = (users: readonly string[], view: FleetView): string[] => users.filter(user => {
  const [name = '', incarnation] = user.split('/')
  return view.members().get(name)?.incarnation === incarnation
})

/** Creates the access to the records for one process. */
export const createGroupRecords = (
  { self, view, contact, isLeaseHeld, store, log }: GroupRecordsOptions
): GroupRecords => {
  const joining = new Map<string, Promise<boolean>>()
  const stoppedAt = new Map<string, number>()

  const isInForce = (group: string, database: string) => {
    const versioned = view.group(group)
    return versioned?.record.phase === 'serving' && versioned.record.primary === database &&
      versioned.revision > (stoppedAt.get(group) ?? 0)
  }

  const isCurrent = () => contact.ageMs() < primaryContactMs && isLeaseHeld()

  const mayUse = (group: string, database: string) => isCurrent() && isInForce(group, database) &&
    view.group(group)?.record.users.includes(self) === true

  const storeRecord = async (group: string, record: GroupRecord, expectedRevision: number) => {
    const key = recordKeys.groups + group
    const value = writeRecord(record)
    const swap = await store.compareAndSwap({ key, expectedRevision, value }, storeTimeoutMs)
    if (swap.err) return undefined
    const { current, swapped } = swap.val
    if (current !== undefined) view.apply(current)
    if (!swapped || current === undefined) return undefined
    log(events.groupRecordStored, { group, revision: current.revision, ...record })
    return { record, revision: current.revision }
  }

  const join = async (group: string, database: string): Promise<boolean> => {
    const versioned = view.group(group)
    if (versioned === undefined || !isInForce(group, database)) return false
    const { record, revision } = versioned
    const users = [...livingUsers(record.users, view), self]
    return await storeRecord(group, { ...record, users }, revision) !== undefined
  }

  const become = async (group: string, database: string): Promise<boolean> => {
    if (mayUse(group, database)) return true
    if (!isCurrent() || !isInForce(group, database)) return false
    const pending = joining.get(group) ?? join(group, database).finally(() => joining.delete(group))
    joining.set(group, pending)
    await pending
    return mayUse(group, database)
  }

  const stop = (group: string, revision: number) => {
    stoppedAt.set(group, Math.max(revision, stoppedAt.get(group) ?? 0))
  }

  return { mayUse, become, stop, store: storeRecord }
}
