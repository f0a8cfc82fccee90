/**
 * Seeds that once failed, each with its cause, to be run again.
 */

/** A seed, and why it failed. */
export type FailedSeed = { seed: number, cause: string }

/** All of them. */
export const failedSeeds: readonly FailedSeed[] = []
