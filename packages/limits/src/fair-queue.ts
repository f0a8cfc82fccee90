/**
 * A bounded queue over workspaces, for the requests that wait for an endpoint of one group.
 *
 * The order of service is a queueing discipline, passed as a function. A full queue drops the item that would be served
 * last, of the workspace with the most waiting items per weight, so that a flood by one workspace displaces only its
 * own requests.
 */
import type { Clock, Result, TypedError } from '@egretyoke/common'
import { Err, Ok, monotonicMs, typedError } from '@egretyoke/common'
import { deficitRoundRobin } from './queue-disciplines.js'
import type { Discipline, IsEligible } from './queue-disciplines.js'
import { createWorkspaceQueue } from './workspace-queue.js'
import type { ItemOrder, QueuedItem, WorkspaceQueue } from './workspace-queue.js'

/** Minimum cost and weight; smaller values and NaN are raised to them. */
const minCost = 0.001
const minWeight = 0.001

/** Scheduling parameters of an item. */
export type PushOptions = {
  workspace: string
  weight: number
  /** Estimated service time, in milliseconds of an endpoint slot. */
  cost: number
  /** Time on the queue's clock, in milliseconds, after which the item is dropped. */
  deadlineMs: number
}

/** Reason for which an item left the queue without being served. */
export type DropReason = 'expired' | 'displaced' | 'notAllowed' | 'closed'

/** Reason for which the queue refused an item. */
export type QueueRefusal = 'queueFull' | 'workspaceQueueFull' | 'queueClosed' | 'expired'

/** Dependencies and options of a fair queue. */
export type FairQueueOptions<Item> = {
  /** Maximum number of waiting items over all workspaces. */
  maxQueued: number
  maxQueuedPerWorkspace: number
  /** Called before an item is served, because its key may have been revoked while it waited. */
  isStillAllowed?: (item: Item) => boolean
  /** Called for each item that leaves without being served, except by `remove`. */
  onDropped: (item: Item, reason: DropReason) => void
  discipline?: Discipline
  /** Order within a workspace; by arrival if not given. */
  order?: ItemOrder
  clock?: Clock
}

/** A bounded queue over workspaces. */
export type FairQueue<Item> = {
  push: (item: Item, options: PushOptions) => Result<void, TypedError<QueueRefusal>>
  /**
   * Removes and returns the next item to serve, and charges its estimated cost to its workspace. Workspaces that
   * `isEligible` does not accept are passed over.
   */
  pop: (isEligible?: IsEligible) => Item | undefined
  /** Removes an item, for instance because its caller has disconnected; false when it is not in the queue. */
  remove: (item: Item) => boolean
  /** Charges the difference between an item's actual and estimated cost; negative when it cost less. */
  charge: (workspace: string, costDelta: number) => void
  /** Drops the items whose deadline has passed. */
  dropExpired: () => void
  size: () => number
  sizeOf: (workspace: string) => number
  /** Cost of the items that are served before a new one, at equal weights; `costOf` is the cost of a waiting item. */
  costAhead: (newItem: Omit<PushOptions, 'weight'>, costOf?: (item: Item) => number) => number
  close: () => void
}

/** Creates an empty queue. */
export const createFairQueue = <Item>(options: FairQueueOptions<Item>): FairQueue<Item> => {
  const { maxQueued, maxQueuedPerWorkspace, onDropped, clock = monotonicMs } = options
  const { isStillAllowed = () => true, discipline = deficitRoundRobin, order = 'arrival' } = options
  const scheduler = discipline()
  const queues = new Map<string, WorkspaceQueue<Item>>()
  const queuedItems = new Map<Item, QueuedItem<Item>>()
  let nextSequence = 0
  let isClosed = false

  const refuse = (reason: QueueRefusal, workspace: string) =>
    Err(typedError(reason, `The queue refused a request of workspace ${workspace}: ${reason}.`, { workspace }))

  const detach = (queued: QueuedItem<Item>) => {
    const queue = queues.get(queued.workspace)
    queuedItems.delete(queued.item)
    if (queue === undefined) return
    queue.remove(queued)
    if (queue.size() > 0) return
    queues.delete(queue.workspace)
    scheduler.remove(queue)
  }

  const drop = (queued: QueuedItem<Item>, reason: DropReason) => {
    detach(queued)
    onDropped(queued.item, reason)
  }

  const dropExpired = () => {
    const nowMs = clock()
    for (const queued of [...queuedItems.values()]) if (queued.deadlineMs <= nowMs) drop(queued, 'expired')
  }

  const load = (queue: WorkspaceQueue<Item>, more = 0) => (queue.size() + more) / queue.weight()

  // False when no other workspace has a higher load, in waiting items per weight.
  const displaceFor = (workspace: string, weight: number) => {
    const loadAfter = ((queues.get(workspace)?.size() ?? 0) + 1) / weight
    const heaviest = [...queues.values()].reduce((one, other) => load(other) > load(one) ? other : one)
    const last = heaviest.last()
    if (heaviest.workspace === workspace || load(heaviest) <= loadAfter || last === undefined) return false
    drop(last, 'displaced')
    return true
  }

  const queueOf = (workspace: string) => {
    const queue = queues.get(workspace) ?? createWorkspaceQueue<Item>(workspace, order)
    queues.set(workspace, queue)
    return queue
  }

  const enqueue = (queued: QueuedItem<Item>) => {
    const queue = queueOf(queued.workspace)
    queue.push(queued)
    queuedItems.set(queued.item, queued)
    if (queue.size() === 1) scheduler.add(queue)
  }

  const sizeOf = (workspace: string) => queues.get(workspace)?.size() ?? 0

  const push = (item: Item, { workspace, deadlineMs, ...rest }: PushOptions) => {
    const weight = rest.weight >= minWeight ? rest.weight : minWeight
    const cost = rest.cost >= minCost ? rest.cost : minCost
    if (isClosed) return refuse('queueClosed', workspace)
    if (!(deadlineMs > clock())) return refuse('expired', workspace)
    if (sizeOf(workspace) >= maxQueuedPerWorkspace) return refuse('workspaceQueueFull', workspace)
    if (queuedItems.size >= maxQueued) dropExpired()
    const hasCapacity = queuedItems.size < maxQueued || (scheduler.displacesWhenFull && displaceFor(workspace, weight))
    if (!hasCapacity) return refuse('queueFull', workspace)
    enqueue({ item, workspace, weight, cost, deadlineMs, sequence: nextSequence++ })
    return Ok(undefined)
  }

  const dropReasonOf = ({ item, deadlineMs }: QueuedItem<Item>): DropReason | undefined => {
    if (deadlineMs <= clock()) return 'expired'
    return isStillAllowed(item) ? undefined : 'notAllowed'
  }

  const pop = (isEligible?: IsEligible) => {
    for (let queue = scheduler.next(isEligible); queue !== undefined; queue = scheduler.next(isEligible)) {
      const queued = queues.get(queue.workspace)?.first()
      if (queued === undefined) return undefined
      const dropReason = dropReasonOf(queued)
      if (dropReason !== undefined) {
        drop(queued, dropReason)
        continue
      }
      scheduler.charge(queued.workspace, queued.cost)
      detach(queued)
      return queued.item
    }
    return undefined
  }

  const remove = (item: Item) => {
    const queued = queuedItems.get(item)
    if (queued === undefined) return false
    detach(queued)
    return true
  }

  const costAhead: FairQueue<Item>['costAhead'] = (
    { workspace, cost, deadlineMs }, costOf = item => queuedItems.get(item)?.cost ?? 0
  ) => {
    const sumOf = (items: ReadonlyArray<QueuedItem<Item>>) => items.reduce((sum, { item }) => sum + costOf(item), 0)
    const isAhead = (queued: QueuedItem<Item>) => order === 'arrival' || queued.deadlineMs <= deadlineMs
    const ownCost = sumOf(queues.get(workspace)?.all().filter(isAhead) ?? [])
    const others = [...queues.values()].filter(queue => queue.workspace !== workspace)
    return others.reduce((sum, queue) => sum + Math.min(sumOf(queue.all()), ownCost + cost), ownCost)
  }

  const close = () => {
    isClosed = true
    for (const queued of [...queuedItems.values()]) drop(queued, 'closed')
  }

  return {
    push,
    pop,
    remove,
    charge: scheduler.charge,
    dropExpired,
    size: () => queuedItems.size,
    sizeOf,
    costAhead,
    close
  }
}
