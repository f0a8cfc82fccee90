/**
 * What the databases of a group say of its primary.
 *
 * A promotion begins a new term, and databases never go back to an earlier one, whereas the stored group record may be
 * older than the last promotion: the gateway that changed the primary ended before it stored the result, or the store
 * lost the change. Of several databases in the primary role, the one of the highest term is therefore the primary.
 */
import type { Database } from '../../state/configuration.js'
import type { GroupRecord } from '../../state/stored-records.js'
import type { DatabaseStatus } from '../connections/database-connection.js'

/** A database of the group, and its status. */
export type Candidate = { database: Database, status: DatabaseStatus }

/** What a reply of a database tells of its group; the role is absent in replies that do not show it. */
export type PrimaryEvidence = { role?: DatabaseStatus['role'], term: number }

/** Highest term that is known from the replies and the record. */
export const newestTermOf = (candidates: readonly Candidate[], recordedTerm = 0): number =>
  Math.max(recordedTerm, ...candidates.map(({ status }) => status.term))

/** The database in the primary role with the highest term, if that term is not below `firstTerm`. */
export const newestPrimary = (candidates: readonly Candidate[], firstTerm = 0): Candidate | undefined => candidates
  .filter(({ status }) => status.role === 'primary' && status.term >= firstTerm)
  .sort((one, other) => other.status.term - one.status.term)[0]

/** True if a reply shows that another database is the primary now, or that the recorded one is a replica. */
export const contradictsRecord = (
  { primary, term }: Pick<GroupRecord, 'primary' | 'term'>, database: string, evidence: PrimaryEvidence
): boolean => evidence.term > term || (database === primary && evidence.role === 'replica')
