/**
 * Which statements a holder counts, by what its database does with them. Guards against reports that count statements
 * that never reached a database, or that miss those without a usable reply.
 */
import test from 'ava'
import { createHolderEnvironment, writeRequest } from '../../testing/holder-environment.js'
import type { DatabaseReply } from '../connections/database-connection.js'
import { createFleetClock } from './fleet-clock.js'
import { createUsageCounter } from './usage-counter.js'

const windowMs = 60_000

const createEnvironment = () => {
  const monotonic = () => performance.now()
  const clock = createFleetClock(monotonic, () => windowMs + monotonic() % windowMs)
  const counter = createUsageCounter(windowMs, clock, monotonic)
  const environment = createHolderEnvironment({ storeMs: 0, transactionIdleMs: 1000 }, 10, { usage: counter })
  const counted = () => [0, 1, 2].reduce((sum, window) => sum + (counter.read(window).held.get('yard-a') ?? 0), 0)
  return { ...environment, counted }
}

/** Changes the replies to commands of one kind. */
const changing = (kind: string, changes: Partial<DatabaseReply>) =>
  (command: { kind: string }, reply: DatabaseReply) => command.kind === kind ? { ...reply, ...changes } : reply

test('a statement counts when it is done, failed or lost', async t => {
  const { database, holder, counted } = createEnvironment()
  await holder.run(writeRequest({}))
  database.changeReply = changing('text', { outcome: 'failed', message: 'duplicate' })
  await holder.run(writeRequest({ requestId: 'r2' }))
  database.changeReply = changing('text', { outcome: 'lost' })
  await holder.run(writeRequest({ requestId: 'r3' }))
  t.is(counted(), 3)
  holder.close()
})

test('a statement does not count when the database declined it or a command before it', async t => {
  const { database, holder, counted } = createEnvironment()
  database.changeReply = changing('text', { outcome: 'declined', declineReason: 'busy' })
  await holder.run(writeRequest({}))
  database.changeReply = changing('begin', { outcome: 'declined', declineReason: 'busy', transaction: 'none' })
  await holder.run(writeRequest({ transaction: 'OPEN_READ_WRITE', transactionId: 's/1' }))
  t.is(counted(), 0)
  holder.close()
})

test('a transaction counts once', async t => {
  const { holder, counted } = createEnvironment()
  const transactionId = 's/1'
  await holder.run(writeRequest({ transaction: 'OPEN_READ_WRITE', transactionId }))
  await holder.run(writeRequest({ transaction: 'CONTINUE', transactionId }))
  await holder.run(writeRequest({ transaction: 'CONTINUE', verb: 'COMMIT', text: '', transactionId }))
  t.is(counted(), 1)
  holder.close()
})
