/**
 * The platform's store as one that may be restored from an earlier copy at any time.
 *
 * After a restore, the store gives out revisions and ids of leases again that it had given out before, for other
 * changes and other processes. Here revisions are combined with the epoch of the answer, and leases have ids of this
 * process, so that the old ones are never mistaken for new ones: a write on the condition of an earlier epoch's
 * revision is refused, a lease of an earlier epoch has ended, and the history after its revisions is gone.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import type { Result, TypedError } from '@egretyoke/common'
import type { StoredEntry } from '@egretyoke/fleet'
import { combineRevision, epochOf, unusedRevision, withinEpoch } from '../../state/store-revision.js'
import type { EpochAnswer, PlatformStore, SharedStore } from './shared-store.js'

/** An answer whose epoch is known. */
type DatedAnswer<T> = { value: T, epoch: number }

const noAnswer = (message: string) => Err(typedError('noAnswer' as const, message))

/** A lease with the store's id. */
type Lease = { storeId: number, epoch: number }

/** Leases that are kept. A process uses one; those that it could not bind its record to end by themselves. */
const maxLeases = 64

/** Wraps the adapter's store. */
export const createRestorableStore = (store: PlatformStore): SharedStore => {
  let newestEpoch = 0
  let lastLeaseId = 0
  const leases = new Map<number, Lease>()

  /** An answer that was given before the newest known restore is none: what it says may be gone. */
  const dated = async <T, R extends string>(
    call: Promise<Result<EpochAnswer<T>, TypedError<R>>>
  ): Promise<Result<DatedAnswer<T>, TypedError<R | 'noAnswer'>>> => {
    const answer = await call
    if (answer.err) return answer
    const { value, epoch = newestEpoch } = answer.val
    if (epoch < newestEpoch) return noAnswer('the answer is from before the store was restored')
    newestEpoch = epoch
    return Ok({ value, epoch })
  }

  /** True for a revision from before the newest known restore. One from a peer may be of a later epoch. */
  const isGone = (revision: number) => revision !== 0 && epochOf(revision) < newestEpoch

  /** The lease, unless it ended with an earlier epoch. */
  const leaseOf = (leaseId: number): Lease | undefined => {
    const lease = leases.get(leaseId)
    return lease?.epoch === newestEpoch ? lease : undefined
  }

  const combineEntry = (epoch: number, entry: StoredEntry): StoredEntry =>
    ({ ...entry, revision: combineRevision(epoch, entry.revision) })

  const combineListing = ({ epoch, value: { entries, revision } }: DatedAnswer<{
    entries: StoredEntry[], revision: number
  }>) => ({
    entries: entries.map(entry => combineEntry(epoch, entry)), revision: combineRevision(epoch, revision)
  })

  const changes: SharedStore['changes'] = async (prefix, after, waitMs, timeoutMs) => {
    const historyGone = Err(typedError('historyGone' as const, 'the store was restored from a copy'))
    if (isGone(after)) return historyGone
    const answer = await dated(store.changes(prefix, withinEpoch(after), waitMs, timeoutMs))
    if (answer.err) return answer
    return epochOf(after) === answer.val.epoch ? Ok(combineListing(answer.val)) : historyGone
  }

  const compareAndSwap: SharedStore['compareAndSwap'] = async (swap, timeoutMs) => {
    const { expectedRevision, leaseId = 0 } = swap
    const lease = leaseOf(leaseId)
    if (leaseId !== 0 && lease === undefined) {
      return noAnswer('the lease ended when the store was restored, the call is not made')
    }
    const answer = await dated(store.compareAndSwap({
      ...swap,
      expectedRevision: isGone(expectedRevision) ? unusedRevision : withinEpoch(expectedRevision),
      leaseId: lease?.storeId ?? 0
    }, timeoutMs))
    if (answer.err) return answer
    const { value, epoch } = answer.val
    const hasOtherBase = expectedRevision !== 0 && epochOf(expectedRevision) !== epoch
    const isBaseGone = hasOtherBase || (lease !== undefined && lease.epoch !== epoch)
    if (value.swapped && isBaseGone) return noAnswer('the store was restored before the write')
    return Ok({
      ...value,
      current: value.current && combineEntry(epoch, value.current),
      storeRevision: combineRevision(epoch, value.storeRevision)
    })
  }

  const keepAlive: SharedStore['keepAlive'] = async (leaseId, timeoutMs) => {
    const lease = leaseOf(leaseId)
    if (lease === undefined) return Ok(false)
    const answer = await dated(store.keepAlive(lease.storeId, timeoutMs))
    return answer.map(({ value, epoch }) => value && epoch === lease.epoch)
  }

  const revokeLease: SharedStore['revokeLease'] = async (leaseId, timeoutMs) => {
    const lease = leaseOf(leaseId)
    if (lease === undefined) return Ok(false)
    return (await dated(store.revokeLease(lease.storeId, timeoutMs))).map(({ value }) => value)
  }

  return {
    list: async (...args) => (await dated(store.list(...args))).map(combineListing),
    changes,
    get: async (...args) =>
      (await dated(store.get(...args))).map(({ epoch, value }) => value && combineEntry(epoch, value)),
    compareAndSwap,
    grantLease: async (...args) => (await dated(store.grantLease(...args))).map(({ epoch, value }) => {
      leases.set(++lastLeaseId, { storeId: value, epoch })
      leases.delete(lastLeaseId - maxLeases)
      return lastLeaseId
    }),
    keepAlive,
    revokeLease,
    close: store.close
  }
}
