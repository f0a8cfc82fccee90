/**
 * Queueing disciplines, passed to the fair queue as functions.
 */
import type { WorkspaceQueue } from './workspace-queue.js'

/** Service credit per round for a weight of 1, in milliseconds of an endpoint slot. */
const quantumCost = 10

/** Maximum number of balances; beyond it, a charge to a workspace without a balance is ignored. */
const maxBalances = 4096

/** A workspace's queue, as far as a discipline needs it. */
export type BackloggedQueue = Pick<WorkspaceQueue<unknown>, 'workspace' | 'weight' | 'size' | 'first'>

/** False for a workspace that is passed over, for instance because it has enough items in service. */
export type IsEligible = (workspace: string) => boolean

const acceptAll: IsEligible = () => true

/** Selects the workspace whose item is served next. It tracks only queues that have items. */
export type Scheduler = {
  /** Adds a queue that has received its first item. */
  add: (queue: BackloggedQueue) => void
  /** Removes a queue that has become empty. */
  remove: (queue: BackloggedQueue) => void
  /** The queue whose first item is served next; undefined when there is none, or none that `isEligible` accepts. */
  next: (isEligible?: IsEligible) => BackloggedQueue | undefined
  /** Charges service to a workspace, or refunds it when negative; in milliseconds of an endpoint slot. */
  charge: (workspace: string, cost: number) => void
  /** Whether a full queue drops an item of the workspace with the highest load to accept another item. */
  displacesWhenFull: boolean
}

/** Creates an empty scheduler. */
export type Discipline = () => Scheduler

/** Service balance of a workspace, and the round of its last update while the workspace had no waiting items. */
type Balance = { deficit: number, round: number }

const costOfFirst = (queue: BackloggedQueue) => queue.first()?.cost ?? 0

/**
 * Deficit round robin: in each round a backlogged workspace earns service credit in proportion to its weight, and its
 * items are served while the credit covers their cost. A negative balance, from items that took longer than estimated,
 * is kept while the workspace has no waiting items and is reduced by the rounds that pass. When no workspace has
 * waiting items, all balances are cleared.
 */
export const deficitRoundRobin: Discipline = () => {
  const queues: Array<BackloggedQueue> = []
  const balances = new Map<string, Balance>()
  let round = 0

  const balanceOf = (workspace: string) => {
    const balance = balances.get(workspace) ?? { deficit: 0, round }
    balances.set(workspace, balance)
    return balance
  }

  const add = (queue: BackloggedQueue) => {
    const balance = balanceOf(queue.workspace)
    const earned = (round - balance.round) * quantumCost * queue.weight()
    balance.deficit = Math.min(0, balance.deficit + earned)
    queues.push(queue)
  }

  const remove = (queue: BackloggedQueue) => {
    queues.splice(queues.indexOf(queue), 1)
    if (queues.length === 0) return balances.clear()
    const balance = balanceOf(queue.workspace)
    balance.deficit = Math.min(0, balance.deficit)
    balance.round = round
    if (balance.deficit === 0) balances.delete(queue.workspace)
  }

  const roundsNeeded = (queue: BackloggedQueue) =>
    Math.ceil((costOfFirst(queue) - balanceOf(queue.workspace).deficit) / (quantumCost * queue.weight()))

  // A workspace that is passed over earns no more than its next item costs: what it has in service pays for the rest.
  const earn = (queue: BackloggedQueue, credit: number, isPassedOver: boolean) => {
    const balance = balanceOf(queue.workspace)
    const maxDeficit = isPassedOver ? Math.max(balance.deficit, costOfFirst(queue)) : Infinity
    balance.deficit = Math.min(maxDeficit, balance.deficit + credit)
  }

  // Skips rounds in which no item could be served.
  const advanceRounds = (isEligible: IsEligible) => {
    const eligible = queues.filter(queue => isEligible(queue.workspace))
    const rounds = Math.max(1, Math.min(...eligible.map(roundsNeeded)))
    round += rounds
    for (const queue of queues) earn(queue, rounds * quantumCost * queue.weight(), !isEligible(queue.workspace))
  }

  const next = (isEligible = acceptAll) => {
    if (!queues.some(queue => isEligible(queue.workspace))) return undefined
    for (;;) {
      const index = queues.findIndex(queue =>
        isEligible(queue.workspace) && balanceOf(queue.workspace).deficit >= costOfFirst(queue))
      if (index < 0) {
        // The queue served last has spent its credit, and is last in the next round.
        queues.push(...queues.splice(0, 1))
        advanceRounds(isEligible)
        continue
      }
      // The queues before the found one have spent their credit; the found one stays first until it has spent its own.
      queues.push(...queues.splice(0, index))
      return queues[0]
    }
  }

  const charge = (workspace: string, cost: number) => {
    if (queues.length === 0 || (!balances.has(workspace) && balances.size >= maxBalances)) return
    balanceOf(workspace).deficit -= cost
  }

  return { add, remove, next, charge, displacesWhenFull: true }
}

/** First come first served over all workspaces; a full queue refuses every new item. */
export const firstComeFirstServed: Discipline = () => {
  const queues = new Set<BackloggedQueue>()

  const next = (isEligible = acceptAll) => {
    let oldest: BackloggedQueue | undefined
    for (const queue of queues) {
      if (!isEligible(queue.workspace)) continue
      const sequence = queue.first()?.sequence ?? Infinity
      if (sequence < (oldest?.first()?.sequence ?? Infinity)) oldest = queue
    }
    return oldest
  }

  return {
    add: queue => queues.add(queue),
    remove: queue => queues.delete(queue),
    next,
    charge: () => {},
    displacesWhenFull: false
  }
}
