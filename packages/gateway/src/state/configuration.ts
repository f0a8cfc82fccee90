/**
 * What operators configure, as the gateway uses it.
 */

/** How fresh the data of a route must be, and where its writes may run. */
export type RouteKind = 'primary' | 'boundedStaleness' | 'readYourWrites'

/** A name that callers connect to, and how their statements are served. */
export type Route = {
  /** The name that a caller gives when it connects. */
  database: string
  kind: RouteKind
  group: string
  /** Time that one statement may take. */
  timeoutMs: number
  /** Latency objective of a whole operation. */
  targetLatencyMs: number
  /** 0 is served first. */
  priority: number
  /** Commits that were confirmed longer ago must be seen; 0 on `primary` routes. */
  maxStalenessMs: number
  openToAll: boolean
  /** Regions that data of the route may reach; empty: all. */
  homeRegions: readonly string[]
}

/** A workspace and what it may spend over the whole fleet. */
export type Workspace = {
  name: string
  ratePerSec: number
  burst: number
  homeRegions: readonly string[]
}

/** A group of databases. */
export type Group = {
  name: string
  /** Connections that one of its databases takes from all callers together. */
  maxConnections: number
}

/** One version of the operators' configuration. */
export type Configuration = {
  version: number
  routes: ReadonlyMap<string, Route>
  groups: ReadonlyMap<string, Group>
  workspaces: ReadonlyMap<string, Workspace>
  workspaceByKey: ReadonlyMap<string, Workspace>
  /** A transaction that rests longer may be ended. */
  transactionIdleMs: number
}

/** A database as it describes itself. */
export type Database = {
  id: string
  group: string
  /** HOST:PORT. */
  address: string
  dataCentre: string
  slots: number
  draining: boolean
  role: 'primary' | 'replica'
  /** Unix time of its start, in milliseconds. */
  bornMs: number
}
