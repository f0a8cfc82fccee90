/**
 * Encodes request results as answers to callers.
 */
import type { CallerMessages } from '@egretyoke/protocol'
import type { Outcome, RequestResult } from '../state/outcome.js'
import { encodeToken } from './session-token.js'

const encodeOutcome = (outcome: Outcome): Partial<CallerMessages.Answer> => {
  switch (outcome.kind) {
    case 'done': return { done: { result: outcome.result } }
    case 'notRun': return { notRun: { reason: outcome.reason, retryAfterMs: Math.ceil(outcome.retryAfterMs) } }
    case 'outcomeUnknown': return { outcomeUnknown: { reason: outcome.reason } }
    case 'failed': return { failed: { reason: outcome.reason, detail: outcome.detail } }
  }
}

/** Encodes the answer to one request. */
export const encodeAnswer = (result: RequestResult): CallerMessages.Answer => ({
  ...encodeOutcome(result.outcome),
  sessionToken: encodeToken(result.session),
  endpoint: result.endpoint,
  fromReplica: result.fromReplica
})
