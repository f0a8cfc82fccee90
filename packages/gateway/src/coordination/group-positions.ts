/**
 * The newest positions seen at the primaries. A position that was seen at a primary in force, by a statement sent at a
 * moment, covers every commit that was confirmed before that moment.
 */
import type { AgeClock, Moment } from '../state/contact.js'
import { laterPosition } from '../state/position.js'

/** A position, and the moment up to which it covers all confirmed commits. */
export type PositionSample = { position: string, coversUntil: Moment }

/** Asks the holder of the group's primary; undefined when it does not answer. */
export type AskPosition = (group: string) => Promise<PositionSample | undefined>

/** Newest known positions by group. */
export type GroupPositions = {
  note: (group: string, sample: PositionSample) => void
  /** The position that data no older than `maxStalenessMs` must have; undefined when it cannot be had. */
  require: (group: string, maxStalenessMs: number) => Promise<string | undefined>
  newest: (group: string) => PositionSample | undefined
  /** A primary was replaced: what was seen before may not be in the new one's log. */
  forget: (group: string) => void
}

/** A sample is renewed in the background once it has used up this part of the allowed age. */
const renewAtFraction = 0.4

/** Creates an empty table. */
export const createGroupPositions = (clock: AgeClock, ask: AskPosition): GroupPositions => {
  const samples = new Map<string, PositionSample>()
  const asking = new Map<string, Promise<void>>()

  const note = (group: string, sample: PositionSample) => {
    const known = samples.get(group)
    if (known === undefined) return samples.set(group, sample)
    const newer = clock.ageMs(sample.coversUntil) < clock.ageMs(known.coversUntil) ? sample : known
    samples.set(group, { ...newer, position: laterPosition(sample.position, known.position) })
  }

  const renew = (group: string): Promise<void> => {
    const pending = asking.get(group) ?? ask(group).then(sample => {
      asking.delete(group)
      if (sample !== undefined) note(group, sample)
    })
    asking.set(group, pending)
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

  return { note, require, newest: group => samples.get(group), forget: group => { samples.delete(group) } }
}
