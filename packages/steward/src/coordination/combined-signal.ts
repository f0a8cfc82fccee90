/**
 * Combined abort signals with an unlimited number of listeners.
 */
import { setMaxListeners } from 'node:events'

/**
 * Returns a signal that aborts when any of the given signals does. The listener limit is disabled, because each member
 * or entry adds a listener.
 */
export const combineSignals = (...signals: AbortSignal[]): AbortSignal => {
  const shared = AbortSignal.any(signals)
  setMaxListeners(0, shared)
  return shared
}
