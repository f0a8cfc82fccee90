/**
 * Decisions about usage reports without a network: what counts, in which window, which counts win, what is stored.
 */
import test from 'ava'
import { workspaceNameOf } from '../sessions/session-identity.js'
import { notRun } from '../sessions/statement.js'
import type { StatementOutcome } from '../sessions/statement.js'
import { writeRequest } from '../../testing/holder-environment.js'
import { maxKeptValueBytes } from '../../state/store-history.js'
import { encodeRecord } from '../../state/stored-records.js'
import type { UsageRecord } from '../../state/stored-records.js'
import { combineCounts } from './combine-counts.js'
import { createFleetClock } from './fleet-clock.js'
import { hasBegunAtHolder } from './operation.js'
import { createUsageCounter, decodeCounts, encodeCounts } from './usage-counter.js'
import type { WindowCounts } from './usage-counter.js'
import {
  firstDueWindow, isUsageClaimed, maxRecordBytes, maxStoredWindows, maySend, withCounted
} from './usage-record.js'
import { isCollected, maxOpenWindows, windowsToCollect } from './usage-windows.js'

const windowMs = 5000
const trueStartMs = 1_700_000_000_000
const firstWindow = trueStartMs / windowMs

/** A counter whose clocks the test sets: the process starts at true time `trueStartMs`. */
const createCounter = (wallSkewMs = 0) => {
  const time = { ms: 0 }
  const clock = createFleetClock(() => time.ms, () => trueStartMs + time.ms + wallSkewMs)
  const counter = createUsageCounter(windowMs, clock, () => time.ms)
  return { time, clock, counter }
}

const outcome = (changes: Partial<StatementOutcome>): StatementOutcome => ({ ...notRun(''), ...changes })

// Guards against reports that count statements which the database declined, or statements of a transaction one by one.
test('single statements and first statements count unless the database declined them', t => {
  const { counter } = createCounter()
  const run = (changes: Parameters<typeof writeRequest>[0], replied: 'done' | 'failed' | 'lost' | 'declined') =>
    counter.countHeld(writeRequest(changes))?.({ outcome: replied })
  run({}, 'done')
  run({}, 'failed')
  run({}, 'lost')
  run({}, 'declined')
  run({ transaction: 'OPEN_READ_WRITE' }, 'done')
  run({ transaction: 'CONTINUE' }, 'done')
  run({ transaction: 'CONTINUE', verb: 'COMMIT' }, 'done')
  t.deepEqual([...counter.read(firstWindow).held], [['yard-a', 4]])
})

// Guards against a report that names the fleet's own name of a workspace, or callers that belong to none.
test('callers without a key are not counted, and a workspace named like them has its own name', t => {
  const { counter } = createCounter()
  for (const identity of [{ workspace: undefined }, { workspace: { name: '-' } as never }]) {
    counter.countHeld(writeRequest({ workspace: workspaceNameOf(identity) }))
  }
  t.deepEqual([...counter.read(firstWindow).held], [['-', 1]])
})

// Guards against a report that lacks slow statements: they are counted while the database still runs them.
test('a statement counts in the window in which it was sent, also before and after its late reply', t => {
  const { time, counter } = createCounter()
  time.ms = 4900
  const onReply = counter.countHeld(writeRequest({}))
  t.is(counter.read(firstWindow).held.get('yard-a'), 1)
  time.ms = 9000
  onReply?.({ outcome: 'done' })
  t.is(counter.read(firstWindow).held.get('yard-a'), 1)
  t.is(counter.read(firstWindow + 1).held.get('yard-a'), undefined)
})

test('a sender counts by holder process what the holder says has begun, in the window in which it was sent', t => {
  const { time, counter } = createCounter()
  time.ms = 5600
  counter.countSent('vm-2/x', writeRequest({}), outcome({ status: 'DONE', queuedMs: 100 }), 4700)
  counter.countSent('vm-2/x', writeRequest({}), outcome({ status: 'DONE', queuedMs: 500 }), 4700)
  counter.countSent('vm-2/x', writeRequest({}), outcome({ reason: 'busy' }), 4700)
  t.is(counter.read(firstWindow).sent.get('vm-2/x')?.get('yard-a'), 1)
  t.is(counter.read(firstWindow + 1).sent.get('vm-2/x')?.get('yard-a'), 1)
})

test('refusals count as not begun, lost and failed statements as begun', t => {
  for (const reason of ['busy', 'lagging', 'readOnly', 'moved', 'queuedTooLong', 'unreachable'] as const) {
    t.false(hasBegunAtHolder({ status: 'NOT_RUN', reason }), reason)
  }
  t.true(hasBegunAtHolder({ status: 'NOT_RUN', reason: 'silent' }))
  t.true(hasBegunAtHolder({ status: 'NOT_RUN', reason: 'answerLost' }))
  t.true(hasBegunAtHolder({ status: 'FAILED', reason: 'failed' }))
  t.true(hasBegunAtHolder({ status: 'UNKNOWN', reason: 'silent' }))
})

// Guards against counters that grow while a process runs.
test('counts older than the kept windows are dropped', t => {
  const { time, counter } = createCounter()
  counter.countHeld(writeRequest({}))
  time.ms = 30 * windowMs
  counter.countHeld(writeRequest({}))
  t.is(counter.read(firstWindow).held.size, 0)
  t.is(counter.read(firstWindow + 30).held.get('yard-a'), 1)
})

// Guards against a holder and its senders both being counted, and against a dead holder's operations being lost.
test('a holder\'s own counts win; without them those of the senders are added up', t => {
  const counts = (held: Record<string, number>, sent: Record<string, Record<string, number>> = {}): WindowCounts => ({
    held: new Map(Object.entries(held)),
    sent: new Map(Object.entries(sent).map(([holder, by]) => [holder, new Map(Object.entries(by))]))
  })
  const combined = combineCounts(new Map([
    ['vm-1/a', counts({ x: 5 }, { 'vm-2/b': { x: 3 }, 'vm-3/c': { y: 2 } })],
    ['vm-2/b', counts({ x: 4, y: 1 }, { 'vm-3/c': { x: 1 } })],
    ['vm-4/d', undefined]
  ]))
  t.deepEqual(combined.counts, [['x', 10], ['y', 3]])
  t.is(combined.fromSenders, 3)
  t.is(combined.total, 13)
})

test('counts survive the message to the reporter, without workspaces that have none', t => {
  const { counter } = createCounter()
  counter.countHeld(writeRequest({}))
  counter.countHeld(writeRequest({ workspace: 'yard-b' }))?.({ outcome: 'declined' })
  const wire = encodeCounts(firstWindow, counter.read(firstWindow), 1)
  t.deepEqual(wire.held, [{ workspace: 'yard-a', count: 1 }])
  t.deepEqual([...decodeCounts(wire as never).held], [['yard-a', 1]])
})

// Guards against windows that a VM assigns by a wall clock that jumps while it runs.
test('a wall clock that jumps after the start does not move the time', t => {
  let wallMs = trueStartMs
  let monotonicMs = 0
  const clock = createFleetClock(() => monotonicMs, () => wallMs)
  monotonicMs = 1000
  wallMs += 8000
  t.is(clock.nowMs(), trueStartMs + 1000)
})

test('a wall clock that is wrong at the start is corrected by the median, also for what was counted before', t => {
  const { time, clock, counter } = createCounter(12_000)
  time.ms = 1000
  counter.countHeld(writeRequest({}))
  t.is(counter.read(firstWindow).held.size, 0)
  clock.correctByMedian([trueStartMs + 12_000, trueStartMs + 3, trueStartMs - 2])
  t.is(clock.nowMs(), trueStartMs + 1003)
  t.is(counter.read(firstWindow).held.get('yard-a'), 1)
})

test('a gateway follows the reporter, but not one delayed message, nor a reporter that has not compared clocks', t => {
  const { time, clock } = createCounter()
  clock.followReporter(0)
  clock.followReporter(trueStartMs - 700)
  t.is(clock.nowMs(), trueStartMs)
  time.ms = 5000
  clock.followReporter(trueStartMs + 4990)
  t.is(clock.nowMs(), trueStartMs + 5000)
  const wrong = createCounter(-6000)
  wrong.clock.followReporter(trueStartMs - 20)
  t.is(wrong.clock.nowMs(), trueStartMs - 20)
})

test('two clocks do not tell which of them is wrong', t => {
  const { clock } = createCounter()
  clock.correctByMedian([trueStartMs, trueStartMs + 9000])
  t.is(clock.nowMs(), trueStartMs)
  t.false(clock.isConfirmed())
})

test('windows are collected a second after their end, a few at a time', t => {
  const end = (firstWindow + 1) * windowMs
  t.deepEqual(windowsToCollect(firstWindow, end + 900, windowMs), [])
  t.deepEqual(windowsToCollect(firstWindow, end + 1000, windowMs), [firstWindow])
  t.is(windowsToCollect(firstWindow, end + 100 * windowMs, windowMs).length, maxOpenWindows)
})

test('counts are final when all have replied, or 8 s after the window when all were asked', t => {
  const end = (firstWindow + 1) * windowMs
  const state = {
    window: firstWindow, nowMs: end + 7900, windowMs, lateMs: 10_000, hasAllReplies: false, hasAskedAll: true
  }
  t.false(isCollected(state))
  t.true(isCollected({ ...state, hasAllReplies: true }))
  t.true(isCollected({ ...state, nowMs: end + 8000 }))
  t.false(isCollected({ ...state, nowMs: end + 60_000, hasAskedAll: false }))
})

// Guards against a second count for a window, and against a record that the store refuses.
test('a record never changes counts, forgets acknowledged windows and stays below the size of the store', t => {
  const record = { keeper: 'vm-1/a', nextWindow: 12, windows: [{ window: 10, counts: [] }, { window: 11, counts: [] }] }
  const counted = [{ window: 11, counts: [['x', 1]] as Array<[string, number]> }, { window: 12, counts: [] }]
  const next = withCounted(record, counted, window => window === 10)
  t.deepEqual(next.record.windows, [{ window: 11, counts: [] }, { window: 12, counts: [] }])
  t.is(next.record.nextWindow, 13)

  const many = Array.from({ length: 4000 }, (_, index): [string, number] => [`workspace-${index}`, 1000])
  let large = record
  let dropped = 0
  for (let window = 12; window < 120; window++) {
    const grown = withCounted(large, [{ window, counts: many }], () => false)
    large = grown.record as typeof record
    dropped += grown.dropped.length
  }
  t.true(encodeRecord(large).length <= maxRecordBytes)
  t.true(large.windows.length <= maxStoredWindows)
  t.is(dropped + large.windows.length, 110)
  t.is(firstDueWindow(12, 12 + 2 * maxStoredWindows), 12 + maxStoredWindows)
})

// Guards against a gateway that the store refuses and that loses contact, because its watcher forwards no long values.
test('while the service is down, the record stays short enough to be forwarded, with the windows that are due', t => {
  const counts = Array.from({ length: 80 }, (_, index): [string, number] => [`workspace${index}`, 1234])
  let record: UsageRecord = { keeper: 'a/1/x', nextWindow: firstWindow, windows: [] }
  for (let window = firstWindow; window < firstWindow + maxStoredWindows; window++) {
    record = withCounted(record, [{ window, counts }], () => false).record
    t.true(encodeRecord(record).length <= maxKeptValueBytes)
    t.true(record.windows.length >= Math.min(4, window - firstWindow + 1))
  }
})

// Guards against windows of many workspaces that are dropped before their reports are due.
test('the newest windows are stored also if they make the record longer', t => {
  const counts = Array.from({ length: 2000 }, (_, index): [string, number] => [`workspace${index}`, 1234])
  const windows = Array.from({ length: 6 }, (_, index) => ({ window: firstWindow + index, counts }))
  const empty: UsageRecord = { keeper: 'a/1/x', nextWindow: firstWindow, windows: [] }
  const { record, dropped } = withCounted(empty, windows, () => false)
  t.is(record.windows.length, 4)
  t.deepEqual(dropped, [firstWindow, firstWindow + 1])
})

test('a record is claimed only while its process is a member', t => {
  const member = { name: 'a/1', dataCentre: 'd', region: 'r', address: 'h:1', incarnation: 'x', draining: false }
  const record = { keeper: 'a/1/x', nextWindow: 0, windows: [] }
  t.true(isUsageClaimed(record, new Map([['a/1', member]])))
  t.false(isUsageClaimed(record, new Map([['a/1', { ...member, incarnation: 'y' }]])))
  t.false(isUsageClaimed(record, new Map()))
  t.false(isUsageClaimed({ ...record, keeper: '' }, new Map([['a/1', member]])))
  t.false(isUsageClaimed(undefined, new Map()))
})

// Guards against two reporters that act in turn within the lease time.
test('a reporter acts only half a lease after its claim, with its lease and a recent proof of the claim', t => {
  const state = { leaseMs: 3000, sinceClaimMs: 1600, sinceProofMs: 100, isLeaseHeld: true }
  t.true(maySend(state))
  t.false(maySend({ ...state, sinceClaimMs: 1500 }))
  t.false(maySend({ ...state, sinceProofMs: 800 }))
  t.false(maySend({ ...state, isLeaseHeld: false }))
})
