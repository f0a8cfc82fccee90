/**
 * Runs single statements: admission, rate limit, attempts with retries, and the outcome.
 */
import { sleepMs } from '@egretyoke/common'
import { events } from '../events.js'
import { notRun } from '../state/outcome.js'
import type { Outcome, RequestResult } from '../state/outcome.js'
import type { AdmittedRequest } from './admission.js'
import type { CallerRequest } from './caller-request.js'
import type { EntryContext } from './entry-context.js'
import { maxRequestAttempts, retryDelayMs } from './retry-policy.js'
import { attemptStatement } from './statement-attempt.js'
import type { AttemptResult, StatementTask } from './statement-attempt.js'

/** A caller's statement before admission. */
export type StatementCall = {
  request: CallerRequest
  text: Buffer
  onRows: ((rows: Buffer) => Promise<boolean>) | undefined
  isCancelled: () => boolean
}

let lastRequestNumber = 0

/** Creates a request id, which is unique within this process. */
export const nextRequestId = (): string => String(++lastRequestNumber)

/** A request that passed admission, rate and concurrency limits. `release` must be called when it ends. */
export type StartedRequest = { admitted: AdmittedRequest, release: () => void }

/** Applies admission, concurrency and rate limits to a request. Resolves to its outcome if it is refused. */
export const startRequest = async (
  context: EntryContext,
  request: CallerRequest
): Promise<StartedRequest | Outcome> => {
  await context.waitForContact()
  const admitted = context.admit(request)
  if (!admitted.ok) return admitted.val
  const { workspaceName, profileName, profile } = admitted.val
  if (!context.concurrency.tryAcquire(workspaceName, profileName, profile.maxConcurrency)) {
    return notRun('concurrency', retryDelayMs(1, 0))
  }
  const release = () => context.concurrency.release(workspaceName, profileName)
  const rateResult = await context.acquireRateToken(workspaceName)
  if (rateResult.admitted) return { admitted: admitted.val, release }
  release()
  return notRun('rate', rateResult.retryAfterMs)
}

/** Yields the number of each permitted attempt, after waiting for its retry delay. */
async function * attempts (context: EntryContext, task: StatementTask, lastResult: () => AttemptResult | undefined) {
  const { route, deadlineMs } = task.admitted
  const isRepeatable = route.access === 'read' || route.repeatable
  context.retryBudget.recordRequest()
  yield 1
  for (let number = 2; number <= maxRequestAttempts; number++) {
    const result = lastResult()
    if (!result || result.hasSentRows || task.isCancelled()) return
    if (!context.retryPolicy({ outcome: result.outcome, isRepeatable })) return
    const delayMs = retryDelayMs(number - 1, result.retryAfterMs)
    if (context.clock() + delayMs >= deadlineMs || !context.retryBudget.tryRetry()) return
    const reason = 'reason' in result.outcome ? result.outcome.reason : ''
    context.log(events.retried, { request: task.requestId, attempt: number, reason, delayMs })
    context.counters.retry()
    await sleepMs(delayMs)
    if (!task.admitted.isStillAllowed()) return
    yield number
  }
}

const logEnd = (context: EntryContext, requestId: string, route: string, outcome: Outcome) => {
  if (outcome.kind === 'notRun') context.log(events.refused, { request: requestId, route, reason: outcome.reason })
  if (outcome.kind !== 'outcomeUnknown') return
  context.log(events.outcomeUnknown, { request: requestId, route, reason: outcome.reason })
}

/** Keeps the unknown outcome of an earlier attempt if a later one did not run, because the earlier one may have run. */
const combinedOutcome = (earlier: Outcome | undefined, later: AttemptResult): Outcome => {
  if (earlier?.kind === 'outcomeUnknown' && later.outcome.kind === 'notRun') return earlier
  return later.outcome
}

/** Runs one statement, with retries. */
export const runStatement = async (context: EntryContext, call: StatementCall): Promise<RequestResult> => {
  const { request } = call
  const requestId = nextRequestId()
  const startedMs = context.clock()
  const notServed = { session: request.session, endpoint: '', fromReplica: false }
  const started = await startRequest(context, request)
  if ('kind' in started) {
    logEnd(context, requestId, request.routeName, started)
    context.counters.outcome('', started)
    return { outcome: started, ...notServed }
  }
  const { admitted, release } = started
  const task: StatementTask = {
    requestId,
    admitted,
    text: call.text,
    session: request.session,
    onRows: call.onRows,
    isCancelled: call.isCancelled
  }
  let lastResult: AttemptResult | undefined
  let outcome: Outcome | undefined
  try {
    for await (const _ of attempts(context, task, () => lastResult)) {
      lastResult = await attemptStatement(context, task)
      outcome = combinedOutcome(outcome, lastResult)
      if (outcome.kind === 'done' || outcome.kind === 'failed') break
    }
  } finally {
    release()
  }
  const result = { ...notServed, ...lastResult, outcome: outcome! }
  logEnd(context, requestId, request.routeName, result.outcome)
  context.counters.outcome(admitted.workspaceName, result.outcome)
  context.counters.latency(context.clock() - startedMs)
  if (result.outcome.kind === 'done') context.counters.served(admitted.route.access === 'read', result.fromReplica)
  return result
}
