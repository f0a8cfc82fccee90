/**
 * Connections that a dead holder has left at its databases.
 *
 * Load pattern: the VM of a holder is lost with all its connections. The databases count them until they notice the
 * loss, so that a successor that opens as many as the limit permits is refused, and its statements with it. Each
 * gateway knows from the replies of a holder how many connections it had.
 */
import type { RelayCalls } from '../routing/relay-calls.js'

/** Time for which a database counts the connections of a VM that was lost, in milliseconds. */
export const lingerMs = 3000
/** An older reply says nothing about the connections at the time of the loss. */
const maxObservationAgeMs = 10_000
/** Databases, and holders of one database, that are remembered; beyond it, the least recently observed is forgotten. */
const maxDatabases = 1024
const maxHolders = 64

/** Connections of other holders, as their replies report them. */
export type OrphanedConnections = {
  /** Records how many connections the holder has at the database. */
  observe: (holder: string, database: string, connections: number) => void
  /** Number of connections of lost holders that the database may still count. */
  countAt: (database: string) => number
}

/** Dependencies of the orphaned connections. */
export type OrphanedConnectionsOptions = {
  /** False once the gateway has left or does not reply. */
  isAlive: (holder: string) => boolean
  nowMs: () => number
}

type Observation = { connections: number, observedAtMs: number, lostAtMs: number | undefined }

/** Makes the entry the newest one of the map. */
const setNewest = <Value>(map: Map<string, Value>, key: string, value: Value, maxSize: number) => {
  map.delete(key)
  map.set(key, value)
  const [oldest] = map.keys()
  if (map.size > maxSize && oldest !== undefined) map.delete(oldest)
}

/** Creates an empty record. */
export const createOrphanedConnections = ({ isAlive, nowMs }: OrphanedConnectionsOptions): OrphanedConnections => {
  const byDatabase = new Map<string, Map<string, Observation>>()

  const observe = (holder: string, database: string, connections: number) => {
    const holders = byDatabase.get(database) ?? new Map<string, Observation>()
    setNewest(byDatabase, database, holders, maxDatabases)
    setNewest(holders, holder, { connections, observedAtMs: nowMs(), lostAtMs: undefined }, maxHolders)
  }

  /** Connections of a lost holder that count now; undefined if the observation is of no use any more. */
  const countOf = (holder: string, observation: Observation): number | undefined => {
    if (isAlive(holder)) {
      observation.lostAtMs = undefined
      return 0
    }
    if (observation.lostAtMs === undefined) {
      if (nowMs() - observation.observedAtMs > maxObservationAgeMs) return undefined
      observation.lostAtMs = nowMs()
    }
    return nowMs() - observation.lostAtMs < lingerMs ? observation.connections : undefined
  }

  const countAt = (database: string) => {
    const holders = byDatabase.get(database)
    if (holders === undefined) return 0
    let sum = 0
    for (const [holder, observation] of holders) {
      const count = countOf(holder, observation)
      if (count === undefined) holders.delete(holder)
      sum += count ?? 0
    }
    return sum
  }

  return { observe, countAt }
}

/**
 * Calls to other gateways, of which the replies about databases are recorded. The connections that a holder does not
 * use itself, for control commands and a second holder, count as used.
 */
export const recordConnections = (
  call: RelayCalls['call'], left: OrphanedConnections, maxConnectionsOf: (group: string) => number
): RelayCalls['call'] => async (peer, request, timeoutMs) => {
  const reply = await call(peer, request, timeoutMs)
  const { run } = request
  const load = reply.ok ? reply.val.statement?.databaseLoad : undefined
  if (run?.database === undefined || run.group === undefined || !load) return reply
  left.observe(peer.name, run.database, Math.max(0, maxConnectionsOf(run.group) - load.connectionsLeft))
  return reply
}
