/**
 * When senders move to a holder that ranks better than the one in use.
 */
import test from 'ava'
import { createRandom } from '@egretyoke/common'
import { createStickyHolders } from './sticky-holders.js'

/** Senders that have run for so long. */
const startMs = 60_000

const createSenders = (count: number) => {
  const time = { nowMs: 0 }
  const random = createRandom(3)
  const moves: string[] = []
  const senders = Array.from({ length: count }, () => createStickyHolders({
    nowMs: () => time.nowMs,
    fraction: random.fraction,
    onMove: ({ key, from, to, cause }) => moves.push([key, from, to, cause].join(' '))
  }))
  const holdersAt = (nowMs: number, working: readonly string[]) => {
    time.nowMs = startMs + nowMs
    return senders.map(({ choose }) => choose('db', working[0], name => working.includes(name)))
  }
  return { holdersAt, moves }
}

const countOf = (holders: readonly string[], name: string) =>
  holders.filter(holder => holder === name).length

// Guards against all connections to a database being reopened at once when its holder returns.
test('80 senders move to a holder that returned one after the other, within 7 s', t => {
  const { holdersAt } = createSenders(80)
  t.is(countOf(holdersAt(0, ['a', 'b']), 'a'), 80)
  t.is(countOf(holdersAt(100, ['b']), 'b'), 80)
  t.is(countOf(holdersAt(3000, ['a', 'b']), 'b'), 80)
  t.is(countOf(holdersAt(3999, ['a', 'b']), 'b'), 80)
  let moved = 0
  for (let nowMs = 4000; nowMs <= 10_000; nowMs += 500) {
    const movedNow = countOf(holdersAt(nowMs, ['a', 'b']), 'a')
    t.true(movedNow - moved <= 16, `${movedNow - moved} at ${nowMs}`)
    moved = movedNow
  }
  t.is(moved, 80)
})

// Guards against moving twice within seconds while a VM loses and regains its lease.
test('a better holder that leaves again is never moved to', t => {
  const { holdersAt } = createSenders(20)
  holdersAt(0, ['b', 'c'])
  for (let nowMs = 0; nowMs < 20_000; nowMs += 1000) {
    t.is(countOf(holdersAt(nowMs, ['a', 'b', 'c']), 'b'), 20)
    t.is(countOf(holdersAt(nowMs + 500, ['b', 'c']), 'b'), 20)
  }
})

test('a holder that no longer works is left at once, for the best one', t => {
  const { holdersAt, moves } = createSenders(1)
  holdersAt(0, ['b', 'c'])
  t.deepEqual(holdersAt(10, ['a', 'b', 'c']), ['b'])
  t.deepEqual(holdersAt(20, ['a', 'c']), ['a'])
  t.deepEqual(moves, ['db b a left'])
})

// Guards against dividing a database's connections among many holders while a fleet starts.
test('a sender that has just started always uses the best holder', t => {
  const { holdersAt } = createSenders(1)
  const sinceStart = (nowMs: number) => nowMs - startMs
  t.deepEqual(holdersAt(sinceStart(0), ['c']), ['c'])
  t.deepEqual(holdersAt(sinceStart(500), ['b', 'c']), ['b'])
  t.deepEqual(holdersAt(sinceStart(4000), ['a', 'b', 'c']), ['a'])
})

test('a move goes to the best holder at that time', t => {
  const { holdersAt, moves } = createSenders(1)
  holdersAt(0, ['c'])
  holdersAt(10, ['b', 'c'])
  t.deepEqual(holdersAt(8000, ['a', 'b', 'c']), ['a'])
  t.deepEqual(moves, ['db c a ranked'])
})
