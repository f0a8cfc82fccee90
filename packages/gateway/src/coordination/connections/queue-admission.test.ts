/**
 * Statements that arrive at a full database.
 */
import test from 'ava'
import { createQueueAdmission } from './queue-admission.js'

const slots = 3

/** An admission that has seen statements of this duration. */
const admissionAt = (serviceMs: number) => {
  const admission = createQueueAdmission()
  for (let statement = 0; statement < 100; statement++) admission.recordService(serviceMs)
  return admission
}

test('with a free slot there is no wait', t => {
  t.is(admissionAt(20).expectedWaitMs({ ahead: 0, inFlight: slots - 1, slots }), 0)
})

test('a statement that cannot get a slot within its time is known when it arrives', t => {
  // A database turns seven times slower while 40 statements are queued: the last one would wait 1.7 s.
  const usual = admissionAt(18).expectedWaitMs({ ahead: 40, inFlight: slots, slots })
  const slow = admissionAt(18 * 7).expectedWaitMs({ ahead: 40, inFlight: slots, slots })
  t.true(usual < 600, `${usual}`)
  t.true(slow > 600, `${slow}`)
})

test('the expected wait is close to the wait at a constant rate of service', t => {
  const admission = admissionAt(30)
  for (const ahead of [0, 5, 60]) {
    // Each slot becomes free at a random time of the statement that runs on it.
    const waitMs = (ahead + 0.5) / slots * 30
    t.true(Math.abs(admission.expectedWaitMs({ ahead, inFlight: slots, slots }) - waitMs) <= 30)
  }
})
