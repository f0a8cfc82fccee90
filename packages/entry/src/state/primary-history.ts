/**
 * Log positions of a group's primary over time. If a status request sent to the primary at time t returned position p,
 * then data at or after p includes everything that was written before t.
 */

/** A log position that bounds the age of data. */
type Sample = { askedAtMs: number, position: number }

/** Log positions of one group's primary within one term. */
export type PrimaryHistory = {
  note: (term: number, askedAtMs: number, position: number) => void
  /** Smallest recorded position at which data is no older than `maxAgeMs`; undefined if there is none. */
  positionAtAge: (term: number, maxAgeMs: number, nowMs: number) => number | undefined
}

/** Minimum time between two stored samples. */
const minSpacingMs = 20
const maxSamples = 1_024

/** Creates an empty history. */
export const createPrimaryHistory = (): PrimaryHistory => {
  let samples: Sample[] = []
  let ofTerm = 0

  const note = (term: number, askedAtMs: number, position: number) => {
    if (term < ofTerm) return
    if (term > ofTerm) {
      samples = []
      ofTerm = term
    }
    const newest = samples.at(-1)
    if (newest && askedAtMs - newest.askedAtMs < minSpacingMs) return
    samples.push({ askedAtMs, position })
    if (samples.length > maxSamples) samples.splice(0, maxSamples / 4)
  }

  const positionAtAge = (term: number, maxAgeMs: number, nowMs: number) => {
    if (term !== ofTerm) return undefined
    return samples.find(sample => sample.askedAtMs >= nowMs - maxAgeMs)?.position
  }

  return { note, positionAtAge }
}
