/**
 * Admission to the queue of a database: estimates how long a new statement would wait.
 *
 * Load pattern: a full database, as after a power failure of many gateways, with a slow database, or while one
 * workspace sends many times its usual. A statement that would not be sent to the database in time is refused at once,
 * so that its caller can come back earlier; the others may wait for most of their timeout, because a refusal only
 * brings them back as new work.
 */

/** Weight of the latest statement in the smoothed service time. */
const smoothing = 0.1
/** Service time that is assumed until statements have been measured, in milliseconds. */
const initialServiceMs = 20

/** Statements that are served before a new one. */
export type Backlog = {
  /** Queued statements that are ahead of the new one. */
  ahead: number
  /** Statements that run now. */
  inFlight: number
  slots: number
}

/** Estimates waiting times of one database. */
export type QueueAdmission = {
  /** Records how long a statement occupied a slot. */
  recordService: (serviceMs: number) => void
  /** Smoothed time that a statement occupies a slot. */
  serviceMs: () => number
  /** Expected time in milliseconds until a new statement gets a slot. */
  expectedWaitMs: (backlog: Backlog) => number
}

/** Creates the estimate of one database. */
export const createQueueAdmission = (): QueueAdmission => {
  let serviceMs = initialServiceMs
  return {
    recordService: measuredMs => { serviceMs += (measuredMs - serviceMs) * smoothing },
    serviceMs: () => serviceMs,
    expectedWaitMs: ({ ahead, inFlight, slots }) =>
      inFlight < slots ? 0 : (ahead + 0.5) * serviceMs / Math.max(1, slots)
  }
}
