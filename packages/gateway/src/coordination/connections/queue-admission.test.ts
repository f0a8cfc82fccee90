/**
 * Statements that arrive at a full database.
 */
import test from 'ava'
import { createQueueAdmission, maxExpectedWaitMs, retryDelayMs, statementClassOf } from './queue-admission.js'
import { writeRequest } from '../../testing/holder-environment.js'

const slots = 3

/** An admission that has seen statements of this duration. */
const admissionAt = (serviceMs: number) => {
  const admission = createQueueAdmission()
  for (let statement = 0; statement < 100; statement++) admission.recordService('', serviceMs)
  return admission
}

/** The backlog of queued and running statements of one class. */
const backlogOf = (serviceMs: number, ahead: number, running = slots) =>
  ({ aheadMs: ahead * serviceMs, runningMs: Array.from({ length: running }, () => serviceMs), limit: slots })

/** Expected wait behind this many statements that take the measured time. */
const waitBehind = (serviceMs: number, ahead: number) => {
  const admission = admissionAt(serviceMs)
  return admission.expectedWaitMs(backlogOf(admission.serviceMs(), ahead))
}

test('with a free slot there is no wait', t => {
  t.is(admissionAt(20).expectedWaitMs(backlogOf(20, 0, slots - 1)), 0)
})

test('a statement that cannot get a slot within its time is known when it arrives', t => {
  // A database turns seven times slower while 40 statements are queued: the last one would wait 1.7 s.
  const usual = waitBehind(18, 40)
  const slow = waitBehind(18 * 7, 40)
  t.true(usual < 600, `${usual}`)
  t.true(slow > 600, `${slow}`)
})

test('the expected wait is close to the wait at a constant rate of service', t => {
  for (const ahead of [0, 5, 60]) {
    // Each slot becomes free at a random time of the statement that runs on it.
    const waitMs = (ahead + 0.5) / slots * 30
    t.true(Math.abs(waitBehind(30, ahead) - waitMs) <= 30)
  }
})

test('a statement waits for more than one end while more run than may', t => {
  const admission = admissionAt(20)
  const [one, two] = [slots, slots + 1].map(running => admission.expectedWaitMs(backlogOf(20, 0, running)))
  t.true(two! > one!, `${one} ${two}`)
})

// Guards against refusals of fast statements, and late drops of slow ones, because one class has become slow.
test('a slow class does not change the estimate of another class', t => {
  const admission = createQueueAdmission()
  for (let statement = 0; statement < 100; statement++) {
    admission.recordService('fast', 6)
    admission.recordService('slow', 300)
  }
  t.is(Math.round(admission.serviceMs('fast')), 6)
  t.is(Math.round(admission.serviceMs('slow')), 300)
  const aheadMs = 40 * admission.serviceMs('fast')
  const waitMs = admission.expectedWaitMs({ aheadMs, runningMs: [6, 6, 6], limit: slots })
  t.true(waitMs < 40 * 6, `${waitMs}`)
})

test('the first statements of a class count in full, and a class without any has the average of all', t => {
  const admission = createQueueAdmission()
  t.is(admission.serviceMs('new'), 20)
  admission.recordService('quick', 4)
  t.deepEqual([admission.serviceMs('quick'), admission.serviceMs('new')], [4, 4])
})

test('classes differ by priority, access, kind of route and use of a transaction', t => {
  const requests = [
    writeRequest({}),
    writeRequest({ priority: 2 }),
    writeRequest({ access: 'READ' }),
    writeRequest({ access: 'READ', maxStalenessMs: 1500 }),
    writeRequest({ access: 'READ', maxStalenessMs: 2500 }),
    writeRequest({ transaction: 'OPEN_READ_WRITE' }),
    writeRequest({ verb: 'COMMIT', transaction: 'CONTINUE' })
  ]
  t.is(new Set(requests.map(statementClassOf)).size, requests.length)
  t.is(statementClassOf(writeRequest({ text: 'WRITE 2 y', workspace: 'yard-b' })), statementClassOf(writeRequest({})))
})

// Guards against statements that are held beyond their target latency only because their timeout is long.
test('a statement is queued only if it is expected to be sent within its target latency', t => {
  t.is(maxExpectedWaitMs({ maxQueuedMs: 1400, targetLatencyMs: 601 }), 601)
  t.is(maxExpectedWaitMs({ maxQueuedMs: 560, targetLatencyMs: 2001 }), 560)
  t.is(maxExpectedWaitMs({ maxQueuedMs: 560 }), 560)
  t.is(maxExpectedWaitMs({ maxQueuedMs: 560, targetLatencyMs: 0 }), 560)
})

// Guards against refused callers that all return at once.
test('a refusal names a time after the expected wait, and different ones', t => {
  t.deepEqual([0, 0.5, 1].map(random => retryDelayMs(800, random)), [800, 1000, 1200])
  t.true(retryDelayMs(0, 0) > 0)
  t.true(retryDelayMs(1e9, 1) <= 5000)
})
