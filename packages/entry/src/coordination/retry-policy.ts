/**
 * Decides whether a request is retried. If an endpoint reports that a request did not run, any request may be retried.
 * After an unknown outcome, only requests that are safe to run twice may be retried. This corresponds to the HTTP rule
 * "Retry 429 on every request, 502 on reads only". The experiment `retries` compares the policies.
 */
import type { Outcome } from '../state/outcome.js'

/** Input of a retry policy. */
export type RetryInput = {
  outcome: Outcome
  /** True for reads, and for writes on routes that are marked as repeatable. */
  isRepeatable: boolean
}

/** Returns true if the request may be retried. */
export type RetryPolicy = (input: RetryInput) => boolean

/** True if an endpoint refused the request or could not be reached, so that it did not run. */
const isEndpointRefusal = (outcome: Outcome): boolean =>
  outcome.kind === 'notRun' && (outcome.reason === 'endpointDeclined' || outcome.reason === 'endpointNotConnected')

/** Retries refusals by endpoints, and unknown outcomes of repeatable requests. This is the default. */
export const retryByOutcome: RetryPolicy = ({ outcome, isRepeatable }) =>
  isEndpointRefusal(outcome) || (outcome.kind === 'outcomeUnknown' && isRepeatable)

/** Never retries. For comparison in experiments. */
export const retryNever: RetryPolicy = () => false

/** Retries all unknown outcomes, including those of writes. For comparison in experiments only. */
export const retryAlways: RetryPolicy = ({ outcome }) => isEndpointRefusal(outcome) || outcome.kind === 'outcomeUnknown'

/** Retry policies, by their names in the settings. */
export const retryPolicies = {
  byOutcome: retryByOutcome,
  never: retryNever,
  always: retryAlways
} as const

const firstDelayMs = 5
const maxDelayMs = 500
const maxAttempts = 8

/** Delay before the next attempt: the exponential backoff or `retryAfterMs`, whichever is longer, up to a maximum. */
export const retryDelayMs = (attempt: number, retryAfterMs: number): number =>
  Math.min(maxDelayMs, Math.max(retryAfterMs, firstDelayMs * 2 ** (attempt - 1)))

/** Maximum number of attempts of one request, including the first. */
export const maxRequestAttempts = maxAttempts
