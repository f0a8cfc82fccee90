/**
 * Positions that reads must reach: recent enough for the permitted staleness, and requested once for concurrent reads.
 */
import test from 'ava'
import { createAgeClock } from '../../state/contact.js'
import { createGroupPositions } from './group-positions.js'
import type { PositionSample } from './group-positions.js'

const createPositions = (replies: Array<string | undefined>, replyMs = 0) => {
  const time = { nowMs: 0 }
  const clock = createAgeClock(() => time.nowMs, () => time.nowMs)
  let requestCount = 0
  const fetchPosition = async (): Promise<PositionSample | undefined> => {
    const position = replies[requestCount++]
    const coversUntil = clock.now()
    time.nowMs += replyMs
    return position === undefined ? undefined : { position, coversUntil }
  }
  const sleep = async (ms: number) => { time.nowMs += ms }
  return { time, clock, positions: createGroupPositions(clock, fetchPosition, sleep), requestCount: () => requestCount }
}

test('a sample within the permitted staleness is required without a request', async t => {
  const { clock, positions, requestCount } = createPositions([])
  positions.record('g', { position: '1.7', coversUntil: clock.now() })
  t.is(await positions.require('g', 1500), '1.7')
  t.is(requestCount(), 0)
})

test('an ageing sample is refreshed before it expires, by one request for concurrent reads', async t => {
  const { time, clock, positions, requestCount } = createPositions(['1.9'])
  positions.record('g', { position: '1.7', coversUntil: clock.now() })
  time.nowMs = 900
  t.deepEqual(await Promise.all([positions.require('g', 1500), positions.require('g', 1500)]), ['1.7', '1.7'])
  // The refreshed position serves reads after the first one has expired, without another request.
  time.nowMs = 1300
  t.is(await positions.require('g', 1500), '1.9')
  t.is(requestCount(), 1)
})

test('no read is permitted with an expired sample and no reply', async t => {
  const { time, clock, positions } = createPositions([undefined])
  positions.record('g', { position: '1.7', coversUntil: clock.now() })
  time.nowMs = 1600
  t.is(await positions.require('g', 1500), undefined)
})

// Guards against a read that is refused with most of its time left because one request had no reply.
test('a request for an unknown position is repeated while the read has time', async t => {
  const { time, positions, requestCount } = createPositions([undefined, '1.8'], 400)
  t.is(await positions.require('g', 1500, 800), '1.8')
  t.is(requestCount(), 2)
  t.is(time.nowMs, 850)
})

// Guards against reads that use up their time for requests, and against requests without a pause.
test('requests for an unknown position end with the read\'s time, also if they end at once', async t => {
  const slow = createPositions([], 400)
  t.is(await slow.positions.require('g', 1500, 800), undefined)
  t.is(slow.requestCount(), 2)
  const fast = createPositions([])
  t.is(await fast.positions.require('g', 1500, 800), undefined)
  t.is(fast.requestCount(), 16)
})

// Guards against reads with a short bound that repeat their request until a reply takes less time than the bound.
test('a position requested after the read arrived is new enough for any bound, however late its reply', async t => {
  for (const maxStalenessMs of [0, 0.5, 1, 20]) {
    const { positions, requestCount } = createPositions(['1.7'], 60)
    t.is(await positions.require('g', maxStalenessMs, 480), '1.7')
    t.is(requestCount(), 1)
  }
})

// Guards against a read that must see all commits and takes a position requested before some of them.
test('a position requested before the read arrived serves it only within its bound', async t => {
  const { time, clock, positions, requestCount } = createPositions(['1.9', '1.9'])
  positions.record('g', { position: '1.7', coversUntil: clock.now() })
  time.nowMs = 30
  t.is(await positions.require('g', 100), '1.7')
  t.is(requestCount(), 0)
  t.is(await positions.require('g', 20), '1.9')
  t.is(await positions.require('g', 0), '1.9')
  t.is(requestCount(), 1)
  time.nowMs = 31
  t.is(await positions.require('g', 0), '1.9')
  t.is(requestCount(), 2)
})

// Guards against a position of before a suspension, whose age the monotonic clock does not show.
test('after a suspension a position from before it serves no read, whatever the monotonic clock says', async t => {
  const time = { monotonicMs: 0, wallMs: 0 }
  const clock = createAgeClock(() => time.monotonicMs, () => time.wallMs)
  const positions = createGroupPositions(clock, async () => undefined)
  positions.record('g', { position: '1.7', coversUntil: clock.now() })
  Object.assign(time, { monotonicMs: 1, wallMs: 60_000 })
  t.is(await positions.require('g', 1500), undefined)
})

test('the requested age leaves room within the bound, and is at most that of positions that are passed on', async t => {
  const clock = createAgeClock(() => 0, () => 0)
  const requestedMs: number[] = []
  const positions = createGroupPositions(clock, async (_group, maxAgeMs) => {
    requestedMs.push(maxAgeMs)
    return undefined
  })
  for (const maxStalenessMs of [0, 20, 1500]) await positions.require('g', maxStalenessMs)
  t.deepEqual(requestedMs, [0, 8, 150])
})

test('an earlier position does not lower the required position', async t => {
  const { time, clock, positions } = createPositions([])
  positions.record('g', { position: '2.1', coversUntil: clock.now() })
  time.nowMs = 10
  positions.record('g', { position: '1.99', coversUntil: clock.now() })
  t.is(await positions.require('g', 1500), '2.1')
})

test('reads that may be 1.5 s old do not require what a replica receives within its lag', async t => {
  const { time, clock, positions } = createPositions([])
  const committedAtMs = new Map<number, number>()
  for (let number = 1; time.nowMs < 10_000; number++) {
    time.nowMs += 20
    committedAtMs.set(number, time.nowMs)
    positions.record('g', { position: `1.${number}`, coversUntil: clock.now() })
    const required = Number((await positions.require('g', 1500))?.split('.')[1])
    const requiredAgeMs = time.nowMs - (committedAtMs.get(required) ?? Infinity)
    // Old enough for replicas that lag by up to a second, and less old than the route permits.
    if (time.nowMs > 2000) t.true(requiredAgeMs > 1000 && requiredAgeMs < 1500, `${requiredAgeMs} ms`)
  }
})
