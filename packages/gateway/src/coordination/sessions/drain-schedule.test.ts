/**
 * Callers that go on with statements on open sessions while a gateway stops.
 */
import test from 'ava'
import { drainPhaseAt, startsNewWork } from './drain-schedule.js'

const graceMs = 6000

test('the phases follow each other, and one of a short grace period comes no later than its fraction', t => {
  const phases = [0, 2300, 3000, 5300, 5400].map(elapsedMs => drainPhaseAt(elapsedMs, graceMs))
  t.deepEqual(phases, ['announced', 'closingIdle', 'finishing', 'finishing', 'over'])
  t.is(drainPhaseAt(1000, 2000), 'finishing')
  t.is(drainPhaseAt(1800, 2000), 'over')
})

// Guards against reads that are cut off although their database answers before the last sixth of the grace period.
test('a statement that takes 2 s is answered or refused, whenever it is sent on a session that is never idle', t => {
  const statementMs = 1990
  for (let sentMs = 0; sentMs < graceMs; sentMs += 10) {
    const isStarted = startsNewWork(drainPhaseAt(sentMs, graceMs))
    if (isStarted) t.not(drainPhaseAt(sentMs + statementMs, graceMs), 'over')
  }
  t.true(startsNewWork(undefined))
})
