/**
 * Limits under which a gateway admits operations of a workspace while no token allocator answers.
 *
 * Load pattern: an outage of the store, or the end of an allocator, under the workspaces' usual load. A gateway's share
 * of a rate is small, and its arrivals are irregular: without a burst it would refuse many operations although its
 * average stays below its share.
 */
import type { BucketLimits } from '../../state/token-bucket.js'

/**
 * Operations of all gateways together that may exceed the rate while no allocator answers; below the excess that the
 * limits tolerate in a window, because the allocator may have granted the workspace's whole burst just before.
 */
const fleetBurst = { fixed: 12, secondsOfRate: 0.2 } as const

/** Rate and burst of one gateway, and the tokens that it has at the start; less than one in a large fleet. */
export type FallbackLimits = BucketLimits & { initialTokens: number }

/** Limits of one gateway with the given share of the rate, in a fleet of `members`. */
export const fallbackLimits = (sharePerSec: number, ratePerSec: number, members: number): FallbackLimits => {
  const allBurst = fleetBurst.fixed + fleetBurst.secondsOfRate * ratePerSec
  const initialTokens = allBurst / Math.max(1, members)
  return { ratePerSec: sharePerSec, burst: Math.max(1, initialTokens), initialTokens }
}
