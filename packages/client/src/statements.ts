/**
 * Single statements, with the result in one answer or as a stream.
 */
import type { ServiceError } from '@grpc/grpc-js'
import type { CallerMessages } from '@egretyoke/protocol'
import { outcomeError, outcomeOf, outcomeUnknown } from './outcome.js'
import type { Done, Outcome } from './outcome.js'
import { brokenOff, deadlineOf, metadataOf, runOnVms } from './request.js'
import type { Placement, Request } from './request.js'
import type { SessionMemory } from './session-state.js'
import type { VmChoice } from './vm-choice.js'

type Answered = { outcome: Outcome, token: Buffer | undefined }

const answeredBy = (answer: CallerMessages.Answer__Output): Answered =>
  ({ outcome: outcomeOf(answer), token: answer.sessionToken })

const notAnswered = (error: Partial<ServiceError>): Answered => ({ outcome: brokenOff(error), token: undefined })

/** Runs one statement. */
export const executeStatement = (
  choice: VmChoice,
  memory: SessionMemory,
  request: Request,
  text: Buffer
): Promise<Outcome> => runOnVms(choice, request, async ({ vm, timeoutMs }) => {
  const sent = memory.current()
  const metadata = metadataOf(request, sent, timeoutMs)
  const answered = await new Promise<Answered>(resolve => {
    vm.client.Execute({ text }, metadata, { deadline: deadlineOf(timeoutMs) }, (error, answer) => {
      resolve(error || !answer ? notAnswered(error ?? {}) : answeredBy(answer))
    })
  })
  memory.learn(sent, { ...answered, isWrite: request.isWrite })
  return answered.outcome
})

type Part = CallerMessages.StreamPart__Output

/** Yields the rows of one attempt and returns its outcome, which is unknown when the stream has no end part. */
async function * streamOnce (
  memory: SessionMemory,
  request: Request,
  text: Buffer,
  { vm, timeoutMs }: Placement
): AsyncGenerator<Buffer, Outcome> {
  const sent = memory.current()
  const call = vm.client.Stream({ text }, metadataOf(request, sent, timeoutMs), { deadline: deadlineOf(timeoutMs) })
  // `cancel` emits an error after the loop has ended; without a listener it would be uncaught.
  call.on('error', () => {})
  let answered: Answered = { outcome: outcomeUnknown('answerCut'), token: undefined }
  try {
    for await (const part of call as AsyncIterable<Part>) {
      if (part.chunk && part.part === 'chunk') yield part.chunk
      if (!part.end) continue
      answered = answeredBy(part.end)
      break
    }
  } catch (thrown) {
    answered = notAnswered(thrown as Partial<ServiceError>)
  } finally {
    call.cancel()
    memory.learn(sent, { ...answered, isWrite: request.isWrite })
  }
  return answered.outcome
}

type Rows = AsyncGenerator<Buffer, Outcome>
type Begun = { rows: Rows | undefined, first: IteratorResult<Buffer, Outcome> | undefined }

/** Outcome of an attempt whose first rows have arrived; it ends the retries. */
const rowsBegun: Outcome = { kind: 'done', result: Buffer.alloc(0), endpoint: '', fromReplica: false }

const wholeOrThrow = (outcome: Outcome): Done => {
  if (outcome.kind === 'done') return outcome
  throw outcomeError(outcome)
}

/**
 * Yields the rows of one statement. Throws an `OutcomeError` unless the answer is complete; rows yielded before such an
 * error must not be used. Retries on another VM only before the first rows.
 */
export async function * streamStatement (
  choice: VmChoice,
  memory: SessionMemory,
  request: Request,
  text: Buffer
): AsyncGenerator<Buffer, Done> {
  const begun: Begun = { rows: undefined, first: undefined }
  const outcome = await runOnVms(choice, request, async placement => {
    begun.rows = streamOnce(memory, request, text, placement)
    begun.first = await begun.rows.next()
    return begun.first.done ? begun.first.value : rowsBegun
  })
  const { rows, first } = begun
  if (!rows || !first || first.done) return wholeOrThrow(outcome)
  try {
    yield first.value
    return wholeOrThrow(yield * rows)
  } finally {
    await rows.return(outcomeUnknown('answerCut'))
  }
}
