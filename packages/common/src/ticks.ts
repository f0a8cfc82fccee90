/**
 * Timers as promises and async generators, so that periodic work can be written as a loop.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { monotonicMs } from './clock.js'

/** Sleeps for `ms` milliseconds. Resolves early, with false, when the signal aborts. */
export const sleepMs = async (ms: number, signal?: AbortSignal): Promise<boolean> => {
  if (signal?.aborted) return false
  try {
    await delay(ms, undefined, { signal })
    return true
  } catch {
    return false
  }
}

/** Time in whole milliseconds until the clock reaches the next multiple of `intervalMs`; at least 1. */
export const msUntilTick = (intervalMs: number, nowMs: number): number => Math.ceil(intervalMs - nowMs % intervalMs)

/**
 * Sleeps until the monotonic clock reaches the next multiple of `intervalMs`, so that the periodic tasks of a process
 * wake it up together. Resolves early, with false, when the signal aborts.
 */
export const sleepUntilTick = (intervalMs: number, signal?: AbortSignal): Promise<boolean> =>
  sleepMs(msUntilTick(intervalMs, monotonicMs()), signal)

/** Calls `onTick` at each multiple of `intervalMs` of the monotonic clock; returns a function that ends it. */
export const startTicks = (intervalMs: number, onTick: () => void): () => void => {
  const stopping = new AbortController()
  const run = async () => {
    while (await sleepUntilTick(intervalMs, stopping.signal)) onTick()
  }
  run()
  return () => stopping.abort()
}

/** Yields a counter immediately and then after every interval, until the signal aborts. */
export async function * ticks (intervalMs: number, signal: AbortSignal): AsyncGenerator<number> {
  for (let count = 0; !signal.aborted; count++) {
    yield count
    if (!await sleepMs(intervalMs, signal)) return
  }
}

/** Yields the delays of an exponential backoff without jitter, in milliseconds, without end. */
export function * backoffMs (firstMs: number, maxMs: number): Generator<number> {
  for (let nextMs = firstMs; ; nextMs = Math.min(maxMs, nextMs * 2)) yield nextMs
}

/** A periodic timer that can be woken early. */
export type Ticker = {
  /** Yields immediately, then after every interval or wake-up, until the signal aborts. */
  ticks: (signal: AbortSignal) => AsyncGenerator<void>
  /** Triggers the next tick immediately. */
  wake: () => void
}

/** Creates a ticker for use by a single loop. */
export const createTicker = (intervalMs: number): Ticker => {
  let isWakePending = false
  let endWait = () => {}

  const wait = (signal: AbortSignal) => new Promise<void>(resolve => {
    const finish = () => {
      clearTimeout(timer)
      signal.removeEventListener('abort', finish)
      endWait = () => {}
      resolve()
    }
    const timer = setTimeout(finish, isWakePending ? 0 : intervalMs)
    endWait = finish
    signal.addEventListener('abort', finish, { once: true })
  })

  async function * ticksUntil (signal: AbortSignal) {
    while (!signal.aborted) {
      isWakePending = false
      yield
      await wait(signal)
    }
  }

  const wake = () => {
    isWakePending = true
    endWait()
  }

  return { ticks: ticksUntil, wake }
}
