/**
 * Limits the requests of one workspace and profile that this VM runs or queues concurrently.
 */

/** Counts requests in flight, by workspace and profile. */
export type ConcurrencyLimit = {
  /** Returns false if the workspace already has `maxRequests` in flight under the profile. */
  tryAcquire: (workspace: string, profile: string, maxRequests: number) => boolean
  release: (workspace: string, profile: string) => void
  /** Number of all requests in flight. */
  total: () => number
}

/** Creates the limit. It stores a counter only for workspaces and profiles with requests in flight. */
export const createConcurrencyLimit = (): ConcurrencyLimit => {
  const counts = new Map<string, number>()
  let total = 0
  const keyOf = (workspace: string, profile: string) => `${workspace}/${profile}`

  const tryAcquire: ConcurrencyLimit['tryAcquire'] = (workspace, profile, maxRequests) => {
    const key = keyOf(workspace, profile)
    const count = counts.get(key) ?? 0
    if (count >= maxRequests) return false
    counts.set(key, count + 1)
    total++
    return true
  }

  const release: ConcurrencyLimit['release'] = (workspace, profile) => {
    const key = keyOf(workspace, profile)
    const count = (counts.get(key) ?? 0) - 1
    if (count > 0) counts.set(key, count)
    else counts.delete(key)
    total--
  }

  return { tryAcquire, release, total: () => total }
}
