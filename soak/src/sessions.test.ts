/**
 * Random sessions of several callers, through gateway processes, against one model for each caller.
 */
import test from 'ava'
import type { RecordedStatement } from './plain-database.js'
import { compareSessions } from './session-comparison.js'
import { createSessionModel } from './session-model.js'

const seed = 1
const sequences = 50

test('statements run with the values, transaction and one-word shape that their callers set up', async t => {
  const { problems, executed } = await compareSessions({ seed, sequences, preparedTexts: 'oneWord' })
  t.deepEqual(problems, [])
  t.true(executed > sequences, `${executed} executed`)
})

// Guards against a prepared statement that runs as another because of blanks in its text.
test('statements run with the values, transaction and shape of any text that their callers set up', async t => {
  const { problems } = await compareSessions({ seed, sequences, preparedTexts: 'anyText' })
  t.deepEqual(problems, [])
})

const executedRun: RecordedStatement = {
  requestId: 'e1',
  connection: 1,
  workspace: 'yard-a',
  text: 'EXECUTE any_name 1a4 x',
  prepared: 'WRITE q2b WRITE rk',
  operands: '1a4 x',
  values: ['["zone","a b"]'],
  transaction: 0,
  signature: 'plain.1'
}
const acknowledged = { error: '', message: '', signature: '-', rows: [], state: 'I' }

/** What contradicts the model when a caller's prepared statement ran as the given runs and got the given reply. */
const problemsOf = (runs: RecordedStatement[], reply = { ...acknowledged, signature: 'plain.1' }) => {
  const model = createSessionModel({ runs, committed: new Set([7]) }, 'yard-a', new Set())
  const setUp = [...model.compare('s1', 'SET zone a b', acknowledged),
    ...model.compare('p1', 'PREPARE s1 WRITE q2b WRITE rk', acknowledged)]
  return [...setUp, ...model.compare('e1', 'EXECUTE s1 1a4 x', reply), ...model.end()]
}

test('the model finds a wrong shape, operand, value, caller, transaction, reply or number of runs', t => {
  t.deepEqual(problemsOf([executedRun]), [])
  for (const change of [
    { prepared: 'WRITE q2b' },
    { prepared: 'READ q2b WRITE rk' },
    { operands: 'WRITE rk 1a4 x' },
    { operands: '1a4 x ' },
    { values: [] },
    { values: ['["zone","a"]'] },
    { workspace: 'yard-b' },
    { transaction: 7 },
    { signature: 'plain.2' }
  ]) t.not(problemsOf([{ ...executedRun, ...change }]).length, 0, JSON.stringify(change))
  t.not(problemsOf([]).length, 0)
  t.not(problemsOf([executedRun, executedRun]).length, 0)
  for (const error of ['BUSY', 'NOSTMT']) t.not(problemsOf([executedRun], { ...acknowledged, error }).length, 0)
  t.deepEqual(problemsOf([executedRun], { ...acknowledged, error: 'INDOUBT' }), [])
})

test('the model finds a transaction that is committed against its caller', t => {
  const write = { ...executedRun, text: 'WRITE a x', prepared: '', operands: '', values: [], transaction: 7 }
  const open = { ...acknowledged, state: 'T' }
  const end = (text: string, reply = acknowledged) => {
    const runs = [write, { ...write, requestId: 'c1', text: 'COMMIT' }]
    const model = createSessionModel({ runs, committed: new Set([7]) }, 'yard-a', new Set())
    model.compare('b1', 'BEGIN', open)
    t.deepEqual(model.compare('e1', 'WRITE a x', { ...open, signature: 'plain.1' }), [])
    return [...model.compare(text === 'COMMIT' ? 'c1' : 'r1', text, reply), ...model.end()]
  }
  t.deepEqual(end('COMMIT', { ...acknowledged, signature: 'plain.1' }), [])
  t.deepEqual(end('COMMIT', { ...acknowledged, error: 'INDOUBT' }), [])
  t.is(end('COMMIT', { ...acknowledged, error: 'ABORTED' }).length, 1)
  t.is(end('ROLLBACK').length, 1)
  t.is(end('SET zone a', open).length, 1)
})
