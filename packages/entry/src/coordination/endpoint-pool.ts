/**
 * Connection pool for one endpoint. Connections are opened on demand, each under a permit that counts against the
 * fleet-wide limit on connections to the endpoint. A connection in an unknown state is closed instead of being returned
 * to the pool. When a borrowed permit is revoked, an idle connection is closed, or else the next one that is released.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import type { Clock, Result } from '@egretyoke/common'
import type { ConnectionError, EndpointConnection, EndpointConnector } from '@egretyoke/fleet'
import { createAdaptiveLimit } from '@egretyoke/limits'
import type { FlightOutcome, Permit } from '@egretyoke/limits'

const openTimeoutMs = 1_000
/** A connection that is idle for this long is closed and its permit released, so that peers can use the permit. */
const idleCloseMs = 10_000
const trimIntervalMs = 1_000
/** Time for connections in use to finish after a permit was revoked; then the longest-running one is closed. */
const revokeGraceMs = 150
const borrowWaitMs = 200

/** Source of permits for connections to one endpoint. `onRevoked` is called when the permit must be released. */
export type PermitSource = {
  tryAcquire: (onRevoked: () => void) => Permit | undefined
  acquire: (onRevoked: () => void, maxWaitMs: number) => Promise<Permit | undefined>
}

/** Purpose of a connection: `statement`, or `held` for a transaction or stream, whose duration the caller controls. */
export type ConnectionUse = 'statement' | 'held'

/** Result of the use of a connection, as input to the adaptive limit on statements in flight. */
export type TurnEnd = {
  outcome: FlightOutcome
  latencyMs: number
  /** Key of statements that are expected to take about the same time. */
  kind: string
}

/** Connection pool for one endpoint. */
export type EndpointPool = {
  /** True if a connection can be acquired now. */
  hasRoom: () => boolean
  inUse: () => number
  /**
   * Reserves capacity synchronously and resolves to an idle connection or a new one. Transactions and streams do not
   * count towards the adaptive limit, because their duration depends on their callers.
   */
  take: (use: ConnectionUse) => Promise<Result<EndpointConnection, ConnectionError>>
  /** Returns a connection to the pool, or closes it if it is not usable. */
  give: (connection: EndpointConnection, end: TurnEnd) => void
  /** Requests a permit from peers in the background. Called while requests are queued. */
  requestMore: () => void
  strayReplies: () => number
  close: () => void
}

/** Dependencies of a pool. */
export type EndpointPoolOptions = {
  connector: EndpointConnector
  permits: PermitSource
  /** Initial limit on statements in flight, used until the endpoint's load is known. */
  initialInFlight: number
  /** Maximum limit on statements in flight. It keeps all slots of the endpoint busy; more would only queue there. */
  maxInFlight: number
  clock: Clock
  /** Called when a permit was borrowed, so that capacity may be available again. */
  onRoom: () => void
}

type Idle = { connection: EndpointConnection, sinceMs: number }

/** Creates an empty pool. */
export const createEndpointPool = (options: EndpointPoolOptions): EndpointPool => {
  const { connector, permits, clock, onRoom } = options
  const flights = createAdaptiveLimit({ initial: options.initialInFlight, max: options.maxInFlight, clock })
  const inHand = new Map<EndpointConnection, ConnectionUse>()
  let idle: Idle[] = []
  /** Permits without a connection. */
  let spare: Permit[] = []
  let used: Permit[] = []
  let opening = 0
  let owed = 0
  let asking = false
  let closed = false

  const releaseUsed = () => {
    used.pop()?.release()
    owed = Math.max(0, owed - 1)
  }

  const closeConnection = (connection: EndpointConnection) => {
    connection.close()
    releaseUsed()
  }

  const closeLongestInHand = () => {
    if (owed === 0) return
    const longest = inHand.keys().next().value
    longest?.close()
  }

  /** Permits are interchangeable, so closing any connection frees a permit for the revoked one. */
  const revoke = (permit: Permit) => {
    if (spare.includes(permit)) {
      spare = spare.filter(other => other !== permit)
      return permit.release()
    }
    if (!used.includes(permit)) return
    used = [...used.filter(other => other !== permit), permit]
    owed++
    const unused = idle.shift()
    if (unused) return closeConnection(unused.connection)
    setTimeout(closeLongestInHand, revokeGraceMs)
  }

  const keep = (acquire: (onRevoked: () => void) => Permit | undefined): boolean => {
    const permit: Permit | undefined = acquire(() => permit && revoke(permit))
    if (permit) spare.push(permit)
    return permit !== undefined
  }

  const dropUnusable = () => {
    const broken = idle.filter(({ connection }) => !connection.isUsable())
    if (broken.length === 0) return
    idle = idle.filter(({ connection }) => connection.isUsable())
    for (const { connection } of broken) closeConnection(connection)
  }

  const hasRoom = (): boolean => {
    if (closed || flights.inFlight() >= flights.limit()) return false
    dropUnusable()
    return idle.length > 0 || spare.length > 0 || keep(permits.tryAcquire)
  }

  const endFlight = (use: ConnectionUse | undefined, { outcome, latencyMs, kind }: TurnEnd) => {
    if (use === 'statement') flights.release(outcome, latencyMs, kind)
  }

  const open = async (use: ConnectionUse): Promise<Result<EndpointConnection, ConnectionError>> => {
    opening++
    const opened = await connector.open(openTimeoutMs)
    opening--
    if (opened.ok) return opened
    releaseUsed()
    endFlight(use, { outcome: 'ignored', latencyMs: 0, kind: '' })
    return opened
  }

  const take = async (use: ConnectionUse): Promise<Result<EndpointConnection, ConnectionError>> => {
    if (!hasRoom()) return Err(typedError('notSent', 'no connection is free'))
    if (use === 'statement') flights.tryAcquire()
    const unused = idle.pop()
    if (unused) {
      inHand.set(unused.connection, use)
      return Ok(unused.connection)
    }
    used.push(spare.pop()!)
    const opened = await open(use)
    if (opened.ok) inHand.set(opened.val, use)
    return opened
  }

  const give = (connection: EndpointConnection, end: TurnEnd) => {
    endFlight(inHand.get(connection), end)
    inHand.delete(connection)
    if (closed || owed > 0 || !connection.isUsable()) return closeConnection(connection)
    idle.push({ connection, sinceMs: clock() })
  }

  const requestMore = () => {
    if (asking || closed || flights.inFlight() >= flights.limit()) return
    asking = true
    let permit: Permit | undefined
    const arrived = (borrowed: Permit | undefined) => {
      asking = false
      permit = borrowed
      if (!permit) return
      if (closed) return permit.release()
      spare.push(permit)
      onRoom()
    }
    permits.acquire(() => permit && revoke(permit), borrowWaitMs).then(arrived)
  }

  const trim = () => {
    dropUnusable()
    const longUnused = idle.filter(({ sinceMs }) => clock() - sinceMs > idleCloseMs)
    idle = idle.filter(({ sinceMs }) => clock() - sinceMs <= idleCloseMs)
    for (const { connection } of longUnused) closeConnection(connection)
    for (const permit of spare.splice(0)) permit.release()
  }

  const trimming = setInterval(trim, trimIntervalMs)

  const close = () => {
    closed = true
    clearInterval(trimming)
    for (const { connection } of idle.splice(0)) closeConnection(connection)
    for (const permit of spare.splice(0)) permit.release()
    connector.close()
  }

  return {
    hasRoom,
    inUse: () => inHand.size + opening,
    take,
    give,
    requestMore,
    strayReplies: connector.strayReplies,
    close
  }
}
