/**
 * Interactive transactions. A transaction uses one connection from begin to end. The key is checked at each step, and a
 * transaction that ends without the caller's commit is rolled back at the endpoint.
 */
import type { EndpointAction, EndpointAnswer } from '@egretyoke/fleet'
import { events } from '../events.js'
import { failed, notRun, outcomeUnknown } from '../state/outcome.js'
import type { Outcome, Served } from '../state/outcome.js'
import { sessionAfter } from '../state/session-positions.js'
import type { SessionState } from '../state/session-positions.js'
import type { Admitted } from './admission.js'
import type { CallerRequest } from './caller-request.js'
import type { EntryContext, GroupContext } from './entry-context.js'
import type { Turn } from './group-dispatcher.js'
import { enter, nextRequestId } from './statement-runner.js'

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
export type TransactionAnswer = { stepId: number, served: Served, isLast: boolean }

const expectedTransactionCostMs = 10
const rollbackTimeoutMs = 1_000

/** State of an open transaction. */
type OpenTransaction = { admitted: Admitted, group: GroupContext, turn: Turn, term: number, startedMs: number }

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
  let leave = () => {}
  let isSettled = false

  const served = (outcome: Outcome): Served =>
    ({ outcome, session, endpoint: open?.turn.endpoint ?? '', fromReplica: false })

  const begin = async (): Promise<Outcome> => {
    const entered = await enter(context, request)
    if ('kind' in entered) return entered
    leave = entered.leave
    const { admitted } = entered
    const group = context.group(admitted.route.group)
    if (!group) return notRun('unknownRoute')
    if (admitted.route.access !== 'write') return notRun('invalidRequest')
    const turn = await group.dispatcher.turn({
      requestId,
      workspace: admitted.workspaceName,
      weight: admitted.workspace.weight,
      costMs: expectedTransactionCostMs,
      use: 'held',
      deadlineMs: admitted.deadlineMs,
      read: undefined,
      isStillAllowed: () => !isCancelled() && admitted.isStillAllowed()
    })
    if (!turn.ok) return turn.val
    const term = group.record()?.term ?? 0
    open = { admitted, group, turn: turn.val, term, startedMs: clock() }
    const begun = await run({ kind: 'begin', expectedTerm: term })
    if (begun.kind === 'answer' && begun.answer.verdict === 'done') return { kind: 'done', result: Buffer.alloc(0) }
    // Only the begin has been sent, so nothing can have taken effect.
    isSettled = begun.kind === 'answer'
    return notRun('endpointDeclined')
  }

  type Ran = { kind: 'answer', answer: EndpointAnswer } | { kind: 'noAnswer', outcome: Outcome }

  const run = async (action: EndpointAction): Promise<Ran> => {
    const { turn, admitted, group } = open!
    const timeoutMs = Math.max(1, Math.ceil(admitted.deadlineMs - clock()))
    const askedAtMs = clock()
    const ran = await turn.connection.run(action, timeoutMs)
    if (ran.ok) {
      group.endpoints.noteAnswer(turn.endpoint, ran.val, askedAtMs)
      return { kind: 'answer', answer: ran.val }
    }
    const reason = ran.val.reason === 'timeout' ? 'timeout' : 'connectionLost'
    return { kind: 'noAnswer', outcome: outcomeUnknown(reason) }
  }

  /** Checks contact, key and deadline before a step. Resolves to the refusal, or undefined if the step may run. */
  const refusalNow = async (admitted: Admitted): Promise<Outcome | undefined> => {
    if (!await context.waitForContact()) return notRun('outOfContact')
    if (!admitted.isStillAllowed()) return notRun('keyRefused')
    return clock() >= admitted.deadlineMs ? notRun('deadline') : undefined
  }

  const execute = async (text: Buffer): Promise<Outcome> => {
    const { admitted, group, term } = open!
    const refused = await refusalNow(admitted)
    if (refused) return refused
    const taken = await context.takeRate(admitted.workspaceName)
    if (!taken.admitted) return notRun('rate', taken.retryAfterMs)
    const ran = await run({
      kind: 'execute',
      statement: text,
      writes: true,
      expectedTerm: term,
      confirmation: admitted.profile.confirmation,
      timeoutMs: Math.max(1, Math.ceil(admitted.deadlineMs - clock())),
      streamed: false
    })
    if (ran.kind === 'noAnswer') return failed('transactionClosed', 'the connection was lost; nothing took effect')
    const { answer } = ran
    if (answer.verdict === 'declined') return notRun('endpointDeclined', answer.retryAfterMs)
    if (answer.verdict !== 'done') return failed('endpointError', answer.reason)
    const check = await group.check.ofPrimary(answer)
    if (check !== 'good') return failed('transactionClosed', 'the primary was replaced; nothing took effect')
    return { kind: 'done', result: answer.result }
  }

  const commit = async (): Promise<Outcome> => {
    const { admitted, group } = open!
    const refused = await refusalNow(admitted)
    if (refused) return refused
    const timeoutMs = Math.max(1, Math.ceil(admitted.deadlineMs - clock()))
    const ran = await run({ kind: 'commit', confirmation: admitted.profile.confirmation, timeoutMs })
    if (ran.kind === 'noAnswer') return ran.outcome
    const { answer } = ran
    isSettled = true
    if (answer.verdict === 'declined') return notRun('endpointDeclined', answer.retryAfterMs)
    if (answer.verdict === 'failed') return failed('endpointError', answer.reason)
    if (answer.verdict === 'unconfirmed') return outcomeUnknown('unconfirmed')
    const check = await group.check.ofPrimary(answer)
    if (check === 'outOfContact') return outcomeUnknown('outOfContact')
    if (check !== 'good') return outcomeUnknown('primaryReplaced')
    session = sessionAfter(session, group.name, { term: answer.term, position: answer.position })
    return { kind: 'done', result: Buffer.alloc(0) }
  }

  const rollback = async (): Promise<Outcome> => {
    const ran = await run({ kind: 'rollback' })
    isSettled = ran.kind === 'answer'
    return { kind: 'done', result: Buffer.alloc(0) }
  }

  const take = async (action: TransactionAction): Promise<Outcome> => {
    if (action.kind === 'begin') return open ? notRun('invalidRequest') : await begin()
    if (!open || action.kind === 'invalid') return notRun('invalidRequest')
    if (action.kind === 'execute') return await execute(action.text)
    return action.kind === 'commit' ? await commit() : await rollback()
  }

  /**
   * True if the outcome of a step ends the transaction. A failed statement and a refusal by the rate limit leave it
   * open.
   */
  const endsWith = (action: TransactionAction, outcome: Outcome): boolean => {
    if (action.kind === 'commit' || action.kind === 'rollback') return true
    if (outcome.kind === 'done') return false
    if (outcome.kind === 'failed') return outcome.reason !== 'endpointError'
    return outcome.kind !== 'notRun' || outcome.reason !== 'rate'
  }

  /** Rolls back an unfinished transaction, so that the connection returns to the pool without one. */
  const cleanUp = async () => {
    leave()
    if (!open) return
    const { turn, startedMs } = open
    if (!isSettled) {
      const rolledBack = await turn.connection.run({ kind: 'rollback' }, rollbackTimeoutMs)
      log(events.transactionEnded, { request: requestId, endpoint: turn.endpoint, rolledBack: rolledBack.ok })
      if (!rolledBack.ok) turn.connection.close()
    }
    turn.release({ outcome: 'ignored', latencyMs: clock() - startedMs, kind: '' })
  }

  try {
    for await (const { stepId, action } of steps) {
      const outcome = await take(action)
      const isLast = endsWith(action, outcome)
      context.counters.outcome(open?.admitted.workspaceName ?? '', outcome)
      yield { stepId, served: served(outcome), isLast }
      if (isLast) return
    }
  } finally {
    await cleanUp()
  }
}
