/**
 * The endpoints of one group: their connection pools, their health, and which one is the primary. One task per endpoint
 * polls its status, so that routing also knows the positions of replicas that serve no requests yet.
 */
import { createTicker } from '@egretyoke/common'
import type { Clock, Logger } from '@egretyoke/common'
import type { EndpointConfig, GroupRecord } from '@egretyoke/config'
import type { EndpointResponse, EndpointConnector } from '@egretyoke/fleet'
import type { PeerMessages } from '@egretyoke/protocol'
import { events } from '../events.js'
import { createHealthRecord } from '../state/endpoint-health.js'
import type { HealthRecord } from '../state/endpoint-health.js'
import { createPrimaryHistory } from '../state/primary-history.js'
import type { PrimaryHistory } from '../state/primary-history.js'
import { createEndpointPool } from './endpoint-pool.js'
import type { EndpointPool, PermitSource } from './endpoint-pool.js'
import type { EndpointCandidate } from './routing.js'

/** Intervals between status polls of an endpoint while its group serves requests, and while the group is idle. */
const busyStatusIntervalMs = 200
const idleStatusIntervalMs = 1_000
/** A group is busy if an endpoint answered a request within this time. */
const busyPeriodMs = 2_000
/** Tolerance for timers that fire slightly early or late. */
const scheduleMarginMs = 20
const statusTimeoutMs = 500
/** A primary that is leaving or out of service keeps serving for at most this long, until it has been replaced. */
const handoverGraceMs = 4_000

/** Status of an endpoint, as reported by the endpoint. */
export type EndpointStatus = { term: number, appliedPosition: number, isPrimary: boolean }

/** Channels to one endpoint, provided by the transport layer. */
export type EndpointTransport = {
  connector: EndpointConnector
  status: (timeoutMs: number) => Promise<EndpointStatus | undefined>
  close: () => void
}

/** Dependencies of a group's endpoints. */
export type GroupEndpointsOptions = {
  group: string
  clock: Clock
  log: Logger
  record: () => GroupRecord | undefined
  /** True if the endpoint is leaving, or its data centre is out of service. */
  isOutOfService: (name: string, config: EndpointConfig) => boolean
  /** Permits for connections to an endpoint. */
  permits: (endpoint: string) => PermitSource
  /** Initial limit on statements in flight at an endpoint, used until its load is known. */
  initialInFlight: (config: EndpointConfig) => number
  openTransport: (config: EndpointConfig) => EndpointTransport
  /** True while the group record is known to be current. */
  isInContact: () => boolean
  /** Called when capacity or health may have changed. */
  onChange: () => void
}

/** One endpoint. */
export type GroupEndpoint = {
  name: string
  config: EndpointConfig
  pool: EndpointPool
  health: HealthRecord
}

type OpenEndpoint = GroupEndpoint & {
  transport: EndpointTransport
  stop: AbortController
  outOfServiceSinceMs: number
  lostCallbacks: Set<() => void>
}

/** The endpoints of one group. */
export type GroupEndpoints = {
  /** Opens endpoints that are new, and closes those that were removed or have another address. */
  setEndpoints: (endpoints: Readonly<Record<string, EndpointConfig>>) => void
  endpoint: (name: string) => GroupEndpoint | undefined
  candidates: () => EndpointCandidate[]
  history: PrimaryHistory
  /** Updates the health of an endpoint from its answer to a request that was sent at `sentAtMs`. */
  recordAnswer: (name: string, answer: EndpointResponse, sentAtMs: number) => void
  recordFailure: (name: string) => void
  /** Calls back once if the endpoint becomes unreachable. The returned function removes the callback. */
  onLost: (name: string, callback: () => void) => () => void
  sightings: () => PeerMessages.EndpointSighting[]
  close: () => void
}

/** Creates the endpoints of a group; none are open yet. */
export const createGroupEndpoints = (options: GroupEndpointsOptions): GroupEndpoints => {
  const { group, clock, log, record } = options
  const openEndpoints = new Map<string, OpenEndpoint>()
  const history = createPrimaryHistory()
  let lastAnswerMs = -Infinity

  const recordStatus = (endpoint: GroupEndpoint, status: EndpointStatus, sentAtMs: number) => {
    const wasReachable = endpoint.health.current().reachable
    endpoint.health.recordPosition(status.term, status.appliedPosition, status.isPrimary, clock())
    if (!wasReachable) log(events.endpointBack, { group, endpoint: endpoint.name })
    const current = record()
    const isCurrentPrimary =
      current?.phase === 'active' && current.primary === endpoint.name && current.term === status.term
    if (isCurrentPrimary && status.isPrimary && options.isInContact()) {
      history.record(status.term, sentAtMs, status.appliedPosition)
    }
  }

  const recordAnswer: GroupEndpoints['recordAnswer'] = (name, answer, sentAtMs) => {
    const endpoint = openEndpoints.get(name)
    lastAnswerMs = clock()
    if (!endpoint || answer.verdict === 'declined') return
    endpoint.health.recordLatency(clock() - sentAtMs)
    const { term, position: appliedPosition, fromPrimary: isPrimary } = answer
    recordStatus(endpoint, { term, appliedPosition, isPrimary }, sentAtMs)
  }

  const recordFailure = (name: string) => {
    const endpoint = openEndpoints.get(name)
    if (!endpoint?.health.recordFailure()) return
    log(events.endpointLost, { group, endpoint: name })
    for (const callback of [...endpoint.lostCallbacks]) callback()
    endpoint.lostCallbacks.clear()
    options.onChange()
  }

  const onLost: GroupEndpoints['onLost'] = (name, callback) => {
    const callbacks = openEndpoints.get(name)?.lostCallbacks
    callbacks?.add(callback)
    return () => callbacks?.delete(callback)
  }

  /** A poll is skipped while answers to requests report the endpoint's position often enough. */
  const isStatusPollDue = (endpoint: OpenEndpoint): boolean => {
    const sinceSeenMs = clock() - endpoint.health.current().seenAtMs
    const isBusy = clock() - lastAnswerMs < busyPeriodMs
    return sinceSeenMs >= (isBusy ? busyStatusIntervalMs : idleStatusIntervalMs) - scheduleMarginMs
  }

  /** Polls the status of one endpoint until the endpoint is closed. */
  const pollStatus = async (endpoint: OpenEndpoint) => {
    for await (const _ of createTicker(busyStatusIntervalMs).ticks(endpoint.stop.signal)) {
      if (!isStatusPollDue(endpoint)) continue
      const sentAtMs = clock()
      const status = await endpoint.transport.status(statusTimeoutMs)
      if (endpoint.stop.signal.aborted) return
      if (status) recordStatus(endpoint, status, sentAtMs)
      else recordFailure(endpoint.name)
      options.onChange()
    }
  }

  const openEndpoint = (name: string, config: EndpointConfig) => {
    const transport = options.openTransport(config)
    const pool = createEndpointPool({
      connector: transport.connector,
      permits: options.permits(name),
      initialInFlight: options.initialInFlight(config),
      maxInFlight: config.slots + 1,
      clock,
      onCapacity: options.onChange
    })
    const stop = new AbortController()
    const endpoint: OpenEndpoint = {
      name,
      config,
      transport,
      pool,
      health: createHealthRecord(),
      stop,
      outOfServiceSinceMs: Infinity,
      lostCallbacks: new Set()
    }
    openEndpoints.set(name, endpoint)
    pollStatus(endpoint)
  }

  const closeEndpoint = (endpoint: OpenEndpoint) => {
    openEndpoints.delete(endpoint.name)
    endpoint.stop.abort()
    endpoint.pool.close()
    endpoint.transport.close()
  }

  const setEndpoints: GroupEndpoints['setEndpoints'] = endpoints => {
    for (const endpoint of openEndpoints.values()) {
      if (endpoints[endpoint.name]?.address !== endpoint.config.address) closeEndpoint(endpoint)
      else endpoint.config = endpoints[endpoint.name]
    }
    for (const [name, config] of Object.entries(endpoints)) {
      if (!openEndpoints.has(name)) openEndpoint(name, config)
    }
  }

  /** A replica is out of service immediately; a primary only after the handover grace period. */
  const isCurrentlyOutOfService = (endpoint: OpenEndpoint, isRecordPrimary: boolean): boolean => {
    if (!options.isOutOfService(endpoint.name, endpoint.config)) {
      endpoint.outOfServiceSinceMs = Infinity
      return false
    }
    endpoint.outOfServiceSinceMs = Math.min(endpoint.outOfServiceSinceMs, clock())
    return !isRecordPrimary || clock() - endpoint.outOfServiceSinceMs > handoverGraceMs
  }

  const toCandidate = (endpoint: OpenEndpoint): EndpointCandidate => {
    const current = record()
    const isRecordPrimary = current?.phase === 'active' && current.primary === endpoint.name
    const { reachable, term, appliedPosition, latencyMs } = endpoint.health.current()
    return {
      name: endpoint.name,
      isRecordPrimary,
      reachable,
      isOutOfService: isCurrentlyOutOfService(endpoint, isRecordPrimary),
      term,
      appliedPosition,
      hasCapacity: endpoint.pool.hasCapacity,
      inUse: endpoint.pool.inUse(),
      latencyMs
    }
  }

  const sightings = (): PeerMessages.EndpointSighting[] => [...openEndpoints.values()].map(endpoint => {
    const { reachable, seenAtMs, term, appliedPosition, isPrimary } = endpoint.health.current()
    const ageMs = Math.min(0xffffffff, Math.max(0, Math.round(clock() - seenAtMs)))
    return { endpoint: endpoint.name, reachable, ageMs, term, appliedPosition, isPrimary }
  })

  return {
    setEndpoints,
    endpoint: name => openEndpoints.get(name),
    candidates: () => [...openEndpoints.values()].map(toCandidate),
    history,
    recordAnswer,
    recordFailure,
    onLost,
    sightings,
    close: () => {
      for (const endpoint of openEndpoints.values()) closeEndpoint(endpoint)
    }
  }
}
