/**
 * Pace of a database that comes back under full load, in virtual time.
 */
import test from 'ava'
import { createDatabasePace } from './database-pace.js'
import type { PacedStatement } from './database-pace.js'

const slots = 4

/** Service times of statements of one class, in order; their mean is 20 ms. */
const times = [2, 30, 11, 6, 41, 8, 55, 3, 18, 26]

/** A database that serves `capacity` statements at once without slowing down, and a holder with a full queue. */
const createSimulation = () => {
  const time = { nowMs: 0 }
  const database = { capacity: slots, slowdown: 1, isDeclining: false, callsEveryMs: 1 }
  const changes: Array<string | undefined> = []
  const pace = createDatabasePace({
    slots: () => slots, nowMs: () => time.nowMs, onChange: ({ cause }) => { changes.push(cause) }
  })
  const running = new Set<{ paced: PacedStatement, startedAtMs: number, leftMs: number }>()
  let started = 0
  let done = 0

  const step = () => {
    const shared = Math.min(1, database.capacity / Math.max(1, running.size))
    for (const statement of running) {
      statement.leftMs -= shared
      if (statement.leftMs > 0 && !database.isDeclining) continue
      running.delete(statement)
      statement.paced.end(
        database.isDeclining ? 'declined' : 'answered', time.nowMs - statement.startedAtMs, 'read'
      )
      done++
    }
    const mayCall = time.nowMs % database.callsEveryMs === 0
    while (mayCall && running.size < pace.limit()) {
      const leftMs = times[started++ % times.length]! * database.slowdown
      running.add({ paced: pace.start(), startedAtMs: time.nowMs, leftMs })
      if (database.callsEveryMs > 1) break
    }
    time.nowMs++
  }

  const runFor = (ms: number) => {
    const paces: number[] = []
    const doneBefore = done
    for (const endMs = time.nowMs + ms; time.nowMs < endMs;) {
      step()
      paces.push(pace.limit())
    }
    const mean = paces.reduce((sum, one) => sum + one, 0) / paces.length
    return { min: Math.min(...paces), max: Math.max(...paces), mean, done: done - doneBefore }
  }
  return { time, database, pace, changes, runFor }
}

// Guards against a bound on a database in use because its statements differ, or because it is slow for a while.
test('a database in use runs at its slots, also while it is slow', t => {
  const { database, pace, changes, runFor } = createSimulation()
  t.is(runFor(5000).min, slots)
  database.slowdown = 7
  t.is(runFor(5000).min, slots)
  t.true(pace.isSettled())
  t.deepEqual(changes, [])
})

test('a database that comes back healthy reaches its slots within a second', t => {
  for (const cause of ['started', 'noReply', 'promoted'] as const) {
    const { pace, changes, runFor } = createSimulation()
    runFor(2000)
    pace.restart(cause)
    t.true(pace.limit() <= 2)
    runFor(1000)
    t.is(pace.limit(), slots)
    runFor(1000)
    t.true(pace.isSettled())
    t.deepEqual(changes, [cause, undefined])
  }
})

// Guards against a cold database that is kept slow by as many statements as it has slots.
test('a database that serves less than its slots for a while is not filled, and is once it serves them', t => {
  const { database, pace, runFor } = createSimulation()
  runFor(2000)
  database.capacity = 0.8
  pace.restart('started')
  const cold = runFor(1500)
  t.true(cold.mean <= 2.5, `${cold.mean}`)
  t.false(pace.isSettled())
  database.capacity = slots
  runFor(3000)
  t.is(pace.limit(), slots)
})

// Guards against a pace of one for a database that has become slower whatever its load is.
test('a database that is slower than before at any load reaches its slots', t => {
  const { database, pace, runFor } = createSimulation()
  runFor(2000)
  database.slowdown = 5
  pace.restart('noReply')
  runFor(8000)
  t.is(pace.limit(), slots)
})

test('a database that declines gets less at once, and its slots again later', t => {
  const { database, pace, runFor } = createSimulation()
  runFor(1000)
  database.isDeclining = true
  runFor(500)
  t.is(pace.limit(), 1)
  database.isDeclining = false
  runFor(3000)
  t.true(pace.isSettled())
})

// Guards against a burst that meets the low pace of a start long ago, because few statements came since.
test('with few statements a database is settled after some time', t => {
  const { database, pace, runFor } = createSimulation()
  database.callsEveryMs = 200
  pace.restart('started')
  runFor(1000)
  t.false(pace.isSettled())
  runFor(1500)
  t.true(pace.isSettled())
})

test('statements from before a restart do not raise the pace', t => {
  const { pace } = createSimulation()
  const before = Array.from({ length: 20 }, () => pace.start())
  pace.restart('noReply')
  for (const statement of before) statement.end('answered', 5, 'read')
  t.is(pace.limit(), 1)
})
