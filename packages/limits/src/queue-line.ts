/**
 * The waiting items of one workspace in order of arrival, with removal at any position.
 */

/** A waiting item. */
export type Queued<Item> = {
  item: Item
  workspace: string
  weight: number
  /** Estimated service time, in milliseconds of an endpoint slot. */
  cost: number
  /** Deadline on the queue's clock, in milliseconds. */
  deadlineMs: number
  /** Arrival number over all workspaces. */
  sequence: number
  isGone: boolean
}

/** The waiting items of one workspace. */
export type QueueLine<Item> = {
  workspace: string
  weight: () => number
  size: () => number
  push: (queued: Queued<Item>) => void
  first: () => Queued<Item> | undefined
  last: () => Queued<Item> | undefined
  remove: (queued: Queued<Item>) => void
  all: () => Array<Queued<Item>>
}

/** Number of removed items, beyond the number of waiting ones, above which a queue is compacted. */
const maxGoneItems = 64

/** Creates an empty queue. */
export const createQueueLine = <Item>(workspace: string): QueueLine<Item> => {
  let items: Array<Queued<Item>> = []
  let head = 0
  let waiting = 0
  let weight = 1

  const push = (queued: Queued<Item>) => {
    items.push(queued)
    waiting++
    weight = queued.weight
  }

  const first = () => {
    while (head < items.length && items[head].isGone) head++
    return items[head]
  }

  const last = () => {
    while (items.length > head && items[items.length - 1].isGone) items.pop()
    return items.length > head ? items[items.length - 1] : undefined
  }

  const all = () => items.slice(head).filter(({ isGone }) => !isGone)

  const remove = (queued: Queued<Item>) => {
    if (queued.isGone) return
    queued.isGone = true
    waiting--
    if (items.length <= 2 * waiting + maxGoneItems) return
    items = all()
    head = 0
  }

  return { workspace, weight: () => weight, size: () => waiting, push, first, last, remove, all }
}
