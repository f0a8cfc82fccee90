/**
 * Checks each session's reads against the outcomes of its own writes. Each session increments a counter of its own by
 * one, so that a read must return at least the number of confirmed writes and at most the number that may have run.
 */

/** Lower and upper bound of a session's counter. */
export type SessionBounds = {
  /** Number of confirmed writes. */
  confirmed: number
  /** Number of writes that may have run: the confirmed ones and those with an unknown outcome. */
  possible: number
}

/** A read whose value is outside the session's bounds. */
export type SessionViolation = { session: string, read: number, bounds: SessionBounds, endpoint: string }

/** Creates a checker that collects the violations of many sessions and counts their reads. */
export const createSessionChecker = () => {
  const violations: SessionViolation[] = []
  let reads = 0
  let replicaReads = 0

  const checkRead = (session: string, bounds: SessionBounds, read: { result: string, endpoint: string }) => {
    reads++
    const value = Number(read.result)
    if (value >= bounds.confirmed && value <= bounds.possible) return
    violations.push({ session, read: value, bounds: { ...bounds }, endpoint: read.endpoint })
  }

  return {
    checkRead,
    recordReplicaRead: () => { replicaReads++ },
    violations: () => violations,
    reads: () => reads,
    replicaReads: () => replicaReads
  }
}
