/**
 * The waiting items of one workspace in order of arrival or of deadlines, with removal at any position.
 */

/** Order in which a workspace's items are served. Items with equal deadlines are served in order of arrival. */
export type ItemOrder = 'arrival' | 'deadline'

/** A waiting item. */
export type QueuedItem<Item> = {
  item: Item
  workspace: string
  weight: number
  /** Estimated service time, in milliseconds of an endpoint slot. */
  cost: number
  /** Deadline on the queue's clock, in milliseconds. */
  deadlineMs: number
  /** Arrival number over all workspaces. */
  sequence: number
}

/** The waiting items of one workspace. */
export type WorkspaceQueue<Item> = {
  workspace: string
  weight: () => number
  size: () => number
  push: (queued: QueuedItem<Item>) => void
  first: () => QueuedItem<Item> | undefined
  last: () => QueuedItem<Item> | undefined
  /** Removes the item; nothing of it is kept, because what waits for its result can hold much memory. */
  remove: (queued: QueuedItem<Item>) => void
  all: () => Array<QueuedItem<Item>>
}

/** Creates an empty queue. */
export const createWorkspaceQueue = <Item>(
  workspace: string, order: ItemOrder = 'arrival'
): WorkspaceQueue<Item> => {
  const items: Array<QueuedItem<Item>> = []
  let weight = 1

  const indexFor = ({ deadlineMs }: QueuedItem<Item>) => {
    let index = items.length
    if (order === 'arrival') return index
    while (index > 0 && items[index - 1].deadlineMs > deadlineMs) index--
    return index
  }

  const push = (queued: QueuedItem<Item>) => {
    items.splice(indexFor(queued), 0, queued)
    weight = queued.weight
  }

  const remove = (queued: QueuedItem<Item>) => {
    const index = items.indexOf(queued)
    if (index >= 0) items.splice(index, 1)
  }

  return {
    workspace,
    weight: () => weight,
    size: () => items.length,
    push,
    first: () => items[0],
    last: () => items.at(-1),
    remove,
    all: () => [...items]
  }
}
