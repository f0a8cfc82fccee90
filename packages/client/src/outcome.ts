/**
 * Outcomes of requests, as the caller library returns them.
 */
import type { CallerMessages } from '@egretyoke/protocol'

/** The request ran, and its effect is as durable as its profile specifies. */
export type Done = { kind: 'done', result: Buffer, endpoint: string, fromReplica: boolean }

/** The request did not run and had no effect. `retryAfterMs` is 0 when a retry alone is not expected to help. */
export type NotRun = { kind: 'notRun', reason: string, retryAfterMs: number }

/** The request may or may not have taken effect. */
export type OutcomeUnknown = { kind: 'outcomeUnknown', reason: string }

/** The database reported an error; no write took effect. */
export type Failed = { kind: 'failed', reason: string, detail: string }

/** Outcome of a request. */
export type Outcome = Done | NotRun | OutcomeUnknown | Failed

/** Error with an outcome, thrown by streams that end before the answer is complete. */
export type OutcomeError = Error & { outcome: Outcome }

/** Builds a `notRun` outcome. */
export const notRun = (reason: string, retryAfterMs = 0): NotRun => ({ kind: 'notRun', reason, retryAfterMs })

/** Builds an `outcomeUnknown` outcome. */
export const outcomeUnknown = (reason: string): OutcomeUnknown => ({ kind: 'outcomeUnknown', reason })

/** Builds a `failed` outcome. */
export const failed = (reason: string, detail = ''): Failed => ({ kind: 'failed', reason, detail })

/** Wraps an outcome in an error. */
export const outcomeError = (outcome: Outcome): OutcomeError => {
  const reason = 'reason' in outcome ? `: ${outcome.reason}` : ''
  return Object.assign(new Error(`${outcome.kind}${reason}`), { outcome })
}

/** True when a thrown value is an error with an outcome. */
export const isOutcomeError = (thrown: unknown): thrown is OutcomeError =>
  thrown instanceof Error && 'outcome' in thrown

/** Converts an answer to its outcome. An answer without one counts as `outcomeUnknown`. */
export const outcomeOf = (answer: CallerMessages.Answer__Output): Outcome => {
  if (answer.done) {
    return { kind: 'done', result: answer.done.result, endpoint: answer.endpoint, fromReplica: answer.fromReplica }
  }
  if (answer.notRun) return notRun(answer.notRun.reason, answer.notRun.retryAfterMs)
  if (answer.outcomeUnknown) return outcomeUnknown(answer.outcomeUnknown.reason)
  if (answer.failed) return failed(answer.failed.reason, answer.failed.detail)
  return outcomeUnknown('emptyAnswer')
}
