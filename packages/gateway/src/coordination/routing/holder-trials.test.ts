/**
 * Holders that the store refuses, under statements that need the primary.
 */
import test from 'ava'
import { notRun } from '../sessions/statement.js'
import { createHolderTrials } from './holder-trials.js'

const noContact = notRun('noContact')
const done = { status: 'DONE', reason: '' } as const
const middle = () => 0.5

/** Number of statements sent to a holder that has no contact until `untilMs`, and whether it is open at the end. */
const sendFor = (durationMs: number, untilMs: number) => {
  const trials = createHolderTrials(middle)
  let sent = 0
  for (let nowMs = 0; nowMs < durationMs; nowMs += 10) {
    if (!trials.isOpen('vm-1/a', nowMs)) continue
    sent += nowMs < untilMs ? 1 : 0
    trials.start('vm-1/a', nowMs)
    trials.record('vm-1/a', nowMs < untilMs ? noContact : done, nowMs, nowMs)
  }
  return { sent, isOpen: trials.isOpen('vm-1/a', durationMs) }
}

// Guards against statements that a holder without lease declines for as long as it has none.
test('a holder without contact gets few of the 1,000 statements of 10 s, and all of them afterwards', t => {
  const { sent } = sendFor(10_000, Infinity)
  t.true(sent > 1 && sent <= 10, `${sent} sent`)
  t.true(sendFor(10_000, 3000).isOpen)
})

test('only one statement at a time is a trial', t => {
  const trials = createHolderTrials(middle)
  trials.record('vm-1/a', noContact, 0, 0)
  t.false(trials.isOpen('vm-1/a', 199))
  t.true(trials.isOpen('vm-1/a', 200))
  trials.start('vm-1/a', 200)
  t.false(trials.isOpen('vm-1/a', 201))
  // The trial got no reply: another one is due later.
  t.is(trials.record('vm-1/a', notRun('holderSilent'), 200, 300), undefined)
  t.true(trials.isOpen('vm-1/a', 400))
})

test('replies to statements sent before the first refusal neither count as trials nor reopen the holder', t => {
  const trials = createHolderTrials(middle)
  t.is(trials.record('vm-1/a', noContact, 0, 50), 'lost')
  for (let statement = 0; statement < 20; statement++) trials.record('vm-1/a', noContact, 10, 60)
  t.is(trials.record('vm-1/a', notRun('busy'), 20, 70), undefined)
  t.false(trials.isOpen('vm-1/a', 249))
  t.true(trials.isOpen('vm-1/a', 250))
})

test('a statement that the holder has run, and a new process of the VM, are not held back', t => {
  const trials = createHolderTrials(middle)
  trials.record('vm-1/a', noContact, 0, 0)
  t.true(trials.isOpen('vm-1/b', 1))
  t.is(trials.record('vm-1/a', done, 0, 10), 'regained')
  t.true(trials.isOpen('vm-1/a', 11))
})
