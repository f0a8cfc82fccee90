/**
 * Reads whose result serves all that ask for it at about the same time.
 *
 * Load pattern: many statements that each need data read after they arrived. A read that is running may have begun too
 * early for a new one. All that ask meanwhile share the next read, which begins when the running one has ended: there
 * is one read at a time for each key, however many ask.
 */

/** Ages in milliseconds. */
export type ReadAge = {
  /** Age that the result may have at most, counted back from the time of asking. */
  acceptedMs: number
  /** Age that a read begun for this one may give its result, counted back from the beginning of the read. */
  requestedMs: number
}

/** Resolves with the result of a read; undefined if the read has none. */
export type SharedReads<T> = (key: string, age: ReadAge) => Promise<T | undefined>

type RunningRead<T> = { startedAtMs: number, maxAgeMs: number, result: Promise<T | undefined> }
type NextRead<T> = { maxAgeMs: number, result: Promise<T | undefined> }

/** Shares the reads that `read` makes; it gets the age that its result may have at most. */
export const createSharedReads = <T>(
  read: (key: string, maxAgeMs: number) => Promise<T | undefined>, nowMs: () => number
): SharedReads<T> => {
  const running = new Map<string, RunningRead<T>>()
  const next = new Map<string, NextRead<T>>()

  const start = (key: string, maxAgeMs: number): Promise<T | undefined> => {
    const result = read(key, maxAgeMs).finally(() => { running.delete(key) })
    running.set(key, { startedAtMs: nowMs(), maxAgeMs, result })
    return result
  }

  const startAfter = (key: string, current: RunningRead<T>, maxAgeMs: number): Promise<T | undefined> => {
    const begin = () => {
      next.delete(key)
      return start(key, added.maxAgeMs)
    }
    const added: NextRead<T> = { maxAgeMs, result: current.result.then(begin, begin) }
    next.set(key, added)
    return added.result
  }

  return (key, { acceptedMs, requestedMs }) => {
    const current = running.get(key)
    if (current === undefined) return start(key, requestedMs)
    if (nowMs() - current.startedAtMs + current.maxAgeMs <= acceptedMs) return current.result
    const waiting = next.get(key)
    if (waiting === undefined) return startAfter(key, current, requestedMs)
    waiting.maxAgeMs = Math.min(waiting.maxAgeMs, requestedMs)
    return waiting.result
  }
}
