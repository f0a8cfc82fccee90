/**
 * Log positions of a group's primary over time. If a status request sent to the primary at time t returned position p,
 * then data at or after p includes everything that was written before t.
 */

/** A log position that bounds the age of data. */
type Sample = { sentAtMs: number, position: number }

/** Log positions of one group's primary within one term. */
export type PrimaryHistory = {
  record: (term: number, sentAtMs: number, position: number) => void
  /** Smallest recorded position at which data is no older than `maxAgeMs`; undefined if there is none. */
  positionAtAge: (term: number, maxAgeMs: number, nowMs: number) => number | undefined
}

/** Minimum time between two stored samples. */
const minSpacingMs = 20
const maxSamples = 1_024

/** Creates an empty history. */
export const createPrimaryHistory = (): PrimaryHistory => {
  let samples: Sample[] = []
  let sampledTerm = 0

  const record = (term: number, sentAtMs: number, position: number) => {
    if (term < sampledTerm) return
    if (term > sampledTerm) {
      samples = []
      sampledTerm = term
    }
    const newest = samples.at(-1)
    if (newest && sentAtMs - newest.sentAtMs < minSpacingMs) return
    samples.push({ sentAtMs, position })
    if (samples.length > maxSamples) samples.splice(0, maxSamples / 4)
  }

  const positionAtAge = (term: number, maxAgeMs: number, nowMs: number) => {
    if (term !== sampledTerm) return undefined
    return samples.find(sample => sample.sentAtMs >= nowMs - maxAgeMs)?.position
  }

  return { record, positionAtAge }
}
