import test from 'ava'
import { PassThrough, Readable } from 'node:stream'
import fc from 'fast-check'
import { readTransactionSteps } from './transaction-steps.js'

const seed = 21
const fuzzRuns = 300
const limits = { transactionIdleMs: 50, maxStatementBytes: 100 }

const text = fc.uint8Array({ maxLength: 150 }).map(bytes => Buffer.from(bytes))
const wireSteps = fc.array(fc.record({
  stepId: fc.nat(),
  begin: fc.constantFrom({}, null, undefined),
  execute: fc.oneof(fc.record({ text }), fc.constantFrom(null, undefined, {})),
  commit: fc.constantFrom({}, null, undefined),
  rollback: fc.constantFrom({}, null, undefined)
}, { requiredKeys: ['stepId'] }), { maxLength: 8 })

const collect = async (stream: Readable) => {
  const steps = []
  for await (const step of readTransactionSteps(stream, limits)) steps.push(step)
  return steps
}

test('arbitrary steps are read in order, and no statement is empty or exceeds the size limit', async t => {
  await fc.assert(fc.asyncProperty(wireSteps, async wire => {
    const steps = await collect(Readable.from(wire))
    t.deepEqual(steps.map(step => step.stepId), wire.map(step => step.stepId))
    for (const { action } of steps) {
      if (action.kind !== 'execute') continue
      t.true(action.text.length > 0 && action.text.length <= limits.maxStatementBytes)
    }
  }), { seed, numRuns: fuzzRuns })
})

test('a step without an action or with an empty statement is invalid', async t => {
  const steps = await collect(Readable.from([{ stepId: 1 }, { stepId: 2, execute: { text: Buffer.alloc(0) } }]))
  t.deepEqual(steps.map(step => step.action.kind), ['invalid', 'invalid'])
})

test('the steps end when the caller is idle or its stream breaks', async t => {
  t.deepEqual(await collect(new PassThrough({ objectMode: true })), [])
  const broken = new PassThrough({ objectMode: true })
  broken.write({ stepId: 1, begin: {} })
  setImmediate(() => broken.destroy(new Error('gone')))
  t.true((await collect(broken)).length <= 1)
})
