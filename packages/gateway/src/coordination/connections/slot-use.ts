/**
 * Part of a database's slots that statements of each priority take, from the slot time of the recent ones. Statements
 * that wait are also delayed by more urgent ones that arrive later, at about the rate of the recent ones.
 */

/** Time over which the slot time is averaged, in milliseconds. */
const averagingMs = 1000

/** Slots that are taken by each band of statements. */
export type SlotUse = {
  /** Records the expected slot time of a statement that gets a slot now. */
  record: (band: number, serviceMs: number) => void
  /** Mean number of slots that the bands before this one take. */
  slotsBefore: (band: number) => number
}

/** Creates a record without any use. */
export const createSlotUse = (bandCount: number, nowMs: () => number): SlotUse => {
  const uses = Array.from({ length: bandCount }, () => ({ slotMs: 0, atMs: nowMs() }))

  const slotMsOf = (band: number) => {
    const { slotMs, atMs } = uses[band]
    return slotMs * Math.exp((atMs - nowMs()) / averagingMs)
  }

  return {
    record: (band, serviceMs) => { uses[band] = { slotMs: slotMsOf(band) + serviceMs, atMs: nowMs() } },
    slotsBefore: band => {
      let slotMs = 0
      for (let other = 0; other < band; other++) slotMs += slotMsOf(other)
      return slotMs / averagingMs
    }
  }
}
