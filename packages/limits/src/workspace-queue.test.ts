/**
 * Items that have left the queue of a workspace.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import test from 'ava'
import { createWorkspaceQueue } from './workspace-queue.js'
import type { QueuedItem } from './workspace-queue.js'

type Item = { result?: string }

const queuedItem = (sequence: number): QueuedItem<Item> =>
  ({ item: {}, workspace: 'yard', weight: 1, cost: 1, deadlineMs: sequence, sequence })

// Guards against finished statements whose results stay in memory while others of their workspace wait.
test('an item that has left the queue is not kept, while others wait', async t => {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc')
  const queue = createWorkspaceQueue<Item>('yard', 'deadline')
  for (let sequence = 0; sequence < 60; sequence++) queue.push(queuedItem(sequence))
  const removeOne = (_value: unknown, removed: number) => {
    const queued = removed % 2 === 0 ? queue.first()! : queue.all()[10]!
    queue.remove(queued)
    return new WeakRef(queued.item)
  }
  const references = Array.from({ length: 30 }, removeOne)
  // A reference keeps its target until the job that created it has ended.
  await new Promise(resolve => setTimeout(resolve, 0))
  collectGarbage()
  const kept = references.filter(reference => reference.deref() !== undefined).length
  t.is(kept, 0)
  t.is(queue.size(), 30)
})

test('an item leaves the queue once, and the others keep their order', t => {
  const queue = createWorkspaceQueue<Item>('yard', 'deadline')
  const items = [3, 1, 2, 5, 4].map(queuedItem)
  for (const queued of items) queue.push(queued)
  queue.remove(items[2]!)
  queue.remove(items[2]!)
  t.deepEqual(queue.all().map(({ sequence }) => sequence), [1, 3, 4, 5])
  t.is(queue.first()?.sequence, 1)
  t.is(queue.last()?.sequence, 5)
  t.is(queue.size(), 4)
})
