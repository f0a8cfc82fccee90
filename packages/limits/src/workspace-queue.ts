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
  isRemoved: boolean
}

/** The waiting items of one workspace. */
export type WorkspaceQueue<Item> = {
  workspace: string
  weight: () => number
  size: () => number
  push: (queued: QueuedItem<Item>) => void
  first: () => QueuedItem<Item> | undefined
  last: () => QueuedItem<Item> | undefined
  remove: (queued: QueuedItem<Item>) => void
  all: () => Array<QueuedItem<Item>>
}

/** A queue is compacted when its removed items outnumber its waiting items by more than this. */
const maxRemovedItems = 64

/** Creates an empty queue. */
export const createWorkspaceQueue = <Item>(
  workspace: string, order: ItemOrder = 'arrival'
): WorkspaceQueue<Item> => {
  let items: Array<QueuedItem<Item>> = []
  let head = 0
  let waiting = 0
  let weight = 1

  const indexFor = ({ deadlineMs }: QueuedItem<Item>) => {
    let index = items.length
    if (order === 'arrival') return index
    while (index > head && items[index - 1].deadlineMs > deadlineMs) index--
    return index
  }

  const push = (queued: QueuedItem<Item>) => {
    items.splice(indexFor(queued), 0, queued)
    waiting++
    weight = queued.weight
  }

  const first = () => {
    while (head < items.length && items[head].isRemoved) head++
    return items[head]
  }

  const last = () => {
    while (items.length > head && items[items.length - 1].isRemoved) items.pop()
    return items.length > head ? items[items.length - 1] : undefined
  }

  const all = () => items.slice(head).filter(({ isRemoved }) => !isRemoved)

  const remove = (queued: QueuedItem<Item>) => {
    if (queued.isRemoved) return
    queued.isRemoved = true
    waiting--
    if (items.length <= 2 * waiting + maxRemovedItems) return
    items = all()
    head = 0
  }

  return { workspace, weight: () => weight, size: () => waiting, push, first, last, remove, all }
}
