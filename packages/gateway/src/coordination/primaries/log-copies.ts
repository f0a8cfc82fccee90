/**
 * The databases that may hold confirmed commits of a group. The store removes the entry of a database that is silent,
 * but not its log, so the group record keeps them: a change of the primary must count those that do not answer.
 */
import type { Database } from '../../state/configuration.js'
import type { GroupRecord, LogCopy } from '../../state/stored-records.js'
import type { DatabaseStatus } from '../connections/database-connection.js'
import type { LogReplies } from './commit-proof.js'

/** A copy of the log whose database answered. */
export type CopyStatus = { copy: LogCopy, status: DatabaseStatus }

/**
 * Recorded and known copies together. A database at a recorded address replaces the recorded one there, because the log
 * of a database that is shut down moves to the next one at its address.
 */
export const mergeCopies = (recorded: readonly LogCopy[], known: readonly Database[]): LogCopy[] => {
  const byAddress = new Map(recorded.map(copy => [copy.address, copy]))
  for (const { id, address } of known) byAddress.set(address, { id, address })
  return [...byAddress.values()]
}

/** True if both lists name the same databases at the same addresses. */
export const areSameCopies = (one: readonly LogCopy[], other: readonly LogCopy[]): boolean =>
  one.length === other.length &&
  one.every(({ id, address }) => other.some(copy => copy.id === id && copy.address === address))

/** Recorded copies whose databases have no entry. */
export const copiesWithoutEntry = (recorded: readonly LogCopy[], known: readonly Database[]): LogCopy[] =>
  recorded.filter(({ address }) => !known.some(database => database.address === address))

/** Sorts the answers of a group's databases into those of the recorded primary and those of its replicas. */
export const logRepliesOf = (
  record: GroupRecord, known: readonly Database[], statuses: readonly CopyStatus[], syncReplicas: number
): LogReplies => {
  const copies = mergeCopies(record.copies, known)
  const primaryAddress = [...copies, ...record.copies].find(({ id }) => id === record.primary)?.address
  const isPrimaryCopy = ({ id, address }: LogCopy) => id === record.primary || address === primaryAddress
  const primary = statuses.find(({ copy, status }) =>
    isPrimaryCopy(copy) && status.role === 'primary' && status.term === record.term)
  return {
    replicaCount: copies.filter(copy => !isPrimaryCopy(copy)).length,
    syncReplicas,
    replicaPositions: statuses.filter(({ copy }) => !isPrimaryCopy(copy)).map(({ status }) => status.receivedPosition),
    primaryPosition: primary?.status.receivedPosition
  }
}
