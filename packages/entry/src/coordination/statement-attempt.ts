/**
 * One attempt to run a statement: acquires a connection to an endpoint, runs the statement and checks the answer.
 */
import type { Result } from '@egretyoke/common'
import type { ConnectionError, EndpointRequest, EndpointResponse } from '@egretyoke/fleet'
import type { FlightOutcome } from '@egretyoke/limits'
import { events } from '../events.js'
import { failed, notRun, outcomeUnknown } from '../state/outcome.js'
import type { Outcome } from '../state/outcome.js'
import type { LogPosition, SessionState } from '../state/session-positions.js'
import type { AdmittedRequest } from './admission.js'
import type { CheckResult } from './answer-check.js'
import type { EntryContext, GroupContext } from './entry-context.js'
import type { AssignedConnection } from './group-dispatcher.js'
import type { ReadRequirement } from './routing.js'
import { createRowForwarder } from './row-forwarder.js'
import type { RowForwarder } from './row-forwarder.js'
import { lostPosition, readRequirementOf, sessionAfterAnswer, sessionAfterLoss } from './session-rules.js'

/** A statement that passed admission. */
export type StatementTask = {
  requestId: string
  admitted: AdmittedRequest
  text: Buffer
  session: SessionState
  /** Receives the rows of a streamed answer; undefined if the answer is not streamed. */
  onRows: ((rows: Buffer) => Promise<boolean>) | undefined
  /** True once the caller has cancelled the call. */
  isCancelled: () => boolean
}

/** Result of one attempt. */
export type AttemptResult = {
  outcome: Outcome
  session: SessionState
  endpoint: string
  fromReplica: boolean
  retryAfterMs: number
  /** True if rows have been sent to the caller, so that the statement must not be retried. */
  hasSentRows: boolean
}

/** Expected time of a statement on a connection in milliseconds; the dispatcher corrects it after the statement. */
const expectedCostMs = 2

/** Data shared by the steps of one attempt. */
type Attempt = {
  context: EntryContext
  task: StatementTask
  group: GroupContext
}

const resultOf = (task: StatementTask, outcome: Outcome, rest: Partial<AttemptResult> = {}): AttemptResult => ({
  outcome,
  session: task.session,
  endpoint: '',
  fromReplica: false,
  retryAfterMs: 0,
  hasSentRows: false,
  ...rest
})

const unknownOutcomeOf = (check: CheckResult): Outcome =>
  outcomeUnknown(check === 'outOfContact' ? 'outOfContact' : 'primaryReplaced')

const isWrite = (task: StatementTask): boolean => task.admitted.route.access === 'write'

const acquireConnection = ({ task, group }: Attempt, readRequirement: ReadRequirement | undefined) => {
  const { admitted } = task
  return group.dispatcher.acquire({
    requestId: task.requestId,
    workspace: admitted.workspaceName,
    weight: admitted.workspace.weight,
    costMs: expectedCostMs,
    purpose: task.onRows ? 'held' : 'statement',
    deadlineMs: admitted.deadlineMs,
    readRequirement,
    isStillAllowed: () => !task.isCancelled() && admitted.isStillAllowed()
  })
}

const checkAnswer = async (
  { context, group }: Attempt,
  answer: LogPosition,
  isPrimary: boolean,
  requirement: ReadRequirement | undefined
): Promise<CheckResult> => {
  if (isPrimary) return await group.answerChecker.checkPrimary(answer)
  if (context.readPolicy === 'uncheckedReplicas') return 'good'
  return await group.answerChecker.checkReplica(
    answer, requirement ?? { sessionPosition: undefined, minPosition: undefined })
}

const stopReasonOf = async ({ context, task }: Attempt): Promise<Outcome | undefined> => {
  if (!task.admitted.isStillAllowed()) return failed('keyRefused', 'the key was withdrawn while rows were being sent')
  return await context.waitForContact() ? undefined : outcomeUnknown('outOfContact')
}

const actionOf = ({ task, group }: Attempt, timeoutMs: number): EndpointRequest => ({
  kind: 'execute',
  statement: task.text,
  writes: isWrite(task),
  expectedTerm: group.record()?.term ?? 0,
  confirmation: task.admitted.profile.confirmation,
  timeoutMs,
  streamed: task.onRows !== undefined
})

const flightOutcomeOf = (runResult: Result<EndpointResponse, ConnectionError>): FlightOutcome => {
  if (!runResult.ok) return 'ignored'
  return runResult.val.verdict === 'declined' ? 'declined' : 'answered'
}

/** Outcome of a statement without an answer; undefined if it was stopped because a replica's rows were too old. */
const outcomeOfConnectionError = (
  attempt: Attempt,
  assigned: AssignedConnection,
  error: ConnectionError,
  rows: RowForwarder
) => {
  const stopped = rows.stopOutcome()
  if (stopped) return stopped
  if (rows.isTooOld()) return undefined
  if (error.reason === 'notSent') return notRun('endpointNotConnected')
  if (error.reason === 'lost' && !rows.isAbandoned()) attempt.group.endpoints.recordFailure(assigned.endpoint)
  return outcomeUnknown(error.reason === 'timeout' ? 'timeout' : 'connectionLost')
}

/** Outcome of an answer; undefined if a replica's answer was too old, so that the primary may run the statement. */
const outcomeOfAnswer = async (
  attempt: Attempt,
  assigned: AssignedConnection,
  answer: EndpointResponse,
  requirement: ReadRequirement | undefined,
  hasSentRows: boolean
): Promise<Outcome | undefined> => {
  if (answer.verdict === 'declined') return notRun('endpointDeclined', answer.retryAfterMs)
  if (answer.verdict === 'unconfirmed') return outcomeUnknown('unconfirmed')
  const check = await checkAnswer(attempt, answer, assigned.isPrimary, requirement)
  // Rows that have been sent cannot be undone, so the statement must not be restarted.
  if (check === 'tooOld' && !hasSentRows) return undefined
  if (check !== 'good') return unknownOutcomeOf(check)
  if (answer.verdict === 'failed') return failed('endpointError', answer.reason)
  return { kind: 'done', result: answer.result }
}

/** Runs the statement on an acquired connection. Resolves to undefined if a replica's answer was too old. */
const runOnConnection = async (
  attempt: Attempt,
  assigned: AssignedConnection,
  requirement: ReadRequirement | undefined
): Promise<AttemptResult | undefined> => {
  const { context, task, group } = attempt
  const sentAtMs = context.clock()
  const timeoutMs = Math.max(1, Math.ceil(task.admitted.deadlineMs - sentAtMs))
  const rows = createRowForwarder({
    sendRows: task.onRows,
    check: chunk => checkAnswer(attempt, chunk, assigned.isPrimary, requirement),
    stopReason: () => stopReasonOf(attempt)
  })
  // A read is aborted when its endpoint becomes unreachable, because it can be retried elsewhere. A write is not,
  // because its outcome may still arrive.
  const removeCallback = isWrite(task) ? () => {} : group.endpoints.onLost(assigned.endpoint, assigned.connection.close)
  const runResult = await assigned.connection.run(actionOf(attempt, timeoutMs), timeoutMs, rows.onRows)
  removeCallback()
  rows.end()
  const { workspaceName, routeName } = task.admitted
  const kind = `${workspaceName}/${routeName}`
  assigned.release({ outcome: flightOutcomeOf(runResult), latencyMs: context.clock() - sentAtMs, kind })
  const servedBy = { endpoint: assigned.endpoint, fromReplica: !assigned.isPrimary, hasSentRows: rows.hasSentRows() }
  if (!runResult.ok) {
    const outcome = outcomeOfConnectionError(attempt, assigned, runResult.val, rows)
    return outcome && resultOf(task, outcome, servedBy)
  }
  const answer = runResult.val
  group.endpoints.recordAnswer(assigned.endpoint, answer, sentAtMs)
  const outcome = await outcomeOfAnswer(attempt, assigned, answer, requirement, rows.hasSentRows())
  if (!outcome) return undefined
  const session = outcome.kind === 'done'
    ? sessionAfterAnswer(task.session, !isWrite(task), group.name, assigned.isPrimary, answer)
    : task.session
  return resultOf(task, outcome, { ...servedBy, session, retryAfterMs: answer.retryAfterMs })
}

/**
 * Runs the statement at the primary after a replica's answer was discarded. The outcome is never "not run", because the
 * statement has already run at the replica.
 */
const runAtPrimary = async (attempt: Attempt): Promise<AttemptResult> => {
  const { task } = attempt
  const assigned = await acquireConnection(attempt, undefined)
  if (!assigned.ok) return resultOf(task, outcomeUnknown('timeout'))
  return await runOnConnection(attempt, assigned.val, undefined) ?? resultOf(task, outcomeUnknown('primaryReplaced'))
}

/** Runs one attempt, which may use a replica and then the primary. */
export const attemptStatement = async (context: EntryContext, task: StatementTask): Promise<AttemptResult> => {
  const { admitted, session } = task
  const group = context.group(admitted.route.group)
  if (!group) return resultOf(task, notRun('unknownRoute'))
  const lost = lostPosition(group, session)
  if (lost) {
    const detail = `group ${group.name} lost position ${lost.position} of term ${lost.term} in a failover`
    return resultOf(task, failed('sessionWriteLost', detail), { session: sessionAfterLoss(group, session) })
  }
  const attempt = { context, task, group }
  const requirement = readRequirementOf(context, group, admitted, session)
  const assigned = await acquireConnection(attempt, requirement)
  if (!assigned.ok) return resultOf(task, assigned.val)
  const firstResult = await runOnConnection(attempt, assigned.val, requirement)
  if (firstResult) return firstResult
  context.counters.answerTooOld()
  context.log(events.answerTooOld, { request: task.requestId, group: group.name, endpoint: assigned.val.endpoint })
  return await runAtPrimary(attempt)
}
