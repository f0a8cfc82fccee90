/**
 * The account of bytes under the load that it answers: many connections of a few workspaces that hold too much.
 */
import test from 'ava'
import fc from 'fast-check'
import { createByteAccount, memoryKinds } from './byte-account.js'
import type { ByteAccount } from './byte-account.js'

const unbounded = { maxBytes: Infinity }

// Guards against one workspace that takes the bytes of another.
test('a workspace at its bound leaves the others theirs', t => {
  const process = createByteAccount({ maxBytes: 100 })
  const [greedy, modest] = ['greedy', 'modest'].map(name => process.open(name, { maxBytes: 40 }))
  const connections = Array.from({ length: 10 }, (_, index) => greedy.open(`c${index}`, unbounded))
  const admitted = connections.filter(connection => connection.tryReserve('received', 9))
  t.is(admitted.length, 4)
  t.true(modest.open('m', unbounded).tryReserve('answers', 40))
  t.is(process.heldBytes(), 76)
})

// Guards against closing a connection that is not the cause.
test('the part that is exceeded and its largest connection are found', t => {
  const process = createByteAccount({ maxBytes: 100 })
  const greedy = process.open('greedy', { maxBytes: 40 })
  const modest = process.open('modest', { maxBytes: 40 }).open('m', unbounded)
  const [small, large] = ['small', 'large'].map(name => greedy.open(name, unbounded))
  modest.reserve('received', 35)
  small.reserve('received', 15)
  large.reserve('answers', 30)
  t.is(small.exceeded(), greedy)
  t.is(small.exceeded(1.25), undefined)
  t.is(modest.exceeded(), undefined)
  t.is(small.exceeded()?.largest(), large)
  t.is(process.largest(), large)
})

test('a kind has a bound of its own', t => {
  const process = createByteAccount({ maxBytes: 100, maxBytesByKind: { sessionState: 10 } })
  const connection = process.open('c', unbounded)
  t.true(connection.tryReserve('sessionState', 10))
  t.false(connection.tryReserve('sessionState', 1))
  t.true(connection.tryReserve('received', 90))
})

const step = fc.record({
  part: fc.nat(3), kind: fc.constantFrom(...memoryKinds), bytes: fc.nat(50), action: fc.constantFrom('reserve', 'move')
})

// Guards against bytes that stay counted after a connection moved to its workspace and ended.
test('nothing is held after all that was reserved is released, wherever its part was meanwhile', t => {
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), steps => {
    const process = createByteAccount(unbounded)
    const parents = ['a', 'b'].map(name => process.open(name, unbounded))
    const parts = Array.from({ length: 4 }, (_, index) => parents[0].open(`${index}`, unbounded))
    const held: Array<{ part: ByteAccount, kind: typeof memoryKinds[number], bytes: number }> = []
    for (const { part, kind, bytes, action } of steps) {
      if (action === 'move') parts[part].moveTo(parents[bytes % 2])
      else if (parts[part].tryReserve(kind, bytes)) held.push({ part: parts[part], kind, bytes })
      t.is(process.heldBytes(), held.reduce((sum, each) => sum + each.bytes, 0))
    }
    for (const { part, kind, bytes } of held) part.release(kind, bytes)
    for (const each of [process, ...parents, ...parts]) t.is(each.heldBytes(), 0)
  }), { seed: 25, numRuns: 500 })
})
