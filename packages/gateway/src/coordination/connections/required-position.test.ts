/**
 * The position that a holder requires of a replica, by the staleness bound of the read.
 */
import test from 'ava'
import { createHolderEnvironment, writeRequest } from '../../testing/holder-environment.js'
import { createGroupPositions } from '../primaries/group-positions.js'
import { createAgeClock } from '../../state/contact.js'
import type { StatementRequest } from '../sessions/statement.js'

/** Outcome of a read at a replica without commits, while the primary's holder replies with the position. */
const readAt = async (primaryPosition: string | undefined, changes: Partial<StatementRequest>) => {
  const clock = createAgeClock()
  const positions = createGroupPositions(clock, async () =>
    primaryPosition === undefined ? undefined : { position: primaryPosition, coversUntil: clock.now() })
  const { holder } = createHolderEnvironment({ storeMs: 0, transactionIdleMs: 1000 }, 10, { clock, positions })
  const { status, reason } = await holder.run(
    writeRequest({ access: 'READ', text: 'READ 1', needsPrimary: false, timeoutMs: 200, ...changes })
  )
  holder.close()
  return { status, reason }
}

const done = { status: 'DONE', reason: '' } as const
const lagging = { status: 'NOT_RUN', reason: 'lagging' } as const

// Guards against reads that lack commits because a bound of 0 is taken for no bound.
test('a read that may lack no commit runs at a replica only at the position of the primary', async t => {
  for (const maxStalenessMs of [0, 0.4, 1]) {
    t.deepEqual(await readAt('1.1', { maxStalenessMs }), lagging)
    t.deepEqual(await readAt('0.0', { maxStalenessMs }), done)
    t.deepEqual(await readAt(undefined, { maxStalenessMs }), lagging)
  }
})

test('a read without a bound runs at any replica that has its own commits', async t => {
  t.deepEqual(await readAt('1.1', { maxStalenessMs: undefined }), done)
  t.deepEqual(await readAt(undefined, { maxStalenessMs: undefined }), done)
  t.deepEqual(await readAt(undefined, { maxStalenessMs: undefined, ownPosition: '1.1' }), lagging)
})
