/**
 * Limits the requests of one workspace and profile that this VM runs or queues concurrently.
 */

/** Counts requests in flight, by workspace and profile. */
export type ConcurrencyLimit = {
  /** Returns false if the workspace already has `maxRequests` in flight under the profile. */
  enter: (workspace: string, profile: string, most: number) => boolean
  leave: (workspace: string, profile: string) => void
  /** Number of all requests in flight. */
  total: () => number
}

/** Creates the limit. It stores a counter only for workspaces and profiles with requests in flight. */
export const createConcurrencyLimit = (): ConcurrencyLimit => {
  const counts = new Map<string, number>()
  let total = 0
  const keyOf = (workspace: string, profile: string) => `${workspace}/${profile}`

  const enter: ConcurrencyLimit['enter'] = (workspace, profile, most) => {
    const key = keyOf(workspace, profile)
    const count = counts.get(key) ?? 0
    if (count >= most) return false
    counts.set(key, count + 1)
    total++
    return true
  }

  const leave: ConcurrencyLimit['leave'] = (workspace, profile) => {
    const key = keyOf(workspace, profile)
    const count = (counts.get(key) ?? 0) - 1
    if (count > 0) counts.set(key, count)
    else counts.delete(key)
    total--
  }

  return { enter, leave, total: () => total }
}
