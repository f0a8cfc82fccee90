/**
 * Regression seeds: seeds whose runs failed in the past, each with the cause.
 */

/** A seed and the reason for its failure. */
export type FailedSeed = { seed: number, cause: string }

export const failedSeeds: readonly FailedSeed[] = [
  { seed: 101, cause: 'SIGHUP ended a process that had only begun to start' },
  { seed: 104, cause: 'SIGHUP ended a process that had only begun to start' },
  { seed: 201, cause: 'a transaction\'s first statement ran again after the primary\'s record had changed' }
]
