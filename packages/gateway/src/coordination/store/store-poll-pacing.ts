/**
 * Limits how often the store is polled for changes.
 *
 * Load pattern: many changes within a short time, as when a large fleet starts, is rolled or loses power, or when
 * configurations come in quick succession. Each poll ends at the first change, so without a limit every change costs
 * one poll of each watcher. Polls that follow an isolated change are not delayed; in a series, one poll collects
 * several changes. A small fleet makes few changes itself and learns of each at once.
 */
import { createTokenBucket } from '../../state/token-bucket.js'

/** Members up to which polls are not limited. */
export const maxUnlimitedMembers = 24
/** Polls in a second while changes keep coming. */
const maxPollsPerSec = 6
/** Polls that may follow each other without a delay, for short series such as the steps of a primary change. */
const maxBurstPolls = 4

/** Pacing of one process's polls. */
export type PollPacing = {
  /** Takes a poll from the budget; returns 0, or the time in milliseconds to wait before asking again. */
  delayMs: () => number
}

/** Creates a pacing with a full budget. `memberCount` is the current size of the fleet. */
export const createPollPacing = (memberCount: () => number, nowMs: () => number): PollPacing => {
  const bucket = createTokenBucket({ ratePerSec: maxPollsPerSec, burst: maxBurstPolls }, nowMs)
  bucket.add(maxBurstPolls)
  return {
    delayMs: () => {
      if (bucket.acquire(1) === 1 || memberCount() <= maxUnlimitedMembers) return 0
      return Math.ceil(bucket.nextTokenMs())
    }
  }
}
