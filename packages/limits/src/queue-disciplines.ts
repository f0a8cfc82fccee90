/**
 * Queueing disciplines, passed to the fair queue as functions.
 */
import type { QueueLine } from './queue-line.js'

/** Service credit per round for a weight of 1, in milliseconds of an endpoint slot. */
const quantumCost = 10

/** Number of balances from which on a workspace without waiting items gets no new balance. */
const maxBalances = 4096

/** A workspace's queue, as far as a discipline needs it. */
export type BackloggedLine = Pick<QueueLine<unknown>, 'workspace' | 'weight' | 'size' | 'first'>

/** Selects the workspace whose item is served next. It tracks only queues that have items. */
export type Schedule = {
  /** Adds a queue that has received its first item. */
  join: (line: BackloggedLine) => void
  /** Removes a queue that has become empty. */
  leave: (line: BackloggedLine) => void
  /** The queue whose first item is served next; undefined when there is none. */
  next: () => BackloggedLine | undefined
  /** Charges service to a workspace, or refunds it when negative; in milliseconds of an endpoint slot. */
  charge: (workspace: string, cost: number) => void
  /** Whether a full queue drops an item of the workspace with the highest load to accept another item. */
  makesRoom: boolean
}

/** Creates an empty scheduler. */
export type Discipline = () => Schedule

/** Service balance of a workspace, and the round of its last update while the workspace had no waiting items. */
type Balance = { deficit: number, round: number }

const costOfFirst = (line: BackloggedLine) => line.first()?.cost ?? 0

/**
 * Deficit round robin: in each round a backlogged workspace earns service credit in proportion to its weight, and its
 * items are served while the credit covers their cost. A negative balance, from items that took longer than estimated,
 * is kept while the workspace has no waiting items and is reduced by the rounds that pass. When no workspace has
 * waiting items, all balances are cleared.
 */
export const deficitRoundRobin: Discipline = () => {
  const lines: Array<BackloggedLine> = []
  const balances = new Map<string, Balance>()
  let round = 0

  const balanceOf = (workspace: string) => {
    const balance = balances.get(workspace) ?? { deficit: 0, round }
    balances.set(workspace, balance)
    return balance
  }

  const join = (line: BackloggedLine) => {
    const balance = balanceOf(line.workspace)
    const earned = (round - balance.round) * quantumCost * line.weight()
    balance.deficit = Math.min(0, balance.deficit + earned)
    lines.push(line)
  }

  const leave = (line: BackloggedLine) => {
    lines.splice(lines.indexOf(line), 1)
    if (lines.length === 0) return balances.clear()
    const balance = balanceOf(line.workspace)
    balance.deficit = Math.min(0, balance.deficit)
    balance.round = round
    if (balance.deficit === 0) balances.delete(line.workspace)
  }

  const roundsNeeded = (line: BackloggedLine) =>
    Math.ceil((costOfFirst(line) - balanceOf(line.workspace).deficit) / (quantumCost * line.weight()))

  // Skips rounds in which no item could be served.
  const passRounds = () => {
    const rounds = Math.max(1, Math.min(...lines.map(roundsNeeded)))
    round += rounds
    for (const line of lines) balanceOf(line.workspace).deficit += rounds * quantumCost * line.weight()
  }

  const next = () => {
    if (lines.length === 0) return undefined
    for (;;) {
      const index = lines.findIndex(line => balanceOf(line.workspace).deficit >= costOfFirst(line))
      if (index < 0) {
        // The queue served last has spent its credit, and is last in the next round.
        lines.push(...lines.splice(0, 1))
        passRounds()
        continue
      }
      // The queues before the found one have spent their credit; the found one stays first until it has spent its own.
      lines.push(...lines.splice(0, index))
      return lines[0]
    }
  }

  const charge = (workspace: string, cost: number) => {
    if (lines.length === 0 || (!balances.has(workspace) && balances.size >= maxBalances)) return
    balanceOf(workspace).deficit -= cost
  }

  return { join, leave, next, charge, makesRoom: true }
}

/** First come first served over all workspaces; a full queue refuses every new item. */
export const firstComeFirstServed: Discipline = () => {
  const lines = new Set<BackloggedLine>()

  const next = () => {
    let oldest: BackloggedLine | undefined
    for (const line of lines) {
      const sequence = line.first()?.sequence ?? Infinity
      if (sequence < (oldest?.first()?.sequence ?? Infinity)) oldest = line
    }
    return oldest
  }

  return { join: line => lines.add(line), leave: line => lines.delete(line), next, charge: () => {}, makesRoom: false }
}
