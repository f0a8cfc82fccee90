/**
 * Which idle connection is least likely to be used again.
 *
 * Load pattern: a database that accepts fewer connections than there are workspaces. By last use, workspaces that come
 * once a minute would displace the connections of those that come every second but not in this one, and each of these
 * would open a new one. A connection is valued by the rate of its workspace, divided among the workspace's
 * idle connections.
 */

/** Time in which the weight of a use halves, in milliseconds. */
const halfLifeMs = 10_000
/** Maximum number of workspaces with a rate; beyond it, the one with the lowest rate is forgotten. */
const maxWorkspaces = 1024

/** Rates at which workspaces use connections. */
export type ExpectedReuse = {
  recordUse: (workspace: string) => void
  /** The one of the idle connections that is least likely to be used again; of equal ones, the first. */
  leastLikely: <Connection extends { workspace: string }>(idle: readonly Connection[]) => Connection | undefined
}

type Use = { weight: number, atMs: number }

/** Creates rates without any use. */
export const createExpectedReuse = (nowMs: () => number): ExpectedReuse => {
  const uses = new Map<string, Use>()

  const weightOf = (workspace: string) => {
    const use = uses.get(workspace)
    return use === undefined ? 0 : use.weight * 0.5 ** ((nowMs() - use.atMs) / halfLifeMs)
  }

  const forgetLowest = () => {
    const lowest = [...uses.keys()].reduce((one, other) => weightOf(other) < weightOf(one) ? other : one)
    uses.delete(lowest)
  }

  const recordUse = (workspace: string) => {
    const weight = weightOf(workspace) + 1
    if (!uses.has(workspace) && uses.size >= maxWorkspaces) forgetLowest()
    uses.set(workspace, { weight, atMs: nowMs() })
  }

  const leastLikely: ExpectedReuse['leastLikely'] = idle => {
    const counts = new Map<string, number>()
    for (const { workspace } of idle) counts.set(workspace, (counts.get(workspace) ?? 0) + 1)
    const values = idle.map(({ workspace }) => weightOf(workspace) / counts.get(workspace)!)
    return idle[values.indexOf(Math.min(...values))]
  }

  return { recordUse, leastLikely }
}
