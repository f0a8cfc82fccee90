/**
 * Decides which windows of usage reports are due: a window is collected from all gateways shortly after its end, until
 * all of them have replied or its report must be stored and sent.
 */

/** Time after a window's end at which its collection begins; statements of the window may still be in flight. */
export const collectAfterMs = 1000
/** Part of the time until a report is due in which counts are collected; the rest is for storing and sending. */
const collectionFraction = 0.8
/** Windows that are collected at the same time, after an outage of the store or of the reporter. */
export const maxOpenWindows = 4

/** The window that contains the time. */
export const windowAt = (trueMs: number, windowMs: number): number => Math.floor(trueMs / windowMs)

const msSinceEnd = (window: number, nowMs: number, windowMs: number) => nowMs - (window + 1) * windowMs

/** Windows from `nextWindow` on that are to be collected now, oldest first. */
export const windowsToCollect = (nextWindow: number, nowMs: number, windowMs: number): number[] => {
  const windows: number[] = []
  for (let window = nextWindow; windows.length < maxOpenWindows; window++) {
    if (msSinceEnd(window, nowMs, windowMs) < collectAfterMs) break
    windows.push(window)
  }
  return windows
}

/** Windows that are not to be collected yet, of which a member that leaves may have counted operations. */
export const windowsAhead = (nextWindow: number, nowMs: number, windowMs: number): number[] => {
  const current = windowAt(nowMs, windowMs)
  const firstAhead = nextWindow + windowsToCollect(nextWindow, nowMs, windowMs).length
  return [current - 1, current].filter(window => window >= firstAhead)
}

/** State of the collection of one window. */
export type CollectionState = {
  window: number
  nowMs: number
  windowMs: number
  /** Time after the window's end at which its report is due. */
  lateMs: number
  /** True if every member has replied. */
  hasAllReplies: boolean
  /** True if each member had the time of one call to reply. */
  hasAskedAll: boolean
}

/** True if the counts of the window are final. */
export const isCollected = (state: CollectionState): boolean => {
  const { window, nowMs, windowMs, lateMs, hasAllReplies, hasAskedAll } = state
  if (hasAllReplies) return true
  return hasAskedAll && msSinceEnd(window, nowMs, windowMs) >= lateMs * collectionFraction
}
