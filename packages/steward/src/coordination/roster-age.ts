/**
 * Tracks how long ago this process first saw the newest version of the roster.
 */
import type { Clock } from '@egretyoke/common'

/**
 * Returns a function that returns the age of a roster version in milliseconds. The age is 0 on the first call with a
 * newer version, and for versions older than the newest one.
 */
export const createRosterAge = (clock: Clock) => {
  let newestVersion = 0
  let sinceMs = clock()
  return (version: number): number => {
    if (version === newestVersion) return clock() - sinceMs
    if (version > newestVersion) {
      newestVersion = version
      sinceMs = clock()
    }
    return 0
  }
}
