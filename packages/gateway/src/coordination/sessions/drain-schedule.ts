/**
 * What a gateway that stops still does for its callers, by the part of its grace period that has passed.
 *
 * Load pattern: callers go on with statements on their open sessions until the process is gone, and a statement may
 * take as long as its route permits. A statement that was sent early in the grace period is answered whenever its
 * database answers, up to the last moment that leaves time to close; later ones are refused at once, because their
 * answers might not come in time.
 */

/**
 * Phase of the grace period. `announced`: new callers still arrive, because the balancer has not noticed yet.
 * `closingIdle`: sessions without a transaction end when they are idle. `finishing`: nothing new begins, transactions
 * only end, and running statements are answered. `over`: what still runs is cut off.
 */
export type DrainPhase = 'announced' | 'closingIdle' | 'finishing' | 'over'

/** The balancer may send callers to a VM for this long after the VM has ceased to be ready. */
export const balancerDetectionMs = 2200
/** Fraction of the grace period for new statements and open transactions. */
const newWorkFraction = 0.5
/** Fraction of the grace period for running statements; the rest is for closing. */
const runningWorkFraction = 0.9

/** Time after the request to stop at which running statements are cut off, in milliseconds. */
export const drainEndMs = (graceMs: number): number => graceMs * runningWorkFraction

/** Phase at a time after the request to stop. */
export const drainPhaseAt = (elapsedMs: number, graceMs: number): DrainPhase => {
  if (elapsedMs >= drainEndMs(graceMs)) return 'over'
  if (elapsedMs >= graceMs * newWorkFraction) return 'finishing'
  return elapsedMs >= balancerDetectionMs ? 'closingIdle' : 'announced'
}

/** True while new statements and transactions may begin; undefined: the gateway does not stop. */
export const startsNewWork = (phase: DrainPhase | undefined): boolean => phase !== 'finishing' && phase !== 'over'
