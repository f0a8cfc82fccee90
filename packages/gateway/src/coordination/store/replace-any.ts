/**
 * Writes a record whatever the store holds under its key, without reading it first: at a start most keys are free, and
 * a refused write returns the stored record.
 */
import type { StoredEntry, Swap } from '@egretyoke/fleet'
import type { SharedStore } from './shared-store.js'

/** A record to be stored, bound to a lease. */
type Replacement = Pick<Swap, 'key' | 'value' | 'leaseId'>

/**
 * Stores the record if the key is at `expectedRevision`, or else in place of the stored one if `mayReplace` permits it.
 * Not swapped: `mayReplace` did not permit it, or another process changed the record meanwhile. Fails like the store.
 */
export const replaceAny = async (
  store: Pick<SharedStore, 'compareAndSwap'>,
  record: Replacement,
  expectedRevision: number,
  timeoutMs: number,
  mayReplace: (stored: StoredEntry) => boolean = () => true
): ReturnType<SharedStore['compareAndSwap']> => {
  const first = await store.compareAndSwap({ ...record, expectedRevision }, timeoutMs)
  if (first.err || first.val.swapped) return first
  const { current } = first.val
  if (current !== undefined && !mayReplace(current)) return first
  return await store.compareAndSwap({ ...record, expectedRevision: current?.revision ?? 0 }, timeoutMs)
}
