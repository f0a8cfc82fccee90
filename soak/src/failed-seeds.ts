/**
 * Seeds that once failed, each with its cause, to be run again.
 */

/** A seed, and why it failed. */
export type FailedSeed = { seed: number, cause: string }

/** All of them. */
export const failedSeeds: readonly FailedSeed[] = [
  { seed: 101, cause: 'SIGHUP ended a process that had only begun to start' },
  { seed: 104, cause: 'SIGHUP ended a process that had only begun to start' },
  { seed: 201, cause: 'a transaction\'s first statement ran again after the primary\'s record had changed' }
]
