/**
 * Reads the steps of an interactive transaction from a caller's stream. The sequence ends with the stream, or when the
 * caller has sent no step for the idle timeout.
 */
import type { Readable } from 'node:stream'
import type { CallerMessages } from '@egretyoke/protocol'
import type { TransactionAction, TransactionStep } from '../coordination/transaction-runner.js'

type WireStep = CallerMessages.TransactionStep__Output

/** Limits on the steps of a transaction. */
export type StepLimits = { transactionIdleMs: number, maxStatementBytes: number }

const actionOf = (step: WireStep, limits: StepLimits): TransactionAction => {
  if (step.begin) return { kind: 'begin' }
  if (step.commit) return { kind: 'commit' }
  if (step.rollback) return { kind: 'rollback' }
  const text = step.execute?.text
  if (!text || text.length === 0 || text.length > limits.maxStatementBytes) return { kind: 'invalid' }
  return { kind: 'execute', text }
}

/** Yields the steps in the order of arrival. */
export async function * readTransactionSteps (
  stream: Readable,
  limits: StepLimits
): AsyncGenerator<TransactionStep> {
  const reader = stream[Symbol.asyncIterator]()
  for (;;) {
    let timer: NodeJS.Timeout | undefined
    const idle = new Promise<undefined>(resolve => {
      timer = setTimeout(() => resolve(undefined), limits.transactionIdleMs)
    })
    const next = reader.next().catch(() => undefined)
    const read = await Promise.race([next, idle])
    clearTimeout(timer)
    if (!read || read.done) return
    const step: WireStep = read.value
    yield { stepId: step.stepId, action: actionOf(step, limits) }
  }
}
