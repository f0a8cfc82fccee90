/**
 * Expected times at databases with unequal load.
 */
import test from 'ava'
import { createDatabaseLoads } from './database-load.js'

const database = { id: 'db-2', slots: 4 }
const report = {
  slots: 4, pace: 4, inFlight: 4, queued: [0, 0, 40], serviceMs: 20, position: '', connectionsLeft: 9, ageMs: 0
}

const loadsWith = (changes: Partial<typeof report>, nowMs = 0) => {
  const loads = createDatabaseLoads()
  loads.record('db-2', { load: 0, databaseLoad: { ...report, ...changes } }, nowMs)
  return loads
}

// Guards against a queue of statements without urgency that drives urgent ones to other regions.
test('a statement waits for those of its own and of more urgent priorities only', t => {
  const loads = loadsWith({})
  t.is(loads.expectedMs(database, 0, 0), 25)
  t.is(loads.expectedMs(database, 2, 0), 225)
  t.is(loads.expectedMs(database, 7, 0), 225)
})

test('a database that runs fewer statements at once than it has slots has a longer wait', t => {
  t.is(loadsWith({ pace: 1, inFlight: 1, queued: [3] }).expectedMs(database, 0, 0), 100)
})

// Guards against a database that is avoided for good after one report of a queue.
test('a report decays to the estimate for a database without one', t => {
  const loads = loadsWith({ ageMs: 500 }, 1000)
  t.is(createDatabaseLoads().expectedMs(database, 2, 0), 25)
  const times = [1000, 2000, 3000, 10_000].map(nowMs => loads.expectedMs(database, 2, nowMs))
  t.deepEqual(times, times.toSorted((one, other) => other - one))
  t.true(times[0]! < 225)
  t.true(times[3]! < 26)
})

test('the load of a gateway of an earlier version counts as statements ahead, at the assumed time', t => {
  const loads = createDatabaseLoads()
  loads.record('db-2', { load: 7, databaseLoad: null }, 0)
  t.is(loads.expectedMs(database, 0, 0), 25 + 4 * 25 / 4)
})

test('values that no holder can have observed leave the estimate finite and positive', t => {
  for (const value of [NaN, Infinity, -Infinity, -5, 1e300]) {
    const loads = loadsWith({ pace: value, inFlight: value, queued: [value], serviceMs: value, ageMs: value })
    const expectedMs = loads.expectedMs(database, 0, 0)
    t.true(Number.isFinite(expectedMs) && expectedMs > 0, `${value}: ${expectedMs}`)
  }
})
