/**
 * Interactive transactions. A transaction uses one connection from begin to end. The key is checked at each step, and a
 * transaction that ends without the caller's commit is rolled back at the endpoint.
 */
import type { EndpointRequest, EndpointResponse } from '@egretyoke/fleet'
import { events } from '../events.js'
import { failed, notRun, outcomeUnknown } from '../state/outcome.js'
import type { Outcome, RequestResult } from '../state/outcome.js'
import { advanceSession } from '../state/session-positions.js'
import type { SessionState } from '../state/session-positions.js'
import type { AdmittedRequest } from './admission.js'
import type { CallerRequest } from './caller-request.js'
import type { EntryContext, GroupContext } from './entry-context.js'
import type { AssignedConnection } from './group-dispatcher.js'
import { startRequest, nextRequestId } from './statement-runner.js'

/** Action of a caller's step. */
export type TransactionAction =
  | { kind: 'begin' }
  | { kind: 'execute', text: Buffer }
  | { kind: 'commit' }
  | { kind: 'rollback' }
  /** Malformed, or larger than the size limit. */
  | { kind: 'invalid' }

/** A step with its id, which its answer repeats. */
export type TransactionStep = { stepId: number, action: TransactionAction }

/** Answer to a step. If `isLast` is set, the transaction has ended. */
export type TransactionAnswer = { stepId: number, result: RequestResult, isLast: boolean }

const expectedTransactionCostMs = 10
const rollbackTimeoutMs = 1_000

/** State of an open transaction. */
type OpenTransaction = {
  admitted: AdmittedRequest
  group: GroupContext
  assigned: AssignedConnection
  term: number
  startedMs: number
}

/** Runs one transaction: executes its steps, yields an answer for each, and cleans up however it ends. */
export async function * runTransaction (
  context: EntryContext,
  request: CallerRequest,
  steps: AsyncIterable<TransactionStep>,
  isCancelled: () => boolean
): AsyncGenerator<TransactionAnswer> {
  const { clock, log } = context
  const requestId = nextRequestId()
  let session: SessionState = request.session
  let open: OpenTransaction | undefined
  let release = () => {}
  let isSettled = false

  const resultOf = (outcome: Outcome): RequestResult =>
    ({ outcome, session, endpoint: open?.assigned.endpoint ?? '', fromReplica: false })

  const begin = async (): Promise<Outcome> => {
    const started = await startRequest(context, request)
    if ('kind' in started) return started
    release = started.release
    const { admitted } = started
    const group = context.group(admitted.route.group)
    if (!group) return notRun('unknownRoute')
    if (admitted.route.access !== 'write') return notRun('invalidRequest')
    const assigned = await group.dispatcher.acquire({
      requestId,
      workspace: admitted.workspaceName,
      weight: admitted.workspace.weight,
      costMs: expectedTransactionCostMs,
      purpose: 'held',
      deadlineMs: admitted.deadlineMs,
      readRequirement: undefined,
      isStillAllowed: () => !isCancelled() && admitted.isStillAllowed()
    })
    if (!assigned.ok) return assigned.val
    const term = group.record()?.term ?? 0
    open = { admitted, group, assigned: assigned.val, term, startedMs: clock() }
    const beginReply = await run({ kind: 'begin', expectedTerm: term })
    if (beginReply.kind === 'answer' &&
      beginReply.answer.verdict === 'done') return { kind: 'done', result: Buffer.alloc(0) }
    // Only the begin has been sent, so nothing can have taken effect.
    isSettled = beginReply.kind === 'answer'
    return notRun('endpointDeclined')
  }

  type RunResult = { kind: 'answer', answer: EndpointResponse } | { kind: 'noAnswer', outcome: Outcome }

  const run = async (action: EndpointRequest): Promise<RunResult> => {
    const { assigned, admitted, group } = open!
    const timeoutMs = Math.max(1, Math.ceil(admitted.deadlineMs - clock()))
    const sentAtMs = clock()
    const runResult = await assigned.connection.run(action, timeoutMs)
    if (runResult.ok) {
      group.endpoints.recordAnswer(assigned.endpoint, runResult.val, sentAtMs)
      return { kind: 'answer', answer: runResult.val }
    }
    const reason = runResult.val.reason === 'timeout' ? 'timeout' : 'connectionLost'
    return { kind: 'noAnswer', outcome: outcomeUnknown(reason) }
  }

  /** Checks contact, key and deadline before a step. Resolves to the refusal, or undefined if the step may run. */
  const stepRefusal = async (admitted: AdmittedRequest): Promise<Outcome | undefined> => {
    if (!await context.waitForContact()) return notRun('outOfContact')
    if (!admitted.isStillAllowed()) return notRun('keyRefused')
    return clock() >= admitted.deadlineMs ? notRun('deadline') : undefined
  }

  const execute = async (text: Buffer): Promise<Outcome> => {
    const { admitted, group, term } = open!
    const refusal = await stepRefusal(admitted)
    if (refusal) return refusal
    const rateResult = await context.acquireRateToken(admitted.workspaceName)
    if (!rateResult.admitted) return notRun('rate', rateResult.retryAfterMs)
    const reply = await run({
      kind: 'execute',
      statement: text,
      writes: true,
      expectedTerm: term,
      confirmation: admitted.profile.confirmation,
      timeoutMs: Math.max(1, Math.ceil(admitted.deadlineMs - clock())),
      streamed: false
    })
    if (reply.kind === 'noAnswer') return failed('transactionClosed', 'the connection was lost; nothing took effect')
    const { answer } = reply
    if (answer.verdict === 'declined') return notRun('endpointDeclined', answer.retryAfterMs)
    if (answer.verdict !== 'done') return failed('endpointError', answer.reason)
    const check = await group.answerChecker.checkPrimary(answer)
    if (check !== 'good') return failed('transactionClosed', 'the primary was replaced; nothing took effect')
    return { kind: 'done', result: answer.result }
  }

  const commit = async (): Promise<Outcome> => {
    const { admitted, group } = open!
    const refusal = await stepRefusal(admitted)
    if (refusal) return refusal
    const timeoutMs = Math.max(1, Math.ceil(admitted.deadlineMs - clock()))
    const reply = await run({ kind: 'commit', confirmation: admitted.profile.confirmation, timeoutMs })
    if (reply.kind === 'noAnswer') return reply.outcome
    const { answer } = reply
    isSettled = true
    if (answer.verdict === 'declined') return notRun('endpointDeclined', answer.retryAfterMs)
    if (answer.verdict === 'failed') return failed('endpointError', answer.reason)
    if (answer.verdict === 'unconfirmed') return outcomeUnknown('unconfirmed')
    const check = await group.answerChecker.checkPrimary(answer)
    if (check === 'outOfContact') return outcomeUnknown('outOfContact')
    if (check !== 'good') return outcomeUnknown('primaryReplaced')
    session = advanceSession(session, group.name, { term: answer.term, position: answer.position })
    return { kind: 'done', result: Buffer.alloc(0) }
  }

  const rollback = async (): Promise<Outcome> => {
    const reply = await run({ kind: 'rollback' })
    isSettled = reply.kind === 'answer'
    return { kind: 'done', result: Buffer.alloc(0) }
  }

  const executeStep = async (action: TransactionAction): Promise<Outcome> => {
    if (action.kind === 'begin') return open ? notRun('invalidRequest') : await begin()
    if (!open || action.kind === 'invalid') return notRun('invalidRequest')
    if (action.kind === 'execute') return await execute(action.text)
    return action.kind === 'commit' ? await commit() : await rollback()
  }

  /**
   * True if the outcome of a step ends the transaction. A failed statement and a refusal by the rate limit leave it
   * open.
   */
  const endsTransaction = (action: TransactionAction, outcome: Outcome): boolean => {
    if (action.kind === 'commit' || action.kind === 'rollback') return true
    if (outcome.kind === 'done') return false
    if (outcome.kind === 'failed') return outcome.reason !== 'endpointError'
    return outcome.kind !== 'notRun' || outcome.reason !== 'rate'
  }

  /** Rolls back an unfinished transaction, so that the connection returns to the pool without one. */
  const cleanUp = async () => {
    release()
    if (!open) return
    const { assigned, startedMs } = open
    if (!isSettled) {
      const rolledBack = await assigned.connection.run({ kind: 'rollback' }, rollbackTimeoutMs)
      log(events.transactionEnded, { request: requestId, endpoint: assigned.endpoint, rolledBack: rolledBack.ok })
      if (!rolledBack.ok) assigned.connection.close()
    }
    assigned.release({ outcome: 'ignored', latencyMs: clock() - startedMs, kind: '' })
  }

  try {
    for await (const { stepId, action } of steps) {
      const outcome = await executeStep(action)
      const isLast = endsTransaction(action, outcome)
      context.counters.outcome(open?.admitted.workspaceName ?? '', outcome)
      yield { stepId, result: resultOf(outcome), isLast }
      if (isLast) return
    }
  } finally {
    await cleanUp()
  }
}
