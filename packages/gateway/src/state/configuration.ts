/**
 * The operators' configuration and the databases' descriptions, in the gateway's own types.
 */

/** Consistency that a route requires of its reads, and which databases may run its writes. */
export type RouteKind = 'primary' | 'boundedStaleness' | 'readYourWrites'

/** A database name that callers connect to, with its routing and limits. */
export type Route = {
  /** Database name that a caller gives when it connects. */
  database: string
  kind: RouteKind
  group: string
  /** Longest time for one statement, including queueing and retries. */
  timeoutMs: number
  /** Latency objective for a whole operation. */
  targetLatencyMs: number
  /** Queue priority; 0 is served first. */
  priority: number
  /**
   * Reads must see every commit that was confirmed longer ago than this. 0: every commit confirmed before the read
   * arrives, as always on `primary` routes. Undefined: no bound.
   */
  maxStalenessMs: number | undefined
  /** Whether callers without a known key are accepted. */
  openToAll: boolean
  /** Regions that the route's data may reach; empty means all. */
  homeRegions: readonly string[]
}

/** A workspace with its rate limit over the whole fleet. */
export type Workspace = {
  name: string
  ratePerSec: number
  burst: number
  homeRegions: readonly string[]
}

/** A database group: one primary and its replicas. */
export type Group = {
  name: string
  /** Connections that each single database of the group accepts from all clients together. */
  maxConnections: number
  /** Replicas that must have received a commit before the primary confirms it. */
  syncReplicas: number
}

/** One version of the operators' configuration. */
export type Configuration = {
  version: number
  routes: ReadonlyMap<string, Route>
  groups: ReadonlyMap<string, Group>
  workspaces: ReadonlyMap<string, Workspace>
  workspaceByKey: ReadonlyMap<string, Workspace>
  /** A transaction that is idle for longer may be rolled back. */
  transactionIdleMs: number
}

/** A database, from the entry that it writes about itself. */
export type Database = {
  id: string
  group: string
  /** HOST:PORT. */
  address: string
  dataCentre: string
  slots: number
  draining: boolean
  role: 'primary' | 'replica'
  /** Unix time at which its process started, in milliseconds. */
  startedAtMs: number
}
