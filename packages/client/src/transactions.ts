/**
 * Interactive transactions, each over one call. Nothing takes effect without the caller's commit.
 */
import type { ClientDuplexStream } from '@grpc/grpc-js'
import type { CallerMessages } from '@egretyoke/protocol'
import { failed, notRun, outcomeOf, outcomeUnknown } from './outcome.js'
import type { Outcome } from './outcome.js'
import { callErrorOutcome, deadlineOf, metadataOf, runWithFailover } from './request.js'
import type { AttemptTarget, Request } from './request.js'
import type { SentState, SessionTracker } from './session-state.js'
import type { VmSelector } from './vm-selector.js'

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
const createStepSender = (call: TransactCall) => {
  let lastStepId = 0
  let endOutcome: Outcome | undefined
  let pendingStep: { stepId: number, resolve: (result: StepResult) => void } | undefined
  let queue: Promise<unknown> = Promise.resolve()

  const resolvePendingStep = (result: StepResult) => {
    pendingStep?.resolve(result)
    pendingStep = undefined
  }
  const end = (outcome: Outcome) => {
    endOutcome ??= outcome
    resolvePendingStep({ outcome: endOutcome, token: undefined, isSent: true, isAnswered: false })
  }
  call.on('data', ({ stepId, answer }: StepAnswer) => {
    // Step 0 is an answer to the call as a whole, sent before any step is processed.
    if (!answer || !pendingStep || (stepId !== 0 && stepId !== pendingStep.stepId)) return
    resolvePendingStep({ outcome: outcomeOf(answer), token: answer.sessionToken, isSent: true, isAnswered: true })
  })
  call.on('error', error => end(callErrorOutcome(error)))
  call.on('end', () => end(outcomeUnknown('connectionLost')))

  const sendNow = (action: Omit<Step, 'stepId'>): Promise<StepResult> => {
    if (endOutcome) return Promise.resolve({ outcome: endOutcome, token: undefined, isSent: false, isAnswered: false })
    const stepId = ++lastStepId
    return new Promise(resolve => {
      pendingStep = { stepId, resolve }
      call.write({ ...action, stepId })
    })
  }
  const send = (action: Omit<Step, 'stepId'>): Promise<StepResult> => {
    const result = queue.then(() => sendNow(action))
    queue = result
    return result
  }
  return { send, close: () => call.cancel() }
}

type StepSender = ReturnType<typeof createStepSender>

/** Outcome when the call ended before the commit: nothing took effect, whatever the outcomes of the steps. */
const closedBeforeCommit = failed('transactionClosed', 'the call ended before the commit; nothing took effect')

/** True when the transaction stays open after a statement with this outcome. */
const keepsTransactionOpen = (outcome: Outcome): boolean => {
  if (outcome.kind === 'done') return true
  if (outcome.kind === 'failed') return outcome.reason === 'endpointError'
  return outcome.kind === 'notRun' && outcome.reason === 'rate'
}

const createTransaction = (stepSender: StepSender) => {
  let closingOutcome: Outcome | undefined
  const execute = async (text: string | Buffer): Promise<Outcome> => {
    if (closingOutcome) return closingOutcome
    const { outcome, isAnswered } = await stepSender.send({ execute: { text: Buffer.from(text) } })
    const reported = isAnswered && outcome.kind !== 'outcomeUnknown' ? outcome : closedBeforeCommit
    if (!keepsTransactionOpen(reported)) closingOutcome = reported
    return reported
  }
  const rollback = async () => {
    if (closingOutcome) return
    closingOutcome = notRun('rolledBack')
    await stepSender.send({ rollback: {} })
  }
  return { execute, rollback, closingOutcome: () => closingOutcome }
}

type OpenedCall = { stepSender: StepSender, sentState: SentState }

/** Begins a transaction on a VM that accepts it. If none does, `opened` is undefined and the outcome has the reason. */
const begin = async (vmSelector: VmSelector, tracker: SessionTracker, request: Request) => {
  const attempted: { opened: OpenedCall | undefined } = { opened: undefined }
  const beginOn = async ({ vm, timeoutMs }: AttemptTarget): Promise<Outcome> => {
    const sentState = tracker.current()
    const call = vm.client.Transact(metadataOf(request, sentState, timeoutMs), { deadline: deadlineOf(timeoutMs) })
    const stepSender = createStepSender(call)
    const { outcome, isAnswered } = await stepSender.send({ begin: {} })
    if (isAnswered && outcome.kind === 'done') attempted.opened = { stepSender, sentState }
    else stepSender.close()
    return isAnswered ? outcome : notRun('connectionLost')
  }
  const outcome = await runWithFailover(vmSelector, request, beginOn)
  return { outcome, opened: attempted.opened }
}

/** Begins a transaction, calls the function, and commits unless the function threw or the transaction has ended. */
export const runTransaction = async <T>(
  vmSelector: VmSelector,
  tracker: SessionTracker,
  request: Request,
  run: (transaction: Transaction) => Promise<T>
): Promise<TransactionResult<T>> => {
  const { outcome, opened } = await begin(vmSelector, tracker, request)
  if (!opened) return { outcome, value: undefined }
  const { stepSender, sentState } = opened
  const transaction = createTransaction(stepSender)
  try {
    const value = await run(transaction)
    const closingOutcome = transaction.closingOutcome()
    if (closingOutcome) return { outcome: closingOutcome, value }
    const committed = await stepSender.send({ commit: {} })
    if (!committed.isSent) return { outcome: closedBeforeCommit, value }
    tracker.record(sentState, { outcome: committed.outcome, token: committed.token, isWrite: true })
    return { outcome: committed.outcome, value }
  } catch (thrown) {
    await transaction.rollback()
    throw thrown
  } finally {
    stepSender.close()
  }
}
