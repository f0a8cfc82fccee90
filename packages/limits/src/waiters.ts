/**
 * Requests that wait for a token or permit, first come first served. The caller bounds their number.
 */
import type { After } from './timers.js'

/** Result of a wait. */
export type WaitResult = 'served' | 'timedOut' | 'cancelled' | 'closed'

/** The requests that wait for one limit. */
export type Waiters = {
  size: () => number
  /** Waits until served, for at most the given time. The caller has checked that the queue is not full. */
  wait: (maxWaitMs: number, signal?: AbortSignal) => Promise<WaitResult>
  /** Serves the waiting requests in order until the function returns false. */
  serve: (tryServe: () => boolean) => void
  close: () => void
}

/** Creates an empty queue of waiting requests. */
export const createWaiters = (after: After): Waiters => {
  const pending = new Set<(result: WaitResult) => void>()

  const wait = (maxWaitMs: number, signal?: AbortSignal) => new Promise<WaitResult>(resolve => {
    const finish = (result: WaitResult) => {
      pending.delete(finish)
      cancelTimer()
      signal?.removeEventListener('abort', abort)
      resolve(result)
    }
    const abort = () => finish('cancelled')
    const cancelTimer = after(maxWaitMs, () => finish('timedOut'))
    pending.add(finish)
    signal?.addEventListener('abort', abort)
    if (signal?.aborted) abort()
  })

  const serve = (tryServe: () => boolean) => {
    for (const finish of pending) {
      if (!tryServe()) return
      finish('served')
    }
  }

  const close = () => {
    for (const finish of pending) finish('closed')
  }

  return { size: () => pending.size, wait, serve, close }
}
