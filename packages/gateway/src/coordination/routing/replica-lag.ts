/**
 * By how much replicas lag, as far as their replies show, and so which reads they cannot serve.
 *
 * Load pattern: replicas that lag by seconds, or receive nothing. A read that needs newer data is declined there as
 * often as it is sent, and each decline costs a round trip and an attempt elsewhere. What a read tolerates is compared
 * with the lag that the replica has shown: a replica that declines a read of the session's own last commit still serves
 * those that may be seconds old. Lags last, so after a decline single reads find out whether the replica has caught up.
 *
 * The estimate only saves attempts. The holder requires the position of each read, whatever this module assumes.
 */
import { comparePositions, isPosition } from '../../state/position.js'
import type { StatementRequest } from '../sessions/statement.js'

/** Lags by database. Times are readings of one monotonic clock. */
export type ReplicaLag = {
  /** Age of the oldest data that the read accepts, in milliseconds; infinite if it accepts any. */
  toleratedMs: (request: Pick<StatementRequest, 'group' | 'ownPosition' | 'maxStalenessMs'>, nowMs: number) => number
  /** False if the replica is known to lag by more than is tolerated and no trial is due. */
  canServe: (database: string, toleratedMs: number, nowMs: number) => boolean
  /** Records that a read is sent; if it is a trial, no other one is due for some time. */
  start: (database: string, toleratedMs: number, nowMs: number) => void
  /** Records that a read was declined for its position; true if the replica was not known to lag. */
  recordDeclined: (database: string, toleratedMs: number, startedAtMs: number, nowMs: number) => boolean
  /** Records that a read was served; true if the replica was known to lag by more and has caught up. */
  recordServed: (database: string, toleratedMs: number) => boolean
  /** Records a position of the group's primary. */
  recordPrimary: (group: string, position: string, nowMs: number) => void
  /** Records the position that a replica had at `atMs`; true if it was not known to lag as much as this shows. */
  recordReplica: (group: string, database: string, position: string, atMs: number) => boolean
}

/** The holder requires positions up to this fraction of the permitted staleness; see `group-positions.ts`. */
const requiredAgeFraction = 0.8
/** Time from a decline to the first trial; each further decline doubles it up to the maximum. */
const firstTrialMs = 250
const maxTrialMs = 1000
/** A replica's position is reported up to this long after it was current, which is no lag. */
const reportDelayMs = 100
/** Positions that follow each other faster are merged. */
const minSampleGapMs = 10
/** Positions of the primary kept for each group. */
const maxSamples = 128

type Sample = { position: string, seenAtMs: number }
type Behind = { atLeastMs: number, declines: number, sinceMs: number, nextTrialMs: number }

/** Creates a table in which no replica lags. */
export const createReplicaLag = (): ReplicaLag => {
  /** Positions of the primaries by group, oldest first, with the time at which they were first seen. */
  const samples = new Map<string, Sample[]>()
  const behind = new Map<string, Behind>()

  const recordPrimary = (group: string, position: string, nowMs: number) => {
    if (!isPosition(position)) return
    const kept = samples.get(group) ?? []
    samples.set(group, kept)
    const last = kept.at(-1)
    if (last !== undefined && comparePositions(position, last.position) <= 0) return
    // The earlier time is kept: an own commit that seems older than it is costs at most a decline.
    if (last !== undefined && nowMs - last.seenAtMs < minSampleGapMs) last.position = position
    else kept.push({ position, seenAtMs: nowMs })
    if (kept.length > maxSamples) kept.shift()
  }

  /** Time since the primary had reached the position, or infinite if that was not seen. */
  const ageOf = (group: string, position: string, nowMs: number): number => {
    const reached = samples.get(group)?.find(sample => comparePositions(sample.position, position) >= 0)
    return reached === undefined ? Infinity : nowMs - reached.seenAtMs
  }

  const toleratedMs: ReplicaLag['toleratedMs'] = ({ group, ownPosition, maxStalenessMs }, nowMs) => Math.min(
    maxStalenessMs === undefined ? Infinity : maxStalenessMs * requiredAgeFraction,
    ownPosition === '' ? Infinity : ageOf(group, ownPosition, nowMs)
  )

  const canServe = (database: string, tolerated: number, nowMs: number) => {
    const entry = behind.get(database)
    return entry === undefined || tolerated > entry.atLeastMs || nowMs >= entry.nextTrialMs
  }

  const trialDelayMs = (declines: number) => Math.min(maxTrialMs, firstTrialMs * 2 ** declines)

  const start = (database: string, tolerated: number, nowMs: number) => {
    const entry = behind.get(database)
    if (entry === undefined || tolerated > entry.atLeastMs) return
    entry.nextTrialMs = nowMs + trialDelayMs(entry.declines)
  }

  const recordDeclined: ReplicaLag['recordDeclined'] = (database, tolerated, startedAtMs, nowMs) => {
    if (tolerated === Infinity) return false
    const entry = behind.get(database)
    if (entry === undefined) {
      const nextTrialMs = nowMs + trialDelayMs(0)
      behind.set(database, { atLeastMs: tolerated, declines: 0, sinceMs: nowMs, nextTrialMs })
      return true
    }
    entry.atLeastMs = Math.max(entry.atLeastMs, tolerated)
    // Reads that were sent before the first decline are no trials.
    if (startedAtMs < entry.sinceMs) return false
    entry.declines++
    entry.nextTrialMs = nowMs + trialDelayMs(entry.declines)
    return false
  }

  const recordServed = (database: string, tolerated: number) => {
    const entry = behind.get(database)
    return entry !== undefined && tolerated <= entry.atLeastMs && behind.delete(database)
  }

  const recordReplica: ReplicaLag['recordReplica'] = (group, database, position, atMs) => {
    if (!isPosition(position)) return false
    const missing = samples.get(group)?.find(sample => comparePositions(sample.position, position) > 0)
    const lagMs = missing === undefined ? 0 : atMs - missing.seenAtMs - reportDelayMs
    const entry = behind.get(database)
    if (lagMs <= 0 || lagMs <= (entry?.atLeastMs ?? 0)) return false
    const fresh = { declines: 0, sinceMs: atMs, nextTrialMs: atMs + trialDelayMs(0) }
    behind.set(database, { ...(entry ?? fresh), atLeastMs: lagMs })
    return entry === undefined
  }

  return { toleratedMs, canServe, start, recordDeclined, recordServed, recordPrimary, recordReplica }
}
