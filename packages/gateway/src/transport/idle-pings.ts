/**
 * How often links to other gateways are pinged.
 *
 * Load pattern: a large fleet of which each gateway sends few statements. In a small fleet, frequent pings detect an
 * unreachable peer before the next statement is sent to it. In a large one the same number of pings reaches each link
 * too rarely for that and costs more than the statements, so idle links get only a few pings. While a reply to a
 * statement is pending, its link is pinged frequently in any fleet. A long poll is pending all the time and ends by
 * itself, so that its link needs a ping only when an expected reply is late.
 */

/** Members of a fleet up to which each idle link is pinged several times a second. */
const maxFrequentlyPinged = 13
/** Pings of all idle links together, in a small fleet and while the readiness of the peers is needed. */
const frequentPingsPerSec = 25
/** Pings of all idle links together in a large fleet. */
const rarePingsPerSec = 1.5
/** Silence in milliseconds after which a link with only a long poll pending is pinged. */
const longPollIntervalMs = 1200
/** Interval of `tick`, and of the pings to a silent peer while replies are pending. */
export const tickIntervalMs = 200

/** What is pending on a link. */
export type Pending = 'nothing' | 'longPoll' | 'reply'

/** Which links are pinged at a tick. */
export type PingPlan = {
  /** True if a link that has been silent for this long is to be pinged now; takes the ping from the tick's budget. */
  acquire: (pending: Pending, silentMs: number) => boolean
}

/** State on which the pings of a tick depend. */
export type PingState = {
  memberCount: number
  linkCount: number
  /** A decision needs the readiness of the peers. */
  isReadinessNeeded: boolean
}

/** The pings of one tick; links that are due at once are spread over ticks. */
export const planPings = ({ memberCount, linkCount, isReadinessNeeded }: PingState): PingPlan => {
  const isFrequent = memberCount <= maxFrequentlyPinged || isReadinessNeeded
  const perSec = isFrequent ? frequentPingsPerSec : rarePingsPerSec
  const idleIntervalMs = linkCount * 1000 / perSec
  let remaining = Math.ceil(perSec * tickIntervalMs / 1000)
  return {
    acquire: (pending, silentMs) => {
      if (pending === 'reply') return silentMs >= tickIntervalMs
      if (pending === 'longPoll' && silentMs >= longPollIntervalMs) return true
      return silentMs >= idleIntervalMs && remaining-- > 0
    }
  }
}
