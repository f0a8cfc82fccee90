/**
 * Limits of the state of sessions: what is refused, and that it changes nothing.
 */
import test from 'ava'
import { defaultMaxMessageBytes, relayProto } from '@egretyoke/protocol'
import { createByteAccount } from '../../state/byte-account.js'
import { usedHeapBytes } from '../../testing/heap-use.js'
import { createSessionState, createStateBudget, maxEntryBytes } from './session-state.js'
import type { SessionState } from './session-state.js'

const unlimited = () => createStateBudget(createByteAccount({ maxBytes: Infinity }))
const reasonOf = (result: ReturnType<SessionState['set']>) => result.err ? result.val.reason : 'kept'
const maxLineBytes = 1024 * 1024

test('an entry is kept up to its limit, whatever its share of name and text', t => {
  for (const name of ['a', 'a'.repeat(1000)]) {
    const state = createSessionState(unlimited())
    const longest = 'x'.repeat(maxEntryBytes - name.length)
    t.is(reasonOf(state.set(name, longest)), 'kept')
    t.is(reasonOf(state.set(name, `${longest}x`)), 'tooLarge')
    t.is(reasonOf(state.set(name, longest.slice(1) + 'é')), 'tooLarge')
    t.is(reasonOf(state.prepare(name, { access: 'write', shape: longest })), 'kept')
    t.is(reasonOf(state.prepare(name, { access: 'write', shape: `${longest}x` })), 'tooLarge')
    t.deepEqual(state.values(), [{ name, value: longest }])
    t.is(state.prepared(name)?.shape, longest)
  }
})

test('values and prepared statements together are limited; a refused entry leaves the former one', t => {
  const state = createSessionState(unlimited())
  const part = 'x'.repeat(1_000_000)
  t.is(reasonOf(state.set('a', part)), 'kept')
  t.is(reasonOf(state.prepare('p', { access: 'read', shape: part })), 'kept')
  t.is(reasonOf(state.set('b', part)), 'tooMuch')
  t.is(reasonOf(state.set('a', 'small')), 'kept')
  t.is(reasonOf(state.set('b', part)), 'kept')
  t.is(reasonOf(state.set('a', part)), 'tooMuch')
  t.deepEqual(state.values().map(({ value }) => value.length), [5, 1_000_000])
  state.deallocate('p')
  t.is(reasonOf(state.set('a', part)), 'kept')
})

// Guards against short entries that keep the long messages in memory with which they arrived.
test('an entry takes the memory of its name and text, however long the message was', t => {
  const state = createSessionState(unlimited())
  const before = usedHeapBytes()
  for (let index = 0; index < 60; index++) {
    const line = `${String(index).padEnd(512 * 1024, 'x')} value-of-the-session-${index} shape-of-the-statement`
    const [, name = '', shape = ''] = line.split(' ')
    t.is(reasonOf(state.set(name, shape)), 'kept')
    t.is(reasonOf(state.prepare(name, { access: 'read', shape })), 'kept')
  }
  const held = usedHeapBytes() - before
  t.true(held < 1024 * 1024, `${held} bytes`)
  t.is(state.values().length, 60)
})

test('the number of entries is limited', t => {
  const state = createSessionState(unlimited())
  for (let index = 0; index < 64; index++) t.is(reasonOf(state.set(`v${index}`, 'x')), 'kept')
  t.is(reasonOf(state.set('v64', 'x')), 'tooMany')
  t.is(reasonOf(state.set('v0', 'y')), 'kept')
  for (let index = 0; index < 256; index++) {
    t.is(reasonOf(state.prepare(`p${index}`, { access: 'read', shape: 'q' })), 'kept')
  }
  t.is(reasonOf(state.prepare('p256', { access: 'read', shape: 'q' })), 'tooMany')
  state.deallocate('p0')
  t.is(reasonOf(state.prepare('p256', { access: 'read', shape: 'q' })), 'kept')
})

test('large states draw on a budget of the process, small ones are kept when it is used up', t => {
  const budget = createStateBudget(createByteAccount({ maxBytes: 100_000 }))
  const large = createSessionState(budget)
  const other = createSessionState(budget)
  t.is(reasonOf(large.set('a', 'x'.repeat(90_000))), 'kept')
  t.is(reasonOf(other.set('a', 'x'.repeat(90_000))), 'budgetUsedUp')
  t.deepEqual(other.values(), [])
  t.is(reasonOf(other.set('a', 'x'.repeat(8000))), 'kept')
  large.close()
  large.close()
  t.is(reasonOf(other.set('a', 'x'.repeat(90_000))), 'kept')
  t.is(reasonOf(large.set('a', 'x'.repeat(90_000))), 'budgetUsedUp')
  other.set('a', '')
  t.is(reasonOf(large.set('a', 'x'.repeat(90_000))), 'kept')
})

test('a statement of the longest line with the largest state fits into a message between gateways', t => {
  const state = createSessionState(unlimited())
  const shape = 'x'.repeat(maxEntryBytes - 1)
  t.is(reasonOf(state.prepare('p', { access: 'write', shape })), 'kept')
  for (let index = 0; index < 63; index++) state.set(`v${index}`, 'x'.repeat(16_000))
  let rest = 40_000
  while (reasonOf(state.set('rest', 'x'.repeat(rest))) !== 'kept') rest -= 10
  const name = 'n'.repeat(250)
  const request = relayProto.Relay.service.Exchange.requestSerialize({
    number: Number.MAX_SAFE_INTEGER,
    run: {
      requestId: 'r',
      group: name,
      database: name,
      workspace: name,
      transactionId: name,
      text: 'x'.repeat(maxLineBytes),
      transaction: 'CONTINUE',
      verb: 'EXECUTE',
      access: 'WRITE',
      shape,
      shapeAccess: 'WRITE',
      values: state.values(),
      needsPrimary: true,
      ownPosition: name,
      earlierMaxStalenessMs: 1e9,
      staleness: { maxMs: 1e9 },
      timeoutMs: 1e9,
      maxQueuedMs: 1e9,
      priority: 1e9
    }
  })
  t.true(request.length > 3 * 1024 * 1024 - 100_000 && request.length <= defaultMaxMessageBytes, `${request.length}`)
})
