/**
 * Connections that send many lines ahead, and what the event loop and other connections get meanwhile.
 */
import test from 'ava'
import { createTurns } from './turns.js'
import type { Turns } from './turns.js'

/** Turns whose rounds of the event loop begin when `round` is called. */
const createRounds = () => {
  const deferred: Array<() => void> = []
  const turns = createTurns(callback => { deferred.push(callback) })
  const settle = async () => await new Promise(resolve => setImmediate(resolve))
  const round = async () => {
    for (const callback of deferred.splice(0)) callback()
    await settle()
  }
  return { turns, round, settle, hasDeferred: () => deferred.length > 0 }
}

/** Serves the lines of one connection, and counts those that were served. */
const serve = (turns: Turns, lines: number, bytes = 17) => {
  const connection = turns.open()
  const served = { lines: 0 }
  const run = async () => {
    while (served.lines < lines) {
      served.lines++
      const next = connection.countLine(bytes)
      if (next !== undefined) await next
    }
  }
  run()
  return served
}

// Guards against a connection that keeps the event loop until all that it has sent is answered.
test('a connection is served a few lines in each round of the event loop', async t => {
  const { turns, round } = createRounds()
  const served = serve(turns, 1000)
  t.is(served.lines, 4)
  await round()
  t.is(served.lines, 8)
  await round()
  t.is(served.lines, 12)
})

test('connections that wait get equal turns, and one that comes later does not wait for them', async t => {
  const { turns, round } = createRounds()
  const crowd = Array.from({ length: 24 }, () => serve(turns, 1000))
  for (let count = 0; count < 10; count++) await round()
  t.deepEqual(new Set(crowd.map(({ lines }) => lines)), new Set([44]))
  t.is(serve(turns, 1).lines, 1)
})

test('the turns of a round are limited, and begin in the order in which the connections came', async t => {
  const { turns, round } = createRounds()
  const crowd = Array.from({ length: 100 }, () => serve(turns, 1000))
  await round()
  t.deepEqual(crowd.map(({ lines }) => lines), [...Array(32).fill(8), ...Array(68).fill(4)])
  await round()
  t.deepEqual(crowd.map(({ lines }) => lines), [...Array(64).fill(8), ...Array(36).fill(4)])
})

test('long lines use up a turn sooner', async t => {
  const { turns, round } = createRounds()
  const served = serve(turns, 1000, 1024 * 1024)
  t.is(served.lines, 1)
  await round()
  t.is(served.lines, 2)
})

test('without waiting connections nothing is deferred', async t => {
  const { turns, round, hasDeferred } = createRounds()
  serve(turns, 6)
  t.true(hasDeferred())
  await round()
  t.false(hasDeferred())
})
