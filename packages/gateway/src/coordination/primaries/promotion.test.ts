/**
 * When a promotion counts as done: by the term that the database leads.
 */
import { Err, Ok, sleepMs, typedError } from '@egretyoke/common'
import test from 'ava'
import type { ControlCommands } from '../connections/control-commands.js'
import type { DatabaseStatus } from '../connections/database-connection.js'
import type { Candidate } from './primary-evidence.js'
import { promoteAndWait } from './promotion.js'
import type { PromoteDatabase } from './promotion.js'

const statusOf = (role: DatabaseStatus['role'], term: number): DatabaseStatus =>
  ({ role, term, receivedPosition: `${term}.1`, appliedPosition: `${term}.1` })

const accepted: PromoteDatabase = async () => Ok(undefined)

/** Promotes a database whose status changes from `before` to `after` when 100 ms have passed; replies may be late. */
const run = async (
  before: DatabaseStatus, after: DatabaseStatus, unchangedAfterMs: number, promote = accepted, replyDelayMs = 0
) => {
  const startedAtMs = performance.now()
  const elapsedMs = () => performance.now() - startedAtMs
  const control = {
    run: async () => {
      const status = elapsedMs() < 100 ? before : after
      await sleepMs(replyDelayMs)
      return Ok(status)
    }
  } as unknown as ControlCommands
  const outcome = await promoteAndWait({ control, promote, log: () => {} }, {
    group: 'bookings',
    chosen: { database: { id: 'db-2' }, status: before } as Candidate,
    newestTerm: 2,
    fence: 7,
    unchangedAfterMs: () => unchangedAfterMs
  })
  return { ...outcome, tookMs: elapsedMs() }
}

test('a promotion counts as soon as its database leads a newer term', async t => {
  const { primary, isRequested, tookMs } = await run(statusOf('replica', 2), statusOf('primary', 3), Infinity)
  t.is(primary?.status.term, 3)
  t.true(isRequested)
  t.true(tookMs >= 90 && tookMs < 1000)
})

// Guards against a primary of an earlier term that is recorded before its promotion to a newer one.
test('an unchanged term counts only after the given time', async t => {
  const unchanged = await run(statusOf('primary', 2), statusOf('primary', 2), 300)
  t.is(unchanged.primary?.status.term, 2)
  t.true(unchanged.tookMs >= 300)
  t.is((await run(statusOf('primary', 2), statusOf('primary', 4), 300)).primary?.status.term, 4)
})

// Guards against a status of before the promotion whose reply is read so late that the term seems unchanged.
test('a status that was requested before the given time does not show that the term is unchanged', async t => {
  const late = await run(statusOf('primary', 2), statusOf('primary', 4), 300, accepted, 400)
  t.is(late.primary?.status.term, 4)
})

test('a term that is not the newest never counts, and a declined promotion is none', async t => {
  t.is((await run(statusOf('primary', 1), statusOf('primary', 1), 0)).primary, undefined)
  const declined = await run(
    statusOf('replica', 2), statusOf('primary', 3), 0, async () => Err(typedError('declined', 'not running')))
  t.like(declined, { isRequested: false, primary: undefined })
})
