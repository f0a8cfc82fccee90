/**
 * Log positions observed at the primaries. A position returned by the current primary covers every commit that was
 * confirmed before the statement that returned it was sent.
 *
 * Load pattern: reads that may be some seconds old, on replicas that lag by less. If a read required the newest known
 * position, each replica would decline it for as long as it lags; it requires the oldest one that is recent enough.
 *
 * Load pattern: a first holder that does not answer in time, because it is cut off or its link is still being opened.
 * A read that gave up with it would be sent to the primary, which may be the cause of the silence. The request is
 * repeated while the read has time: the holder is then asked over an open link, or comes after the others.
 */
import { sleepMs } from '@egretyoke/common'
import type { RelayMessages } from '@egretyoke/protocol'
import type { AgeClock, ClockReading } from '../../state/contact.js'
import { isPosition, laterPosition } from '../../state/position.js'

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

/** Requests the position from the holder of the group's primary; undefined if there is no reply. */
export type FetchPosition = (group: string) => Promise<PositionSample | undefined>

/** Newest observed positions by group. */
export type GroupPositions = {
  record: (group: string, sample: PositionSample) => void
  /**
   * Position that a replica needs for its data to be less than `maxStalenessMs` old; undefined if it is still unknown
   * after the first request that ends later than `waitMs`.
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
  const renewals = new Map<string, Promise<void>>()

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

  const renew = (group: string): Promise<void> => {
    const pending = renewals.get(group) ?? fetchPosition(group).then(sample => {
      renewals.delete(group)
      if (sample !== undefined) record(group, sample)
    })
    renewals.set(group, pending)
    return pending
  }

  const ageMs = (group: string) => {
    const sample = newest(group)
    return sample === undefined ? Infinity : clock.ageMs(sample.coversUntil)
  }

  /** Requests the position until it is recent enough or `waitMs` have passed. */
  const renewUntilRecent = async (group: string, maxStalenessMs: number, waitMs: number) => {
    const startedAt = clock.now()
    for (;;) {
      await renew(group)
      if (ageMs(group) < maxStalenessMs || clock.ageMs(startedAt) + repeatDelayMs >= waitMs) return
      await sleep(repeatDelayMs)
    }
  }

  const require = async (group: string, maxStalenessMs: number, waitMs = 0) => {
    if (ageMs(group) >= maxStalenessMs) await renewUntilRecent(group, maxStalenessMs, waitMs)
    else if (ageMs(group) > maxStalenessMs * renewAtFraction) renew(group)
    if (ageMs(group) >= maxStalenessMs) return undefined
    const isRecent = ({ coversUntil }: PositionSample) => clock.ageMs(coversUntil) < maxStalenessMs * maxReuseFraction
    return (samples.get(group)?.find(isRecent) ?? newest(group))?.position
  }

  return { record, require, newest, forget: group => { samples.delete(group) } }
}
