/**
 * How long ago the platform's store confirmed that this gateway knows everything in it.
 *
 * A time on one clock is not enough: while a VM is suspended its monotonic clock stands still, and its time of day can
 * be set by hand. A confirmation counts only as long as both clocks agree on its age.
 */
import { monotonicMs } from '@egretyoke/common'
import type { Clock } from '@egretyoke/common'

/** Largest difference between the clocks' ages that does not count as a suspension or a step. */
export const maxClockDisagreementMs = 250

/** A moment on both clocks. */
export type Moment = { monotonicMs: number, wallMs: number }

/** Measures ages on both clocks. */
export type AgeClock = {
  now: () => Moment
  /** Infinity when the clocks disagree. */
  ageMs: (moment: Moment) => number
}

/** Creates an age clock. */
export const createAgeClock = (monotonic: Clock = monotonicMs, wall: Clock = Date.now): AgeClock => ({
  now: () => ({ monotonicMs: monotonic(), wallMs: wall() }),
  ageMs: moment => {
    const monotonicAgeMs = monotonic() - moment.monotonicMs
    const wallAgeMs = wall() - moment.wallMs
    return Math.abs(monotonicAgeMs - wallAgeMs) > maxClockDisagreementMs ? Infinity : monotonicAgeMs
  }
})

/** What the gateway may still rely on. */
export type Contact = {
  /** The store was known to be as the view says at this moment. */
  confirm: (moment: Moment) => void
  /** Infinity: never confirmed, or not since a suspension. */
  ageMs: () => number
}

/** Creates the contact of a process that has just started. */
export const createContact = (clock: AgeClock): Contact => {
  let confirmed: Moment | undefined
  const confirm = (moment: Moment) => {
    if (confirmed === undefined || clock.ageMs(confirmed) > clock.ageMs(moment)) confirmed = moment
  }
  return { confirm, ageMs: () => confirmed === undefined ? Infinity : clock.ageMs(confirmed) }
}
