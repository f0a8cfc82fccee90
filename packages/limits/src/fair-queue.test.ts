/**
 * Tests the fair queue: shares by weight and cost, floods, bounds, deadlines and revoked permission.
 */
import test from 'ava'
import { createFairQueue } from './fair-queue.js'
import type { DropReason, FairQueueOptions } from './fair-queue.js'
import { firstComeFirstServed } from './queue-disciplines.js'

type Item = { workspace: string, cost: number, weight: number, deadlineMs: number }

const createQueue = (options: Partial<FairQueueOptions<Item>> = {}) => {
  const dropped: Array<{ item: Item, reason: DropReason }> = []
  const queue = createFairQueue<Item>({
    maxQueued: 100,
    maxQueuedPerWorkspace: 80,
    clock: () => 0,
    onDropped: (item, reason) => dropped.push({ item, reason }),
    ...options
  })
  const push = (workspace: string, { cost = 10, weight = 1, deadlineMs = 1000 } = {}) => {
    const item = { workspace, cost, weight, deadlineMs }
    return { item, pushed: queue.push(item, item) }
  }
  const pushMany = (count: number, workspace: string, as = {}) => {
    for (let index = 0; index < count; index++) push(workspace, as)
  }
  const popCounts = (count: number) => {
    const counts: Record<string, number> = {}
    for (let index = 0; index < count; index++) {
      const workspace = queue.pop()?.workspace ?? 'none'
      counts[workspace] = (counts[workspace] ?? 0) + 1
    }
    return counts
  }
  return { queue, dropped, push, pushMany, popCounts }
}

test('serves backlogged workspaces in proportion to their weights', t => {
  const { pushMany, popCounts } = createQueue()
  pushMany(40, 'light')
  pushMany(40, 'heavy', { weight: 3 })
  t.deepEqual(popCounts(40), { light: 10, heavy: 30 })
})

test('shares service time, not requests', t => {
  const { pushMany, popCounts } = createQueue()
  pushMany(40, 'slow', { cost: 40 })
  pushMany(40, 'quick', { cost: 10 })
  t.deepEqual(popCounts(40), { slow: 8, quick: 32 })
})

test('a cost reported later counts, even while the workspace has no waiting items', t => {
  const { queue, push, pushMany, popCounts } = createQueue()
  pushMany(40, 'quick')
  push('slow')
  t.is(popCounts(2).slow, 1)
  queue.charge('slow', 190)
  pushMany(10, 'slow')
  // The workspace has used a cost of 200, the credit of 20 rounds; it is next served in the 20th round after its first.
  t.deepEqual(popCounts(20), { quick: 19, slow: 1 })
})

test('a flood neither delays nor displaces a workspace within its share', t => {
  const { push, pushMany, popCounts, dropped } = createQueue({ maxQueued: 50 })
  pushMany(50, 'flood')
  const { pushed } = push('small')
  t.true(pushed.ok)
  t.deepEqual(dropped.map(({ item, reason }) => [item.workspace, reason]), [['flood', 'displaced']])
  t.true((popCounts(2).small ?? 0) === 1)
  pushMany(10, 'flood')
  t.is((push('flood').pushed.val as { reason: string }).reason, 'queueFull')
})

test('first come first served serves a flood first and refuses every new item when full', t => {
  const { push, pushMany, popCounts } = createQueue({ maxQueued: 50, discipline: firstComeFirstServed })
  pushMany(49, 'flood')
  push('small')
  t.false(push('small').pushed.ok)
  t.deepEqual(popCounts(49), { flood: 49 })
})

test('bounds the number of items of one workspace', t => {
  const { push, pushMany } = createQueue({ maxQueuedPerWorkspace: 2 })
  pushMany(2, 'one')
  t.is((push('one').pushed.val as { reason: string }).reason, 'workspaceQueueFull')
  t.true(push('other').pushed.ok)
})

test('drops items that expired or are no longer allowed, and does not serve removed items', t => {
  let nowMs = 0
  let withdrawn = ''
  const isStillAllowed = ({ workspace }: Item) => workspace !== withdrawn
  const { queue, push, dropped } = createQueue({ clock: () => nowMs, isStillAllowed })
  push('late', { deadlineMs: 5 })
  push('withdrawn')
  const { item } = push('cancelled')
  push('served')
  nowMs = 10
  withdrawn = 'withdrawn'
  t.true(queue.remove(item))
  t.false(queue.remove(item))
  t.is(queue.pop()?.workspace, 'served')
  t.is(queue.pop(), undefined)
  t.deepEqual(dropped.map(({ reason }) => reason).sort(), ['expired', 'notAllowed'])
  t.is(queue.size(), 0)
})

test('close drops waiting items and refuses new ones', t => {
  const { queue, push, dropped } = createQueue()
  push('one')
  queue.close()
  t.deepEqual(dropped.map(({ reason }) => reason), ['closed'])
  t.is((push('one').pushed.val as { reason: string }).reason, 'queueClosed')
})

test('the cost ahead of a workspace is its own and as much of each other one', t => {
  const { queue, pushMany, popCounts } = createQueue()
  const ahead = (workspace: string, cost = 10) => queue.costAhead({ workspace, cost, deadlineMs: 1000 }) / 10
  t.is(ahead('light'), 0)
  pushMany(30, 'heavy')
  pushMany(2, 'light')
  t.is(ahead('light'), 2 + 3)
  t.is(ahead('heavy'), 30 + 2)
  t.is(ahead('new'), 2)
  // An item that costs five times as much waits for five times as much of the others.
  t.is(ahead('new', 50), 5 + 2)
  t.deepEqual(popCounts(6).light, 2)
})

test('the cost ahead follows the present cost of the waiting items', t => {
  const { queue, pushMany } = createQueue()
  pushMany(4, 'one')
  t.is(queue.costAhead({ workspace: 'one', cost: 70, deadlineMs: 1000 }, () => 70), 4 * 70)
})

// Guards against an item that expires behind items of its workspace that have time left.
test('within a workspace, the item with the earliest deadline is served first if so ordered', t => {
  const { queue, push } = createQueue({ order: 'deadline' })
  const deadlines = [500, 100, 300, 100, 900]
  const items = deadlines.map(deadlineMs => push('one', { deadlineMs }).item)
  t.is(queue.costAhead({ workspace: 'one', cost: 10, deadlineMs: 300 }), 30)
  t.true(queue.remove(items[2]!))
  t.deepEqual([queue.pop(), queue.pop(), queue.pop(), queue.pop()], [items[1], items[3], items[0], items[4]])
})

// Guards against a workspace that is passed over and later takes all slots with the credit of that time.
test('a workspace that is passed over earns no credit beyond one item', t => {
  const { queue, pushMany } = createQueue()
  pushMany(40, 'bounded')
  pushMany(40, 'other')
  const passOver = (workspace: string) => workspace !== 'bounded'
  for (let index = 0; index < 20; index++) t.is(queue.pop(passOver)?.workspace, 'other')
  const next = Array.from({ length: 10 }, () => queue.pop()?.workspace)
  t.true(next.filter(workspace => workspace === 'bounded').length <= 6, next.join(' '))
  t.is(queue.pop(() => false), undefined)
})
