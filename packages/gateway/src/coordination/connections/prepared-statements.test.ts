/**
 * Names of the statements that are prepared on one connection.
 */
import test from 'ava'
import fc from 'fast-check'
import { createPreparedStatements } from './prepared-statements.js'
import type { PreparedStatement } from './prepared-statements.js'

const statements: fc.Arbitrary<PreparedStatement> = fc.record({
  access: fc.constantFrom('read', 'write'),
  shape: fc.oneof(
    fc.string({ minLength: 1, unit: fc.constantFrom('q', ' ', '_', '\r', '\n') }),
    fc.constantFrom('q2b', 'q2b WRITE rk', 'write_q2b', '__proto__', ' q2b', 'q2b ')
  )
})
const steps = fc.array(fc.oneof({ weight: 9, arbitrary: statements }, { weight: 1, arbitrary: fc.constant('reset') }), {
  maxLength: 60
})

// Guards against a name that is read as several fields, or that stands for a statement of another caller.
test('a name is one word without a caller\'s text and stands for one statement while the connection lives', t => {
  fc.assert(fc.property(steps, played => {
    const prepared = createPreparedStatements()
    const statementByName = new Map<string, PreparedStatement>()
    for (const step of played) {
      if (step === 'reset') {
        prepared.clear()
        continue
      }
      const name = prepared.nameOf(step) ?? prepared.nextName()
      t.regex(name, /^p[1-9][0-9]*$/)
      t.deepEqual(statementByName.get(name) ?? step, step)
      statementByName.set(name, step)
      prepared.add(step, name)
      t.is(prepared.nameOf(step), name)
    }
  }), { seed: 29, numRuns: 300 })
})

test('a statement is unknown until it is added, and after a reset', t => {
  const prepared = createPreparedStatements()
  const statement: PreparedStatement = { access: 'read', shape: 'q' }
  t.is(prepared.nameOf(statement), undefined)
  prepared.add(statement, prepared.nextName())
  t.is(prepared.nameOf({ access: 'write', shape: 'q' }), undefined)
  prepared.clear()
  t.is(prepared.nameOf(statement), undefined)
})

test('the least recently used statements are dropped, as many as the bounds require', t => {
  const prepared = createPreparedStatements({ maxCount: 3, maxShapeBytes: 10 })
  const statementOf = (shape: string): PreparedStatement => ({ access: 'read', shape })
  for (const shape of ['a', 'b', 'c']) prepared.add(statementOf(shape), prepared.nextName())
  t.is(prepared.nameOf(statementOf('a')), 'p1')
  t.deepEqual(prepared.namesToDrop(statementOf('d')), ['p2'])
  t.deepEqual(prepared.namesToDrop(statementOf('d'.repeat(9))), ['p2', 'p3'])
  prepared.remove('p2')
  t.deepEqual(prepared.namesToDrop(statementOf('d')), [])
})
