/**
 * Single statements, with the result in one answer or as a stream.
 */
import type { ServiceError } from '@grpc/grpc-js'
import type { CallerMessages } from '@egretyoke/protocol'
import { outcomeError, outcomeOf, outcomeUnknown } from './outcome.js'
import type { Done, Outcome } from './outcome.js'
import { callErrorOutcome, deadlineOf, metadataOf, runWithFailover } from './request.js'
import type { AttemptTarget, Request } from './request.js'
import type { SessionTracker } from './session-state.js'
import type { VmSelector } from './vm-selector.js'

type StatementResult = { outcome: Outcome, token: Buffer | undefined }

const resultOfAnswer = (answer: CallerMessages.Answer__Output): StatementResult =>
  ({ outcome: outcomeOf(answer), token: answer.sessionToken })

const resultOfCallError = (error: Partial<ServiceError>): StatementResult =>
  ({ outcome: callErrorOutcome(error), token: undefined })

/** Runs one statement. */
export const executeStatement = (
  vmSelector: VmSelector,
  tracker: SessionTracker,
  request: Request,
  text: Buffer
): Promise<Outcome> => runWithFailover(vmSelector, request, async ({ vm, timeoutMs }) => {
  const sentState = tracker.current()
  const metadata = metadataOf(request, sentState, timeoutMs)
  const result = await new Promise<StatementResult>(resolve => {
    vm.client.Execute({ text }, metadata, { deadline: deadlineOf(timeoutMs) }, (error, answer) => {
      resolve(error || !answer ? resultOfCallError(error ?? {}) : resultOfAnswer(answer))
    })
  })
  tracker.record(sentState, { ...result, isWrite: request.isWrite })
  return result.outcome
})

type Part = CallerMessages.StreamPart__Output

/** Yields the rows of one attempt and returns its outcome, which is unknown when the stream has no end part. */
async function * streamAttempt (
  tracker: SessionTracker,
  request: Request,
  text: Buffer,
  { vm, timeoutMs }: AttemptTarget
): AsyncGenerator<Buffer, Outcome> {
  const sentState = tracker.current()
  const call = vm.client.Stream({ text }, metadataOf(request, sentState, timeoutMs), {
    deadline: deadlineOf(timeoutMs)
  })
  // `cancel` emits an error after the loop has ended; without a listener it would be uncaught.
  call.on('error', () => {})
  let result: StatementResult = { outcome: outcomeUnknown('answerCut'), token: undefined }
  try {
    for await (const part of call as AsyncIterable<Part>) {
      if (part.chunk && part.part === 'chunk') yield part.chunk
      if (!part.end) continue
      result = resultOfAnswer(part.end)
      break
    }
  } catch (thrown) {
    result = resultOfCallError(thrown as Partial<ServiceError>)
  } finally {
    call.cancel()
    tracker.record(sentState, { ...result, isWrite: request.isWrite })
  }
  return result.outcome
}

type Rows = AsyncGenerator<Buffer, Outcome>
type StartedStream = { rows: Rows | undefined, firstResult: IteratorResult<Buffer, Outcome> | undefined }

/** Placeholder outcome of an attempt whose first rows have arrived, so that it is not retried. */
const firstRowsArrived: Outcome = { kind: 'done', result: Buffer.alloc(0), endpoint: '', fromReplica: false }

const doneOrThrow = (outcome: Outcome): Done => {
  if (outcome.kind === 'done') return outcome
  throw outcomeError(outcome)
}

/**
 * Yields the rows of one statement. Throws an `OutcomeError` unless the answer is complete; rows yielded before such an
 * error must not be used. Retries on another VM only before the first rows.
 */
export async function * streamStatement (
  vmSelector: VmSelector,
  tracker: SessionTracker,
  request: Request,
  text: Buffer
): AsyncGenerator<Buffer, Done> {
  const started: StartedStream = { rows: undefined, firstResult: undefined }
  const outcome = await runWithFailover(vmSelector, request, async target => {
    started.rows = streamAttempt(tracker, request, text, target)
    started.firstResult = await started.rows.next()
    return started.firstResult.done ? started.firstResult.value : firstRowsArrived
  })
  const { rows, firstResult } = started
  if (!rows || !firstResult || firstResult.done) return doneOrThrow(outcome)
  try {
    yield firstResult.value
    return doneOrThrow(yield * rows)
  } finally {
    await rows.return(outcomeUnknown('answerCut'))
  }
}
