/**
 * Interactive transactions against an entry that fails at each step.
 */
import test from 'ava'
import type { CallerMessages } from '@egretyoke/protocol'
import { connect, done, startEntry } from './test-entry.js'
import type { Answer, TransactCall } from './test-entry.js'

/** Records each step and answers it with `done`, unless `handleStep` handles it. */
const answerSteps = (steps: string[], handleStep: (call: TransactCall, action: string, stepId: number) => boolean) =>
  (call: TransactCall, step: CallerMessages.TransactionStep__Output) => {
    const action = step.action ?? ''
    steps.push(step.execute ? step.execute.text.toString() : action)
    if (handleStep(call, action, step.stepId)) return
    call.write({ stepId: step.stepId, answer: done(`${step.stepId}`, { sessionToken: Buffer.from(action) }) })
    if (action === 'commit' || action === 'rollback') call.end()
  }

test('a transaction commits the statements of its function', async t => {
  const steps: string[] = []
  const entry = await startEntry(t, {
    transact: answerSteps(steps, (call, action, stepId) => {
      // A duplicate answer to an earlier step arrives late.
      if (action === 'execute') call.write({ stepId: stepId - 1, answer: done('late') })
      return false
    })
  })
  const caller = connect(t, [entry.address])
  const { outcome, value } = await caller.transact('a', async transaction => {
    const results = await Promise.all([transaction.execute('one'), transaction.execute('two')])
    return results.map(result => result.kind === 'done' ? result.result.toString() : result.kind)
  })
  t.is(outcome.kind, 'done')
  t.deepEqual(value, ['2', '3'])
  t.deepEqual(steps, ['begin', 'one', 'two', 'commit'])
  t.is(caller.state().token?.toString(), 'commit')
})

test('a transaction whose function throws is rolled back', async t => {
  const steps: string[] = []
  const entry = await startEntry(t, { transact: answerSteps(steps, () => false) })
  await t.throwsAsync(connect(t, [entry.address]).transact('a', async () => {
    throw new Error('changed my mind')
  }), { message: 'changed my mind' })
  t.deepEqual(steps, ['begin', 'rollback'])
})

type TransactionFault = { title: string, at: string, answer?: Answer, outcome: object, isUnsettled: boolean }

const transactionFaults: TransactionFault[] = [
  { title: 'lost at begin', at: 'begin', outcome: { kind: 'notRun', reason: 'connectionLost' }, isUnsettled: false },
  {
    title: 'lost at a statement',
    at: 'execute',
    outcome: { kind: 'failed', reason: 'transactionClosed' },
    isUnsettled: false
  },
  { title: 'lost at commit', at: 'commit', outcome: { kind: 'outcomeUnknown' }, isUnsettled: true },
  {
    title: 'refused at begin',
    at: 'begin',
    answer: { notRun: { reason: 'keyRefused' } },
    outcome: { kind: 'notRun', reason: 'keyRefused' },
    isUnsettled: false
  },
  {
    title: 'refused at a statement because the key was withdrawn',
    at: 'execute',
    answer: { notRun: { reason: 'keyRefused' } },
    outcome: { kind: 'notRun', reason: 'keyRefused' },
    isUnsettled: false
  }
]

for (const { title, at, answer, outcome, isUnsettled } of transactionFaults) {
  test(`a transaction ${title}`, async t => {
    const steps: string[] = []
    const entry = await startEntry(t, {
      transact: answerSteps(steps, (call, action, stepId) => {
        if (action !== at) return false
        if (answer) call.write({ stepId, answer })
        call.end()
        return true
      })
    })
    const caller = connect(t, [entry.address])
    const result = await caller.transact('a', transaction => transaction.execute('one'))
    t.like(result.outcome, outcome)
    t.is(caller.state().isUnsettled, isUnsettled)
    if (at !== 'commit') t.false(steps.includes('commit'))
  })
}
