/**
 * Revisions of the platform's store over its whole life.
 *
 * A store that is restored from a copy continues from the copy's revision: what was written since is gone, and the
 * revisions of that time are given out again for other changes. It reports the restore as a higher epoch. A revision in
 * the gateway is one number made of both, so that any revision of a later epoch is greater than all earlier ones:
 * comparisons, fencing tokens and positions in the history of changes hold through a restore. Epoch 0 is that of a
 * store that reports none.
 */

/** Revisions of one epoch are below this: enough for 30 years of 1,000 changes a second, and for 8,000 restores. */
const revisionsPerEpoch = 2 ** 40

/** Highest epoch whose revisions are exact numbers. */
export const maxEpoch = Math.floor(Number.MAX_SAFE_INTEGER / revisionsPerEpoch) - 1

/** A revision that the store gives to no change; a write on the condition of it is always refused. */
export const unusedRevision = revisionsPerEpoch

/** True if the store's number can be combined with an epoch. */
export const isRevisionWithinEpoch = (revision: number): boolean =>
  Number.isSafeInteger(revision) && revision >= 0 && revision < revisionsPerEpoch

/** Combines an epoch and a number that the store has given out in it. */
export const combineRevision = (epoch: number, withinEpoch: number): number => epoch * revisionsPerEpoch + withinEpoch

/** Epoch of a combined revision. */
export const epochOf = (revision: number): number => Math.floor(revision / revisionsPerEpoch)

/** The store's own number of a combined revision. */
export const withinEpoch = (revision: number): number => revision % revisionsPerEpoch
