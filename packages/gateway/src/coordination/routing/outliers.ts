/**
 * Databases that fail reads far more often than the others of their group, and are not used for reads for some time.
 *
 * Load pattern: a database that fails, does not answer or is slow for a part of what callers send, while its health
 * check is good. Only the outcomes of callers' reads count, so a wrong health check ejects nothing; reads that fail
 * everywhere eject nothing either, because a database is compared with the others. At most a third of a group is
 * ejected, for a time that grows with repetition; a database returns after single reads have succeeded there.
 */

/** Outcomes of reads by database. Times are readings of one monotonic clock. */
export type Outliers = {
  /** True while reads go to other databases; false for a trial, which is due one at a time. */
  isEjected: (database: string, nowMs: number) => boolean
  /** Records that a read is sent; if it is a trial, no other one is due until its outcome is known. */
  start: (database: string, nowMs: number) => void
  /** Records a read of one of the group's databases; returns what has changed. */
  record: (database: string, group: readonly string[], read: ReadOutcome) => 'ejected' | 'returned' | undefined
}

/** Outcome of a read at a database. */
export type ReadOutcome = {
  /** True if the database failed it or did not answer. */
  hasFailed: boolean
  /** Time without the queue, in milliseconds. */
  serviceMs: number
  startedAtMs: number
  endedAtMs: number
}

/** Time in which the weight of an outcome falls to 37%. */
const windowMs = 5000
/** Weighted number of reads and of bad ones from which a database is judged. */
const minReads = 5
const minBadReads = 3
/** A database is an outlier if this share of its reads is bad, and no more than half that share of the others'. */
const badShare = 0.4
/** A read is slow beyond this time and this multiple of the usual time at the others. */
const slow = { minMs: 200, factor: 5 } as const
const maxEjectedShare = 1 / 3
/** Duration of an ejection; each repetition doubles it up to the maximum. */
const firstEjectionMs = 2000
const maxEjectionMs = 30_000
/** An ejection counts as a repetition if it follows the return within this time. */
const repetitionMs = 30_000
/** Time after which a trial without an outcome is given up. */
const trialTimeoutMs = 2000
/** Successive good trials after which a database returns: one that fails half of its reads seldom passes them. */
const trialsToReturn = 3
/** Durations are spread by this fraction, so that gateways do not return to a database at the same time. */
const spread = 0.25

type Counts = { good: number, bad: number, serviceMs: number, countedAtMs: number }
type Ejection = { sinceMs: number, nextTrialMs: number, goodTrials: number }
type Repetition = { ejections: number, returnedAtMs: number }

/** Creates a table without outcomes; `random` returns numbers from 0 to 1. */
export const createOutliers = (random: () => number = Math.random): Outliers => {
  const counts = new Map<string, Counts>()
  const ejected = new Map<string, Ejection>()
  const repetitions = new Map<string, Repetition>()

  const countsAt = (database: string, nowMs: number): Counts => {
    const { good, bad, serviceMs, countedAtMs } = counts.get(database) ??
      { good: 0, bad: 0, serviceMs: 0, countedAtMs: nowMs }
    const weight = Math.exp(-Math.max(0, nowMs - countedAtMs) / windowMs)
    return { good: good * weight, bad: bad * weight, serviceMs: serviceMs * weight, countedAtMs: nowMs }
  }

  const usualMs = ({ good, serviceMs }: Counts) => good < 1 ? Infinity : serviceMs / good

  const isSlow = (others: readonly Counts[], serviceMs: number) =>
    serviceMs > slow.minMs && serviceMs > slow.factor * Math.min(...others.map(usualMs))

  const add = (database: string, isBad: boolean, { serviceMs, endedAtMs }: ReadOutcome) => {
    const before = countsAt(database, endedAtMs)
    counts.set(database, isBad
      ? { ...before, bad: before.bad + 1 }
      : { ...before, good: before.good + 1, serviceMs: before.serviceMs + serviceMs })
  }

  const isOutlier = (own: Counts, others: readonly Counts[]) => {
    const total = own.good + own.bad
    const othersBad = others.reduce((sum, { bad }) => sum + bad, 0)
    const othersTotal = others.reduce((sum, { good, bad }) => sum + good + bad, 0)
    const share = own.bad / total
    return total >= minReads && own.bad >= minBadReads && share >= badShare && othersBad <= othersTotal * share / 2
  }

  const eject = (database: string, nowMs: number) => {
    const previous = repetitions.get(database)
    const isRepetition = previous !== undefined && nowMs - previous.returnedAtMs < repetitionMs
    const ejections = isRepetition ? previous.ejections + 1 : 0
    repetitions.set(database, { ejections, returnedAtMs: Infinity })
    const durationMs = Math.min(maxEjectionMs, firstEjectionMs * 2 ** ejections) * (1 + spread * (2 * random() - 1))
    ejected.set(database, { sinceMs: nowMs, nextTrialMs: nowMs + durationMs, goodTrials: 0 })
  }

  const recordTrial = (
    database: string, ejection: Ejection, isBad: boolean, { startedAtMs, endedAtMs }: ReadOutcome
  ) => {
    if (startedAtMs < ejection.sinceMs) return undefined
    if (isBad) {
      eject(database, endedAtMs)
      return undefined
    }
    ejection.nextTrialMs = endedAtMs
    if (++ejection.goodTrials < trialsToReturn) return undefined
    ejected.delete(database)
    counts.delete(database)
    const ejections = repetitions.get(database)?.ejections ?? 0
    repetitions.set(database, { ejections, returnedAtMs: endedAtMs })
    return 'returned' as const
  }

  const record: Outliers['record'] = (database, group, read) => {
    const { endedAtMs } = read
    const others = group.filter(id => id !== database)
    const countsOfOthers = others.map(id => countsAt(id, endedAtMs))
    const isBad = read.hasFailed || isSlow(countsOfOthers, read.serviceMs)
    const ejection = ejected.get(database)
    if (ejection !== undefined) return recordTrial(database, ejection, isBad, read)
    add(database, isBad, read)
    const canEject = others.filter(id => ejected.has(id)).length + 1 <= group.length * maxEjectedShare
    if (!isBad || !canEject || !isOutlier(countsAt(database, endedAtMs), countsOfOthers)) return undefined
    eject(database, endedAtMs)
    return 'ejected'
  }

  return {
    isEjected: (database, nowMs) => nowMs < (ejected.get(database)?.nextTrialMs ?? -Infinity),
    start: (database, nowMs) => {
      const ejection = ejected.get(database)
      if (ejection !== undefined) ejection.nextTrialMs = Math.max(ejection.nextTrialMs, nowMs + trialTimeoutMs)
    },
    record
  }
}
