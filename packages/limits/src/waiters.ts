/**
 * Requests that wait for a token or permit, first come first served. The caller bounds their number.
 */
import type { After } from './timers.js'

/** Result of a wait. */
export type WaitEnd = 'served' | 'timedOut' | 'cancelled' | 'closed'

/** The requests that wait for one limit. */
export type Waiters = {
  size: () => number
  /** Waits until served, for at most the given time. The caller has checked that the queue is not full. */
  wait: (maxWaitMs: number, signal?: AbortSignal) => Promise<WaitEnd>
  /** Serves the waiting requests in order until the function returns false. */
  serve: (takeOne: () => boolean) => void
  close: () => void
}

/** Creates an empty queue of waiting requests. */
export const createWaiters = (after: After): Waiters => {
  const ends = new Set<(end: WaitEnd) => void>()

  const wait = (maxWaitMs: number, signal?: AbortSignal) => new Promise<WaitEnd>(resolve => {
    const finish = (end: WaitEnd) => {
      ends.delete(finish)
      cancelTimer()
      signal?.removeEventListener('abort', abort)
      resolve(end)
    }
    const abort = () => finish('cancelled')
    const cancelTimer = after(maxWaitMs, () => finish('timedOut'))
    ends.add(finish)
    signal?.addEventListener('abort', abort)
    if (signal?.aborted) abort()
  })

  const serve = (takeOne: () => boolean) => {
    for (const finish of ends) {
      if (!takeOne()) return
      finish('served')
    }
  }

  const close = () => {
    for (const finish of ends) finish('closed')
  }

  return { size: () => ends.size, wait, serve, close }
}
