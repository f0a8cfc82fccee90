/**
 * Log positions observed at the primaries. A position returned by the current primary covers every commit that was
 * confirmed before the statement that returned it was sent.
 *
 * Load pattern: reads that may be some seconds old, on replicas that lag by less. If a read required the newest known
 * position, each replica would decline it for as long as it lags; it requires the oldest one that is recent enough.
 *
 * A sample is compared with the arrival of the read, not with the time of its use: a position requested after the read
 * arrived covers all that the read must see, whatever its bound and however long the request took.
 *
 * Load pattern: a first holder that does not answer in time, because it is cut off or its link is still being opened.
 * A read that gave up with it would be sent to the primary, which may be the cause of the silence. The request is
 * repeated while the read has time: the holder is then asked over an open link, or comes after the others.
 */
import { sleepMs } from '@egretyoke/common'
import type { RelayMessages } from '@egretyoke/protocol'
import { msBetween } from '../../state/contact.js'
import type { AgeClock, ClockReading } from '../../state/contact.js'
import { isPosition, laterPosition } from '../../state/position.js'
import { createSharedReads } from './shared-reads.js'

/** A log position, and the time up to which it covers all confirmed commits. */
export type PositionSample = { position: string, coversUntil: ClockReading }

/** The sample in a peer's reply to a request that was sent at `requestedAt`; undefined if it holds no position. */
export const sampleFromPeer = (
  reply: RelayMessages.GroupPosition__Output | null | undefined, requestedAt: ClockReading
): PositionSample | undefined => {
  if (!reply || !isPosition(reply.position)) return undefined
  const { position, ageMs } = reply
  return {
    position, coversUntil: { monotonicMs: requestedAt.monotonicMs - ageMs, wallMs: requestedAt.wallMs - ageMs }
  }
}

/**
 * Requests a position that is at most `maxAgeMs` old from the holder of the group's primary, which returns an older one
 * if it cannot read one now. Undefined if there is no reply.
 */
export type FetchPosition = (group: string, maxAgeMs: number) => Promise<PositionSample | undefined>

/** Positions up to this age are passed on without a request to the primary, where the staleness bound leaves room. */
export const maxSharedAgeMs = 150

/** Newest observed positions by group. */
export type GroupPositions = {
  record: (group: string, sample: PositionSample) => void
  /**
   * Position that a replica needs for its data to include all commits that were confirmed `maxStalenessMs` before this
   * call; undefined if it is still unknown after the first request that ends later than `waitMs`.
   */
  require: (group: string, maxStalenessMs: number, waitMs?: number) => Promise<string | undefined>
  newest: (group: string) => PositionSample | undefined
  /** Drops the group's position after its primary was replaced: the new primary's log may lack it. */
  forget: (group: string) => void
}

/** The newest sample is refreshed in the background once its age exceeds this fraction of the permitted staleness. */
const renewAtFraction = 0.4
/** Older samples are required up to this fraction of the permitted staleness. */
const maxReuseFraction = 0.8
/** Samples that are closer together are merged. */
const minSampleGapMs = 50
/** Pause before a request is repeated. */
const repeatDelayMs = 50
/** Samples kept for each group; they span more than the usual staleness of routes. */
const maxSamples = 64

/** Creates an empty position table. */
export const createGroupPositions = (
  clock: AgeClock, fetchPosition: FetchPosition, sleep: (ms: number) => Promise<unknown> = sleepMs
): GroupPositions => {
  /** By group, oldest first. */
  const samples = new Map<string, PositionSample[]>()

  const newest = (group: string): PositionSample | undefined => samples.get(group)?.at(-1)

  const record = (group: string, sample: PositionSample) => {
    const kept = samples.get(group) ?? []
    const previous = kept.at(-1)
    samples.set(group, kept)
    if (previous === undefined) return kept.push(sample)
    const newerByMs = clock.ageMs(previous.coversUntil) - clock.ageMs(sample.coversUntil)
    const position = laterPosition(sample.position, previous.position)
    const before = kept.at(-2)
    const isMerged = before !== undefined &&
      clock.ageMs(before.coversUntil) - clock.ageMs(sample.coversUntil) < minSampleGapMs
    if (!(newerByMs > 0) || isMerged) kept.pop()
    kept.push({ position, coversUntil: newerByMs > 0 ? sample.coversUntil : previous.coversUntil })
    if (kept.length > maxSamples) kept.shift()
  }

  const fetchAndRecord = async (group: string, maxAgeMs: number) => {
    const sample = await fetchPosition(group, maxAgeMs)
    if (sample !== undefined) record(group, sample)
    return sample
  }
  const shareFetch = createSharedReads(fetchAndRecord, () => clock.now().monotonicMs)

  const renew = (group: string, maxStalenessMs: number) => shareFetch(group, {
    acceptedMs: maxStalenessMs, requestedMs: Math.min(maxSharedAgeMs, maxStalenessMs * renewAtFraction)
  })

  const ageMs = ({ coversUntil }: PositionSample) => clock.ageMs(coversUntil)

  /** The group's newest sample if it covers all commits that a read must see. */
  const freshSample = (group: string, arrivedAt: ClockReading, maxStalenessMs: number): PositionSample | undefined => {
    const sample = newest(group)
    if (sample === undefined) return undefined
    const { coversUntil } = sample
    // The monotonic clock orders them also where the clocks disagree.
    const isAfterArrival = coversUntil.monotonicMs >= arrivedAt.monotonicMs
    return isAfterArrival || msBetween(coversUntil, arrivedAt) <= maxStalenessMs ? sample : undefined
  }

  /** Requests the position until it is recent enough or `waitMs` have passed. */
  const renewUntilFresh = async (group: string, arrivedAt: ClockReading, maxStalenessMs: number, waitMs: number) => {
    for (;;) {
      await renew(group, maxStalenessMs)
      const fresh = freshSample(group, arrivedAt, maxStalenessMs)
      if (fresh !== undefined || clock.ageMs(arrivedAt) + repeatDelayMs >= waitMs) return fresh
      await sleep(repeatDelayMs)
    }
  }

  const require = async (group: string, maxStalenessMs: number, waitMs = 0) => {
    const arrivedAt = clock.now()
    const known = freshSample(group, arrivedAt, maxStalenessMs)
    if (known !== undefined && ageMs(known) > maxStalenessMs * renewAtFraction) renew(group, maxStalenessMs)
    const fresh = known ?? await renewUntilFresh(group, arrivedAt, maxStalenessMs, waitMs)
    if (fresh === undefined) return undefined
    const isRecent = (sample: PositionSample) => ageMs(sample) < maxStalenessMs * maxReuseFraction
    return (samples.get(group)?.find(isRecent) ?? fresh).position
  }

  return { record, require, newest, forget: group => { samples.delete(group) } }
}
