/**
 * Replies of a watcher to the gateways that follow the store through it.
 */
import { Ok } from '@egretyoke/common'
import type { RelayMessages } from '@egretyoke/protocol'
import test from 'ava'
import { createAgeClock, createContact } from '../../state/contact.js'
import { createStoreHistory } from '../../state/store-history.js'
import type { Member } from '../../state/stored-records.js'
import type { RelayCalls } from '../routing/relay-calls.js'
import { replyToFollower } from './follower-replies.js'
import type { FollowRequest } from './follower-replies.js'
import { readPeerState } from './peer-state.js'
import { createStoreSources } from './store-sources.js'
import type { StoreSourcesOptions } from './store-sources.js'

type StoreNews = RelayMessages.StoreNews__Output

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

const behind = { afterRevision: 70, waitMs: 5000 }

test('a follower that does not take the whole state gets an incomplete reply without entries', async t => {
  const watcher = createWatcher()
  watcher.history.reset(72, [change(71)])
  const { complete, wholeState, changes } = await replyToFollower(watcher, behind)
  t.deepEqual([complete, wholeState, changes], [false, false, []])
})

/** Requests to a gateway, answered without a network. */
const callsTo = (watcher: ReturnType<typeof createWatcher>) => {
  const replies: StoreNews[] = []
  const call = async (_peer: unknown, { followStore }: { followStore: FollowRequest }) => {
    const storeNews = await replyToFollower(watcher, followStore) as StoreNews
    replies.push(storeNews)
    return Ok({ storeNews })
  }
  return { replies, call }
}

test('a follower behind the history reads the whole state in parts of at most 1 MB', async t => {
  const watcher = createWatcher()
  watcher.history.reset(172, Array.from({ length: 100 }, (_, index) => change(index + 1, 30_000)))
  const { replies, call } = callsTo(watcher)
  const first = await replyToFollower(watcher, { ...behind, acceptsState: true }) as StoreNews
  t.deepEqual([first.complete, first.wholeState, first.revision], [false, true, 172])
  const entries = await readPeerState({ call } as unknown as RelayCalls, {} as Member, first)
  t.is(entries?.length, 100)
  t.is(replies.length, 2)
  const bytesOf = ({ changes }: StoreNews) => changes.reduce((sum, { value }) => sum + value.length, 0)
  t.true([first, ...replies].every(reply => bytesOf(reply) <= 1024 * 1024))
})

test('a state of which a part is not answered is not used', async t => {
  const watcher = createWatcher()
  watcher.history.reset(172, Array.from({ length: 100 }, (_, index) => change(index + 1, 30_000)))
  const { call } = callsTo(watcher)
  const first = await replyToFollower(watcher, { ...behind, acceptsState: true }) as StoreNews
  watcher.history.reset(200)
  t.is(await readPeerState({ call } as unknown as RelayCalls, {} as Member, first), undefined)
})

// Guards against a withdrawn key that stays valid: changes of later parts from before the first one are not sent again.
test('a state of which a later part is older than the first one is not used', async t => {
  const watcher = createWatcher()
  const entries = Array.from({ length: 100 }, (_, index) => change(index + 1, 30_000))
  watcher.history.reset(172, entries)
  const { call } = callsTo(watcher)
  const first = await replyToFollower(watcher, { ...behind, acceptsState: true }) as StoreNews
  watcher.history.reset(171, entries)
  t.is(await readPeerState({ call } as unknown as RelayCalls, {} as Member, first), undefined)
})
