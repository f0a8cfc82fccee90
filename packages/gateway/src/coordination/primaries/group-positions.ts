/**
 * Newest log positions observed at the primaries. A position returned by the current primary covers every commit that
 * was confirmed before the statement that returned it was sent.
 */
import type { AgeClock, ClockReading } from '../../state/contact.js'
import { laterPosition } from '../../state/position.js'

/** A log position, and the time up to which it covers all confirmed commits. */
export type PositionSample = { position: string, coversUntil: ClockReading }

/** Requests the position from the holder of the group's primary; undefined if there is no reply. */
export type FetchPosition = (group: string) => Promise<PositionSample | undefined>

/** Newest observed positions by group. */
export type GroupPositions = {
  record: (group: string, sample: PositionSample) => void
  /** Position that a replica needs for its data to be at most `maxStalenessMs` old; undefined if unknown. */
  require: (group: string, maxStalenessMs: number) => Promise<string | undefined>
  newest: (group: string) => PositionSample | undefined
  /** Drops the group's position after its primary was replaced: the new primary's log may lack it. */
  forget: (group: string) => void
}

/** A sample is refreshed in the background once its age exceeds this fraction of the permitted staleness. */
const renewAtFraction = 0.4

/** Creates an empty position table. */
export const createGroupPositions = (clock: AgeClock, fetchPosition: FetchPosition): GroupPositions => {
  const samples = new Map<string, PositionSample>()
  const renewals = new Map<string, Promise<void>>()

  const record = (group: string, sample: PositionSample) => {
    const previous = samples.get(group)
    if (previous === undefined) return samples.set(group, sample)
    const newer = clock.ageMs(sample.coversUntil) < clock.ageMs(previous.coversUntil) ? sample : previous
    samples.set(group, { ...newer, position: laterPosition(sample.position, previous.position) })
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
    const sample = samples.get(group)
    return sample === undefined ? Infinity : clock.ageMs(sample.coversUntil)
  }

  const require = async (group: string, maxStalenessMs: number) => {
    if (ageMs(group) > maxStalenessMs * renewAtFraction) {
      const renewal = renew(group)
      if (ageMs(group) >= maxStalenessMs) await renewal
    }
    return ageMs(group) < maxStalenessMs ? samples.get(group)?.position : undefined
  }

  return { record, require, newest: group => samples.get(group), forget: group => { samples.delete(group) } }
}
