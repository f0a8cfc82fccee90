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
const idleTimeoutMs = 10_000
const idleCheckIntervalMs = 1_000
/** Time for connections in use to finish after a permit was revoked; then the longest-running one is closed. */
const revokeGraceMs = 150
const borrowWaitMs = 200

/** Source of permits for connections to one endpoint. `onRevoked` is called when the permit must be released. */
export type PermitSource = {
  tryAcquire: (onRevoked: () => void) => Permit | undefined
  acquire: (onRevoked: () => void, maxWaitMs: number) => Promise<Permit | undefined>
}

/** Purpose of a connection: `statement`, or `held` for a transaction or stream, whose duration the caller controls. */
export type ConnectionPurpose = 'statement' | 'held'

/** Result of the use of a connection, as input to the adaptive limit on statements in flight. */
export type ConnectionUseResult = {
  outcome: FlightOutcome
  latencyMs: number
  /** Key of statements that are expected to take about the same time. */
  kind: string
}

/** Connection pool for one endpoint. */
export type EndpointPool = {
  /** True if a connection can be acquired now. */
  hasCapacity: () => boolean
  inUse: () => number
  /**
   * Reserves capacity synchronously and resolves to an idle connection or a new one. Transactions and streams do not
   * count towards the adaptive limit, because their duration depends on their callers.
   */
  acquire: (purpose: ConnectionPurpose) => Promise<Result<EndpointConnection, ConnectionError>>
  /** Returns a connection to the pool, or closes it if it is not usable. */
  release: (connection: EndpointConnection, useResult: ConnectionUseResult) => void
  /** Requests a permit from peers in the background. Called while requests are queued. */
  borrowPermit: () => void
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
  onCapacity: () => void
}

type IdleConnection = { connection: EndpointConnection, sinceMs: number }

/** Creates an empty pool. */
export const createEndpointPool = (options: EndpointPoolOptions): EndpointPool => {
  const { connector, permits, clock, onCapacity } = options
  const inFlightLimit = createAdaptiveLimit({ initial: options.initialInFlight, max: options.maxInFlight, clock })
  const activeConnections = new Map<EndpointConnection, ConnectionPurpose>()
  let idle: IdleConnection[] = []
  /** Permits without a connection. */
  let unusedPermits: Permit[] = []
  let usedPermits: Permit[] = []
  let opening = 0
  let pendingRevocations = 0
  let isBorrowing = false
  let closed = false

  const releaseUsedPermit = () => {
    usedPermits.pop()?.release()
    pendingRevocations = Math.max(0, pendingRevocations - 1)
  }

  const closeConnection = (connection: EndpointConnection) => {
    connection.close()
    releaseUsedPermit()
  }

  const closeOldestActive = () => {
    if (pendingRevocations === 0) return
    const oldest = activeConnections.keys().next().value
    oldest?.close()
  }

  /** Permits are interchangeable, so closing any connection frees a permit for the revoked one. */
  const revoke = (permit: Permit) => {
    if (unusedPermits.includes(permit)) {
      unusedPermits = unusedPermits.filter(other => other !== permit)
      return permit.release()
    }
    if (!usedPermits.includes(permit)) return
    usedPermits = [...usedPermits.filter(other => other !== permit), permit]
    pendingRevocations++
    const idleConnection = idle.shift()
    if (idleConnection) return closeConnection(idleConnection.connection)
    setTimeout(closeOldestActive, revokeGraceMs)
  }

  const storePermit = (tryAcquire: (onRevoked: () => void) => Permit | undefined): boolean => {
    const permit: Permit | undefined = tryAcquire(() => permit && revoke(permit))
    if (permit) unusedPermits.push(permit)
    return permit !== undefined
  }

  const closeUnusable = () => {
    const unusable = idle.filter(({ connection }) => !connection.isUsable())
    if (unusable.length === 0) return
    idle = idle.filter(({ connection }) => connection.isUsable())
    for (const { connection } of unusable) closeConnection(connection)
  }

  const hasCapacity = (): boolean => {
    if (closed || inFlightLimit.inFlight() >= inFlightLimit.limit()) return false
    closeUnusable()
    return idle.length > 0 || unusedPermits.length > 0 || storePermit(permits.tryAcquire)
  }

  const releaseInFlight = (
    purpose: ConnectionPurpose | undefined,
    { outcome, latencyMs, kind }: ConnectionUseResult
  ) => {
    if (purpose === 'statement') inFlightLimit.release(outcome, latencyMs, kind)
  }

  const open = async (purpose: ConnectionPurpose): Promise<Result<EndpointConnection, ConnectionError>> => {
    opening++
    const opened = await connector.open(openTimeoutMs)
    opening--
    if (opened.ok) return opened
    releaseUsedPermit()
    releaseInFlight(purpose, { outcome: 'ignored', latencyMs: 0, kind: '' })
    return opened
  }

  const acquire = async (purpose: ConnectionPurpose): Promise<Result<EndpointConnection, ConnectionError>> => {
    if (!hasCapacity()) return Err(typedError('notSent', 'no connection is free'))
    if (purpose === 'statement') inFlightLimit.tryAcquire()
    const idleConnection = idle.pop()
    if (idleConnection) {
      activeConnections.set(idleConnection.connection, purpose)
      return Ok(idleConnection.connection)
    }
    usedPermits.push(unusedPermits.pop()!)
    const opened = await open(purpose)
    if (opened.ok) activeConnections.set(opened.val, purpose)
    return opened
  }

  const release = (connection: EndpointConnection, useResult: ConnectionUseResult) => {
    releaseInFlight(activeConnections.get(connection), useResult)
    activeConnections.delete(connection)
    if (closed || pendingRevocations > 0 || !connection.isUsable()) return closeConnection(connection)
    idle.push({ connection, sinceMs: clock() })
  }

  const borrowPermit = () => {
    if (isBorrowing || closed || inFlightLimit.inFlight() >= inFlightLimit.limit()) return
    isBorrowing = true
    let permit: Permit | undefined
    const onBorrowed = (borrowed: Permit | undefined) => {
      isBorrowing = false
      permit = borrowed
      if (!permit) return
      if (closed) return permit.release()
      unusedPermits.push(permit)
      onCapacity()
    }
    permits.acquire(() => permit && revoke(permit), borrowWaitMs).then(onBorrowed)
  }

  const closeIdle = () => {
    closeUnusable()
    const expired = idle.filter(({ sinceMs }) => clock() - sinceMs > idleTimeoutMs)
    idle = idle.filter(({ sinceMs }) => clock() - sinceMs <= idleTimeoutMs)
    for (const { connection } of expired) closeConnection(connection)
    for (const permit of unusedPermits.splice(0)) permit.release()
  }

  const idleTimer = setInterval(closeIdle, idleCheckIntervalMs)

  const close = () => {
    closed = true
    clearInterval(idleTimer)
    for (const { connection } of idle.splice(0)) closeConnection(connection)
    for (const permit of unusedPermits.splice(0)) permit.release()
    connector.close()
  }

  return {
    hasCapacity,
    inUse: () => activeConnections.size + opening,
    acquire,
    release,
    borrowPermit,
    strayReplies: connector.strayReplies,
    close
  }
}
