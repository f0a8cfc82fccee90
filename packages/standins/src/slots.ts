/**
 * Execution slots of a database: a semaphore that limits concurrent statements, with a bounded wait queue.
 */

/** Execution slots of one database. */
export type Slots = {
  /** Waits for a free slot; resolves to false at once when the queue is full. */
  acquire: () => Promise<boolean>
  release: () => void
  /** Number of occupied slots. */
  running: () => number
}

/** Creates the slots, all of them free. */
export const createSlots = (slotCount: number, maxWaiting: number): Slots => {
  const waiting: Array<() => void> = []
  let running = 0
  const acquire = async (): Promise<boolean> => {
    if (running < slotCount) {
      running++
      return true
    }
    if (waiting.length >= maxWaiting) return false
    await new Promise<void>(resolve => waiting.push(resolve))
    return true
  }
  const release = () => {
    const next = waiting.shift()
    if (next) return next()
    running--
  }
  return { acquire, release, running: () => running }
}
