/**
 * Interactive transactions, each over one call. Nothing takes effect without the caller's commit.
 */
import type { ClientDuplexStream } from '@grpc/grpc-js'
import type { CallerMessages } from '@egretyoke/protocol'
import { failed, notRun, outcomeOf, outcomeUnknown } from './outcome.js'
import type { Outcome } from './outcome.js'
import { brokenOff, deadlineOf, metadataOf, runOnVms } from './request.js'
import type { Placement, Request } from './request.js'
import type { SentState, SessionMemory } from './session-state.js'
import type { VmChoice } from './vm-choice.js'

type Step = CallerMessages.TransactionStep
type StepAnswer = CallerMessages.TransactionAnswer__Output
type TransactCall = ClientDuplexStream<Step, StepAnswer>

/** An open transaction. */
export type Transaction = {
  /** Runs one statement. Unless its outcome is `done`, the transaction may have ended; the commit then reports that. */
  execute: (text: string | Buffer) => Promise<Outcome>
  /** Rolls the transaction back; none of its statements takes effect. */
  rollback: () => Promise<void>
}

/** Outcome of a transaction, and the return value of its function; undefined when the function was not called. */
export type TransactionResult<T> = { outcome: Outcome, value: T | undefined }

/** Result of a step. `isSent` is false when the call had ended before, `isAnswered` when it ended without an answer. */
type StepResult = { outcome: Outcome, token: Buffer | undefined, isSent: boolean, isAnswered: boolean }

/** Sends steps one at a time. Each has a number, which its answer must carry. */
const createSteps = (call: TransactCall) => {
  let lastStepId = 0
  let ended: Outcome | undefined
  let waiting: { stepId: number, resolve: (result: StepResult) => void } | undefined
  let queue: Promise<unknown> = Promise.resolve()

  const settle = (result: StepResult) => {
    waiting?.resolve(result)
    waiting = undefined
  }
  const end = (outcome: Outcome) => {
    ended ??= outcome
    settle({ outcome: ended, token: undefined, isSent: true, isAnswered: false })
  }
  call.on('data', ({ stepId, answer }: StepAnswer) => {
    // Step 0 is an answer to the call as a whole, sent before any step is processed.
    if (!answer || !waiting || (stepId !== 0 && stepId !== waiting.stepId)) return
    settle({ outcome: outcomeOf(answer), token: answer.sessionToken, isSent: true, isAnswered: true })
  })
  call.on('error', error => end(brokenOff(error)))
  call.on('end', () => end(outcomeUnknown('connectionLost')))

  const sendNow = (action: Omit<Step, 'stepId'>): Promise<StepResult> => {
    if (ended) return Promise.resolve({ outcome: ended, token: undefined, isSent: false, isAnswered: false })
    const stepId = ++lastStepId
    return new Promise(resolve => {
      waiting = { stepId, resolve }
      call.write({ ...action, stepId })
    })
  }
  const send = (action: Omit<Step, 'stepId'>): Promise<StepResult> => {
    const sent = queue.then(() => sendNow(action))
    queue = sent
    return sent
  }
  return { send, close: () => call.cancel() }
}

type Steps = ReturnType<typeof createSteps>

/** Outcome when the call ended before the commit: nothing took effect, whatever the outcomes of the steps. */
const lostBeforeCommit = failed('transactionClosed', 'the call ended before the commit; nothing took effect')

/** True when the transaction stays open after a statement with this outcome. */
const leavesOpen = (outcome: Outcome): boolean => {
  if (outcome.kind === 'done') return true
  if (outcome.kind === 'failed') return outcome.reason === 'endpointError'
  return outcome.kind === 'notRun' && outcome.reason === 'rate'
}

const openTransaction = (steps: Steps) => {
  let closedBy: Outcome | undefined
  const execute = async (text: string | Buffer): Promise<Outcome> => {
    if (closedBy) return closedBy
    const { outcome, isAnswered } = await steps.send({ execute: { text: Buffer.from(text) } })
    const told = isAnswered && outcome.kind !== 'outcomeUnknown' ? outcome : lostBeforeCommit
    if (!leavesOpen(told)) closedBy = told
    return told
  }
  const rollback = async () => {
    if (closedBy) return
    closedBy = notRun('rolledBack')
    await steps.send({ rollback: {} })
  }
  return { execute, rollback, closedBy: () => closedBy }
}

type Begun = { steps: Steps, sent: SentState }

/** Begins a transaction on a VM that accepts it. Without one, the outcome holds the reason. */
const begin = async (choice: VmChoice, memory: SessionMemory, request: Request) => {
  const opened: { begun: Begun | undefined } = { begun: undefined }
  const beginAt = async ({ vm, timeoutMs }: Placement): Promise<Outcome> => {
    const sent = memory.current()
    const call = vm.client.Transact(metadataOf(request, sent, timeoutMs), { deadline: deadlineOf(timeoutMs) })
    const steps = createSteps(call)
    const { outcome, isAnswered } = await steps.send({ begin: {} })
    if (isAnswered && outcome.kind === 'done') opened.begun = { steps, sent }
    else steps.close()
    return isAnswered ? outcome : notRun('connectionLost')
  }
  const outcome = await runOnVms(choice, request, beginAt)
  return { outcome, begun: opened.begun }
}

/** Begins a transaction, calls the function, and commits unless the function threw or the transaction has ended. */
export const runTransaction = async <T>(
  choice: VmChoice,
  memory: SessionMemory,
  request: Request,
  act: (transaction: Transaction) => Promise<T>
): Promise<TransactionResult<T>> => {
  const { outcome, begun } = await begin(choice, memory, request)
  if (!begun) return { outcome, value: undefined }
  const { steps, sent } = begun
  const transaction = openTransaction(steps)
  try {
    const value = await act(transaction)
    const closedBy = transaction.closedBy()
    if (closedBy) return { outcome: closedBy, value }
    const committed = await steps.send({ commit: {} })
    if (!committed.isSent) return { outcome: lostBeforeCommit, value }
    memory.learn(sent, { outcome: committed.outcome, token: committed.token, isWrite: true })
    return { outcome: committed.outcome, value }
  } catch (thrown) {
    await transaction.rollback()
    throw thrown
  } finally {
    steps.close()
  }
}
