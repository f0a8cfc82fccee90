/**
 * One attempt to run a statement: acquires a connection to an endpoint, runs the statement and checks the answer.
 */
import type { Result } from '@egretyoke/common'
import type { ConnectionError, EndpointAction, EndpointAnswer } from '@egretyoke/fleet'
import type { FlightOutcome } from '@egretyoke/limits'
import { events } from '../events.js'
import { failed, notRun, outcomeUnknown } from '../state/outcome.js'
import type { Outcome } from '../state/outcome.js'
import type { LogPlace, SessionState } from '../state/session-positions.js'
import type { Admitted } from './admission.js'
import type { CheckResult } from './answer-check.js'
import type { EntryContext, GroupContext } from './entry-context.js'
import type { Turn } from './group-dispatcher.js'
import type { ReadNeed } from './routing.js'
import { createRowsPassage } from './rows-passage.js'
import type { RowsPassage } from './rows-passage.js'
import { lostPlace, readNeed, sessionAfterAnswer, sessionAfterLoss } from './session-rules.js'

/** A statement that passed admission. */
export type StatementTask = {
  requestId: string
  admitted: Admitted
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

const unknownOf = (check: CheckResult): Outcome =>
  outcomeUnknown(check === 'outOfContact' ? 'outOfContact' : 'primaryReplaced')

const isWriteOf = (task: StatementTask): boolean => task.admitted.route.access === 'write'

const takeTurn = ({ task, group }: Attempt, read: ReadNeed | undefined) => {
  const { admitted } = task
  return group.dispatcher.turn({
    requestId: task.requestId,
    workspace: admitted.workspaceName,
    weight: admitted.workspace.weight,
    costMs: expectedCostMs,
    use: task.onRows ? 'held' : 'statement',
    deadlineMs: admitted.deadlineMs,
    read,
    isStillAllowed: () => !task.isCancelled() && admitted.isStillAllowed()
  })
}

const checkAnswer = async (
  { context, group }: Attempt,
  answer: LogPlace,
  isPrimary: boolean,
  need: ReadNeed | undefined
): Promise<CheckResult> => {
  if (isPrimary) return await group.check.ofPrimary(answer)
  if (context.readPolicy === 'uncheckedReplicas') return 'good'
  return await group.check.ofReplica(answer, need ?? { place: undefined, minPosition: undefined })
}

const reasonToStopRows = async ({ context, task }: Attempt): Promise<Outcome | undefined> => {
  if (!task.admitted.isStillAllowed()) return failed('keyRefused', 'the key was withdrawn while rows were being sent')
  return await context.waitForContact() ? undefined : outcomeUnknown('outOfContact')
}

const actionOf = ({ task, group }: Attempt, timeoutMs: number): EndpointAction => ({
  kind: 'execute',
  statement: task.text,
  writes: isWriteOf(task),
  expectedTerm: group.record()?.term ?? 0,
  confirmation: task.admitted.profile.confirmation,
  timeoutMs,
  streamed: task.onRows !== undefined
})

const flightOutcomeOf = (ran: Result<EndpointAnswer, ConnectionError>): FlightOutcome => {
  if (!ran.ok) return 'ignored'
  return ran.val.verdict === 'declined' ? 'declined' : 'answered'
}

/** Outcome of a statement without an answer; undefined if it was stopped because a replica's rows were too old. */
const outcomeOfLoss = (attempt: Attempt, turn: Turn, error: ConnectionError, rows: RowsPassage) => {
  const stopped = rows.stopped()
  if (stopped) return stopped
  if (rows.isTooOld()) return undefined
  if (error.reason === 'notSent') return notRun('endpointNotConnected')
  if (error.reason === 'lost' && !rows.isGivenUp()) attempt.group.endpoints.noteFailure(turn.endpoint)
  return outcomeUnknown(error.reason === 'timeout' ? 'timeout' : 'connectionLost')
}

/** Outcome of an answer; undefined if a replica's answer was too old, so that the primary may run the statement. */
const outcomeOfAnswer = async (
  attempt: Attempt,
  turn: Turn,
  answer: EndpointAnswer,
  need: ReadNeed | undefined,
  hasSentRows: boolean
): Promise<Outcome | undefined> => {
  if (answer.verdict === 'declined') return notRun('endpointDeclined', answer.retryAfterMs)
  if (answer.verdict === 'unconfirmed') return outcomeUnknown('unconfirmed')
  const check = await checkAnswer(attempt, answer, turn.isPrimary, need)
  // Rows that have been sent cannot be undone, so the statement must not be restarted.
  if (check === 'tooOld' && !hasSentRows) return undefined
  if (check !== 'good') return unknownOf(check)
  if (answer.verdict === 'failed') return failed('endpointError', answer.reason)
  return { kind: 'done', result: answer.result }
}

/** Runs the statement on an acquired connection. Resolves to undefined if a replica's answer was too old. */
const useTurn = async (
  attempt: Attempt,
  turn: Turn,
  need: ReadNeed | undefined
): Promise<AttemptResult | undefined> => {
  const { context, task, group } = attempt
  const askedAtMs = context.clock()
  const timeoutMs = Math.max(1, Math.ceil(task.admitted.deadlineMs - askedAtMs))
  const rows = createRowsPassage({
    sendRows: task.onRows,
    check: chunk => checkAnswer(attempt, chunk, turn.isPrimary, need),
    reasonToStop: () => reasonToStopRows(attempt)
  })
  // A read is aborted when its endpoint becomes unreachable, because it can be retried elsewhere. A write is not,
  // because its outcome may still arrive.
  const stopWatching = isWriteOf(task) ? () => {} : group.endpoints.onLost(turn.endpoint, turn.connection.close)
  const ran = await turn.connection.run(actionOf(attempt, timeoutMs), timeoutMs, rows.onRows)
  stopWatching()
  rows.end()
  const { workspaceName, routeName } = task.admitted
  const kind = `${workspaceName}/${routeName}`
  turn.release({ outcome: flightOutcomeOf(ran), latencyMs: context.clock() - askedAtMs, kind })
  const served = { endpoint: turn.endpoint, fromReplica: !turn.isPrimary, hasSentRows: rows.hasSentRows() }
  if (!ran.ok) {
    const outcome = outcomeOfLoss(attempt, turn, ran.val, rows)
    return outcome && resultOf(task, outcome, served)
  }
  const answer = ran.val
  group.endpoints.noteAnswer(turn.endpoint, answer, askedAtMs)
  const outcome = await outcomeOfAnswer(attempt, turn, answer, need, rows.hasSentRows())
  if (!outcome) return undefined
  const session = outcome.kind === 'done'
    ? sessionAfterAnswer(task.session, !isWriteOf(task), group.name, turn.isPrimary, answer)
    : task.session
  return resultOf(task, outcome, { ...served, session, retryAfterMs: answer.retryAfterMs })
}

/**
 * Runs the statement at the primary after a replica's answer was discarded. The outcome is never "not run", because the
 * statement has already run at the replica.
 */
const askPrimaryInstead = async (attempt: Attempt): Promise<AttemptResult> => {
  const { task } = attempt
  const turn = await takeTurn(attempt, undefined)
  if (!turn.ok) return resultOf(task, outcomeUnknown('timeout'))
  return await useTurn(attempt, turn.val, undefined) ?? resultOf(task, outcomeUnknown('primaryReplaced'))
}

/** Runs one attempt, which may use a replica and then the primary. */
export const attemptStatement = async (context: EntryContext, task: StatementTask): Promise<AttemptResult> => {
  const { admitted, session } = task
  const group = context.group(admitted.route.group)
  if (!group) return resultOf(task, notRun('unknownRoute'))
  const lost = lostPlace(group, session)
  if (lost) {
    const detail = `group ${group.name} lost position ${lost.position} of term ${lost.term} in a failover`
    return resultOf(task, failed('sessionWriteLost', detail), { session: sessionAfterLoss(group, session) })
  }
  const attempt = { context, task, group }
  const need = readNeed(context, group, admitted, session)
  const turn = await takeTurn(attempt, need)
  if (!turn.ok) return resultOf(task, turn.val)
  const first = await useTurn(attempt, turn.val, need)
  if (first) return first
  context.counters.answerTooOld()
  context.log(events.answerTooOld, { request: task.requestId, group: group.name, endpoint: turn.val.endpoint })
  return await askPrimaryInstead(attempt)
}
