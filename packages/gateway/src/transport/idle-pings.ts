/**
 * How often idle links to other gateways are pinged.
 *
 * Load pattern: a large fleet of which each gateway sends few statements. In a small fleet, frequent pings detect an
 * unreachable peer before the next statement is sent to it. In a large one the same number of pings reaches each link
 * too rarely for that and costs more than the statements, so idle links get only a few pings; a link with a pending
 * reply is pinged frequently in any fleet.
 */

/** Links up to which each idle link is pinged several times a second. */
const maxFrequentlyPinged = 12
/** Pings of all idle links together, in a small fleet and while the readiness of the peers is needed. */
const frequentPingsPerSec = 25
/** Pings of all idle links together in a large fleet. */
const rarePingsPerSec = 1.5

/** Which idle links are pinged at a tick. */
export type IdlePings = {
  /** Silence in milliseconds after which an idle link is due. */
  intervalMs: number
  /** True while the tick's share of the pings is not used up; links that are due at once are spread over ticks. */
  acquire: () => boolean
}

/** The idle pings of one tick. `isReadinessNeeded`: a decision needs the readiness of the peers. */
export const planIdlePings = (linkCount: number, isReadinessNeeded: boolean, tickIntervalMs: number): IdlePings => {
  const isFrequent = linkCount <= maxFrequentlyPinged || isReadinessNeeded
  const perSec = isFrequent ? frequentPingsPerSec : rarePingsPerSec
  let remaining = Math.ceil(perSec * tickIntervalMs / 1000)
  return { intervalMs: linkCount * 1000 / perSec, acquire: () => remaining-- > 0 }
}
