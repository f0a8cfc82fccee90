/**
 * Contact with the platform's store: the age of its last confirmation that this gateway's state is complete.
 *
 * One clock is not enough: the monotonic clock stops while a VM is suspended, and the wall clock can be set. A
 * confirmation is valid only while both clocks agree on its age.
 */
import { monotonicMs } from '@egretyoke/common'
import type { Clock } from '@egretyoke/common'

/** Largest difference between the two measured ages that is not treated as a suspension or a clock step. */
export const maxClockDisagreementMs = 250

/** One instant, read on both clocks. */
export type ClockReading = { monotonicMs: number, wallMs: number }

/** Milliseconds from one reading to a later one; Infinity when the clocks disagree. Negative for an earlier one. */
export const msBetween = (from: ClockReading, to: ClockReading): number => {
  const monotonicPassedMs = to.monotonicMs - from.monotonicMs
  const wallPassedMs = to.wallMs - from.wallMs
  return Math.abs(monotonicPassedMs - wallPassedMs) > maxClockDisagreementMs ? Infinity : monotonicPassedMs
}

/** Measures ages on the monotonic clock, checked against the wall clock. */
export type AgeClock = {
  now: () => ClockReading
  /** Age in milliseconds; Infinity when the clocks disagree. */
  ageMs: (moment: ClockReading) => number
}

/** Creates an age clock. */
export const createAgeClock = (monotonic: Clock = monotonicMs, wall: Clock = Date.now): AgeClock => {
  const now = () => ({ monotonicMs: monotonic(), wallMs: wall() })
  return { now, ageMs: moment => msBetween(moment, now()) }
}

/** Contact of this gateway with the store. */
export type Contact = {
  /** Records that the fleet state was equal to the store at this moment; older moments have no effect. */
  confirm: (moment: ClockReading) => void
  /** Age of the last confirmation; Infinity when there is none, or none since a suspension or clock step. */
  ageMs: () => number
}

/** Creates a contact without any confirmation. */
export const createContact = (clock: AgeClock): Contact => {
  let confirmed: ClockReading | undefined
  const confirm = (moment: ClockReading) => {
    if (confirmed === undefined || clock.ageMs(confirmed) > clock.ageMs(moment)) confirmed = moment
  }
  return { confirm, ageMs: () => confirmed === undefined ? Infinity : clock.ageMs(confirmed) }
}
