/**
 * Reads while one database of a group fails a part of them, is silent or slow.
 */
import test from 'ava'
import { createOutliers } from './outliers.js'

const group = ['db-1', 'db-2', 'db-3']
const middle = () => 0.5

type Play = (database: string, number: number) => { hasFailed: boolean, serviceMs: number }

/** Sends one read every 20 ms to the first database of the group that is not ejected; returns how many each got. */
const sendFor = (durationMs: number, play: Play, preferred: readonly string[] = ['db-2', 'db-1', 'db-3']) => {
  const outliers = createOutliers(middle)
  const sent: Record<string, number> = { 'db-1': 0, 'db-2': 0, 'db-3': 0 }
  const changes: string[] = []
  let maxEjected = 0
  const read = (database: string, nowMs: number) => {
    outliers.start(database, nowMs)
    const { hasFailed, serviceMs } = play(database, sent[database]!++)
    const change = outliers.record(database, group, { hasFailed, serviceMs, startedAtMs: nowMs, endedAtMs: nowMs + 1 })
    if (change !== undefined) changes.push(`${change} ${database}`)
  }
  for (let nowMs = 0; nowMs < durationMs; nowMs += 20) {
    read(preferred.find(id => !outliers.isEjected(id, nowMs)) ?? preferred[0]!, nowMs)
    if (nowMs % 200 === 0) read('db-3', nowMs)
    maxEjected = Math.max(maxEjected, group.filter(id => outliers.isEjected(id, nowMs)).length)
  }
  return { sent, changes, maxEjected }
}

const healthy = { hasFailed: false, serviceMs: 30 }
const failing = { hasFailed: true, serviceMs: 30 }

// Guards against a database with a good health check that fails half of the reads of its region for as long as it does.
test('a database that fails every other read gets few of 20 s of reads', t => {
  const { sent, changes } = sendFor(20_000, (id, number) => id === 'db-2' && number % 2 === 0 ? failing : healthy)
  t.is(changes[0], 'ejected db-2')
  t.true(sent['db-2']! < 60, `${sent['db-2']} of 1000`)
})

test('a database that is far slower than the others is ejected, one that is a little slower is not', t => {
  t.true(sendFor(5000, id => ({ hasFailed: false, serviceMs: id === 'db-2' ? 400 : 30 })).changes.length > 0)
  t.deepEqual(sendFor(5000, id => ({ hasFailed: false, serviceMs: id === 'db-2' ? 120 : 30 })).changes, [])
})

// Guards against the ejection of a database for reads that fail at each one.
test('reads that fail everywhere eject nothing, and few failures do not either', t => {
  t.deepEqual(sendFor(5000, (_id, number) => number % 2 === 0 ? failing : healthy).changes, [])
  t.deepEqual(sendFor(5000, (id, number) => id === 'db-2' && number % 10 === 0 ? failing : healthy).changes, [])
})

test('no more than one of three databases is ejected, and none of two', t => {
  const { maxEjected } = sendFor(10_000, id => id === 'db-3' ? healthy : failing)
  t.is(maxEjected, 1)
  const outliers = createOutliers(middle)
  for (let read = 0; read < 20; read++) {
    outliers.record('db-1', ['db-1', 'db-2'], { ...failing, startedAtMs: read, endedAtMs: read })
  }
  t.false(outliers.isEjected('db-1', 21))
})

test('a database that has recovered returns by single trials', t => {
  const { sent, changes } = sendFor(10_000, (id, number) => id === 'db-2' && number < 6 ? failing : healthy)
  t.deepEqual([changes.at(-1), changes.length], ['returned db-2', 2])
  t.true(sent['db-2']! > 150)
  const outliers = createOutliers(middle)
  for (let read = 0; read < 5; read++) outliers.record('db-2', group, { ...failing, startedAtMs: 0, endedAtMs: 1 })
  t.true(outliers.isEjected('db-2', 2000))
  t.false(outliers.isEjected('db-2', 2001))
  outliers.start('db-2', 2001)
  t.true(outliers.isEjected('db-2', 2002))
})
