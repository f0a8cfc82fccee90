/**
 * Outcomes of requests, as reported to callers.
 */
import type { SessionState } from './session-positions.js'

/** Reasons why a request did not run. docs/OPERATIONS.md describes the remedy for each. */
export type RefusalReason =
  | 'outOfContact'
  | 'draining'
  | 'dataCentreOut'
  | 'keyMissing'
  | 'keyRefused'
  | 'unknownRoute'
  | 'unknownProfile'
  | 'invalidRequest'
  | 'statementTooLarge'
  | 'rate'
  | 'concurrency'
  | 'queueFull'
  | 'deadline'
  | 'endpointDeclined'
  | 'endpointNotConnected'
  | 'tooManyTransactions'

/** Reasons why it is unknown whether a request took effect. */
export type UnknownReason = 'connectionLost' | 'timeout' | 'unconfirmed' | 'primaryReplaced' | 'outOfContact'

/** Reasons why a request failed. `sessionWriteLost`: a failover lost a write that was confirmed to this session. */
export type FailureReason = 'endpointError' | 'keyRefused' | 'sessionWriteLost' | 'slowReader' | 'transactionClosed'

/** The outcome of a request. */
export type Outcome =
  | { kind: 'done', result: Buffer }
  | { kind: 'notRun', reason: RefusalReason, retryAfterMs: number }
  | { kind: 'outcomeUnknown', reason: UnknownReason }
  | { kind: 'failed', reason: FailureReason, detail: string }

/** Result of a request: its outcome, the session state after it, and the endpoint that served it. */
export type RequestResult = {
  outcome: Outcome
  session: SessionState
  endpoint: string
  fromReplica: boolean
}

/** Creates the outcome of a request that did not run. */
export const notRun = (reason: RefusalReason, retryAfterMs = 0): Outcome => ({ kind: 'notRun', reason, retryAfterMs })

/** Creates an unknown outcome. */
export const outcomeUnknown = (reason: UnknownReason): Outcome => ({ kind: 'outcomeUnknown', reason })

/** Creates the outcome of a request that failed. */
export const failed = (reason: FailureReason, detail: string): Outcome => ({ kind: 'failed', reason, detail })
