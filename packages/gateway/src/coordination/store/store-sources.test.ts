/**
 * Replies of a watcher to the gateways that follow the store through it.
 */
import { Ok } from '@egretyoke/common'
import test from 'ava'
import { createAgeClock, createContact } from '../../state/contact.js'
import { createStoreHistory } from '../../state/store-history.js'
import { replyToFollower } from './follower-replies.js'
import { createStoreSources } from './store-sources.js'
import type { StoreSourcesOptions } from './store-sources.js'

const createWatcher = () => {
  const clock = createAgeClock()
  return { clock, history: createStoreHistory(), contact: createContact(clock) }
}

const change = (revision: number, bytes = 1) =>
  ({ key: `key-${revision}`, value: Buffer.alloc(bytes), revision, deleted: false })

test('a follower behind the watcher\'s history gets an incomplete reply at once', async t => {
  const watcher = createWatcher()
  watcher.history.reset(72)
  watcher.contact.confirm(watcher.clock.now())
  const startedAtMs = performance.now()
  const reply = await replyToFollower(watcher, { afterRevision: 70, waitMs: 5000 })
  t.false(reply.complete)
  t.true(performance.now() - startedAtMs < 1000)
})

test('a confirmation without changes ends the long poll and is returned with its age', async t => {
  const watcher = createWatcher()
  watcher.history.reset(72)
  const reply = replyToFollower(watcher, { afterRevision: 72, waitMs: 60_000 })
  watcher.contact.confirm(watcher.clock.now())
  watcher.history.record({ entries: [], revision: 72 })
  const { complete, confirmed, changes, ageMs = 0 } = await reply
  t.deepEqual([complete, confirmed, changes], [true, true, []])
  t.true(ageMs < 1000)
})

test('a watcher without store contact reports no confirmation', async t => {
  const watcher = createWatcher()
  watcher.history.reset(72)
  t.false((await replyToFollower(watcher, { afterRevision: 72, waitMs: 10 })).confirmed)
})

test('a long value is omitted, but its change is reported', async t => {
  const watcher = createWatcher()
  watcher.history.reset(0)
  watcher.history.record({ entries: [change(1), change(2, 40_000)], revision: 2 })
  const { changes = [] } = await replyToFollower(watcher, { afterRevision: 0, waitMs: 10 })
  t.deepEqual(changes.map(({ revision, valueLeftOut }) => [revision, valueLeftOut]), [[1, false], [2, true]])
})

/** Polls of the store by a starting gateway whose link to its watcher is established after `linkMs`. */
const countPollsUntilFollowing = async (members: number, linkMs: number): Promise<number> => {
  const clock = createAgeClock()
  const contact = createContact(clock)
  contact.confirm(clock.now())
  const startedAtMs = performance.now()
  let polls = 0
  const watcher = { name: 'vm-1', dataCentre: 'quay', draining: false }
  const storeNews = { complete: true, changes: [], revision: 9, confirmed: true, ageMs: 0, waitedMs: 0 }
  const sources = createStoreSources({
    name: 'vm-2',
    dataCentre: 'quay',
    election: { ranked: () => [watcher] },
    memberCount: () => members,
    backoff: { delayMs: () => 0 },
    contact,
    clock,
    relay: {
      isUsable: () => true,
      isConnected: () => performance.now() - startedAtMs >= linkMs,
      call: async () => Ok({ storeNews })
    },
    store: {
      // Another member joins with every poll.
      changes: async () => {
        polls++
        return Ok({ entries: [], revision: 9 })
      }
    },
    log: () => {}
  } as unknown as StoreSourcesOptions)
  while (performance.now() - startedAtMs < linkMs) await sources.next(8)
  return polls
}

test('while a large fleet starts, a gateway waits for its watcher, without a poll for each new member', async t => {
  t.is(await countPollsUntilFollowing(195, 150), 0)
  t.true(await countPollsUntilFollowing(195, 1000) <= 8)
})

test('a gateway of a small fleet does not wait for its watcher', async t => {
  t.true(await countPollsUntilFollowing(9, 150) > 0)
})
