/**
 * The endpoints of one group: their connection pools, their health, and which one is the primary. One task per endpoint
 * polls its status, so that routing also knows the positions of replicas that serve no requests yet.
 */
import { createTicker } from '@egretyoke/common'
import type { Clock, Logger } from '@egretyoke/common'
import type { EndpointConfig, GroupRecord } from '@egretyoke/config'
import type { EndpointAnswer, EndpointConnector } from '@egretyoke/fleet'
import type { PeerMessages } from '@egretyoke/protocol'
import { events } from '../events.js'
import { createHealthRecord } from '../state/endpoint-health.js'
import type { HealthRecord } from '../state/endpoint-health.js'
import { createPrimaryHistory } from '../state/primary-history.js'
import type { PrimaryHistory } from '../state/primary-history.js'
import { createEndpointPool } from './endpoint-pool.js'
import type { EndpointPool, PermitSource } from './endpoint-pool.js'
import type { EndpointView } from './routing.js'

/** Intervals between status polls of an endpoint while its group serves requests, and while the group is idle. */
const busyStatusIntervalMs = 200
const idleStatusIntervalMs = 1_000
/** A group is busy if an endpoint answered a request within this time. */
const busyForMs = 2_000
/** Tolerance for timers that fire slightly early or late. */
const scheduleMarginMs = 20
const statusTimeoutMs = 500
/** A primary that is leaving or out of service keeps serving for at most this long, until it has been replaced. */
const handOverGraceMs = 4_000

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
  isOut: (name: string, config: EndpointConfig) => boolean
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

type KeptEndpoint = GroupEndpoint & {
  transport: EndpointTransport
  stop: AbortController
  outSinceMs: number
  lostCallbacks: Set<() => void>
}

/** The endpoints of one group. */
export type GroupEndpoints = {
  /** Opens endpoints that are new, and closes those that were removed or have another address. */
  setEndpoints: (endpoints: Readonly<Record<string, EndpointConfig>>) => void
  endpoint: (name: string) => GroupEndpoint | undefined
  views: () => EndpointView[]
  history: PrimaryHistory
  /** Updates the health of an endpoint from its answer to a request that was sent at `sentAtMs`. */
  noteAnswer: (name: string, answer: EndpointAnswer, askedAtMs: number) => void
  noteFailure: (name: string) => void
  /** Calls back once if the endpoint becomes unreachable. The returned function removes the callback. */
  onLost: (name: string, callback: () => void) => () => void
  sightings: () => PeerMessages.EndpointSighting[]
  close: () => void
}

/** Creates the endpoints of a group; none are open yet. */
export const createGroupEndpoints = (options: GroupEndpointsOptions): GroupEndpoints => {
  const { group, clock, log, record } = options
  const kept = new Map<string, KeptEndpoint>()
  const history = createPrimaryHistory()
  let lastAnswerMs = -Infinity

  const notePosition = (endpoint: GroupEndpoint, status: EndpointStatus, askedAtMs: number) => {
    const wasReachable = endpoint.health.current().reachable
    endpoint.health.notePosition(status.term, status.appliedPosition, status.isPrimary, clock())
    if (!wasReachable) log(events.endpointBack, { group, endpoint: endpoint.name })
    const current = record()
    const leads = current?.phase === 'active' && current.primary === endpoint.name && current.term === status.term
    if (leads && status.isPrimary && options.isInContact()) {
      history.note(status.term, askedAtMs, status.appliedPosition)
    }
  }

  const noteAnswer: GroupEndpoints['noteAnswer'] = (name, answer, askedAtMs) => {
    const endpoint = kept.get(name)
    lastAnswerMs = clock()
    if (!endpoint || answer.verdict === 'declined') return
    endpoint.health.noteLatency(clock() - askedAtMs)
    const { term, position: appliedPosition, fromPrimary: isPrimary } = answer
    notePosition(endpoint, { term, appliedPosition, isPrimary }, askedAtMs)
  }

  const noteFailure = (name: string) => {
    const endpoint = kept.get(name)
    if (!endpoint?.health.noteFailure()) return
    log(events.endpointLost, { group, endpoint: name })
    for (const callback of [...endpoint.lostCallbacks]) callback()
    endpoint.lostCallbacks.clear()
    options.onChange()
  }

  const onLost: GroupEndpoints['onLost'] = (name, callback) => {
    const callbacks = kept.get(name)?.lostCallbacks
    callbacks?.add(callback)
    return () => callbacks?.delete(callback)
  }

  /** A poll is skipped while answers to requests report the endpoint's position often enough. */
  const isQuestionDue = (endpoint: KeptEndpoint): boolean => {
    const unseenMs = clock() - endpoint.health.current().seenAtMs
    const isBusy = clock() - lastAnswerMs < busyForMs
    return unseenMs >= (isBusy ? busyStatusIntervalMs : idleStatusIntervalMs) - scheduleMarginMs
  }

  /** Polls the status of one endpoint until the endpoint is closed. */
  const watch = async (endpoint: KeptEndpoint) => {
    for await (const _ of createTicker(busyStatusIntervalMs).ticks(endpoint.stop.signal)) {
      if (!isQuestionDue(endpoint)) continue
      const askedAtMs = clock()
      const status = await endpoint.transport.status(statusTimeoutMs)
      if (endpoint.stop.signal.aborted) return
      if (status) notePosition(endpoint, status, askedAtMs)
      else noteFailure(endpoint.name)
      options.onChange()
    }
  }

  const open = (name: string, config: EndpointConfig) => {
    const transport = options.openTransport(config)
    const pool = createEndpointPool({
      connector: transport.connector,
      permits: options.permits(name),
      initialInFlight: options.initialInFlight(config),
      maxInFlight: config.slots + 1,
      clock,
      onRoom: options.onChange
    })
    const stop = new AbortController()
    const endpoint: KeptEndpoint = {
      name,
      config,
      transport,
      pool,
      health: createHealthRecord(),
      stop,
      outSinceMs: Infinity,
      lostCallbacks: new Set()
    }
    kept.set(name, endpoint)
    watch(endpoint)
  }

  const closeEndpoint = (endpoint: KeptEndpoint) => {
    kept.delete(endpoint.name)
    endpoint.stop.abort()
    endpoint.pool.close()
    endpoint.transport.close()
  }

  const setEndpoints: GroupEndpoints['setEndpoints'] = endpoints => {
    for (const endpoint of kept.values()) {
      if (endpoints[endpoint.name]?.address !== endpoint.config.address) closeEndpoint(endpoint)
      else endpoint.config = endpoints[endpoint.name]
    }
    for (const [name, config] of Object.entries(endpoints)) {
      if (!kept.has(name)) open(name, config)
    }
  }

  /** A replica is out of service immediately; a primary only after the handover grace period. */
  const isOutNow = (endpoint: KeptEndpoint, isRecordPrimary: boolean): boolean => {
    if (!options.isOut(endpoint.name, endpoint.config)) {
      endpoint.outSinceMs = Infinity
      return false
    }
    endpoint.outSinceMs = Math.min(endpoint.outSinceMs, clock())
    return !isRecordPrimary || clock() - endpoint.outSinceMs > handOverGraceMs
  }

  const view = (endpoint: KeptEndpoint): EndpointView => {
    const current = record()
    const isRecordPrimary = current?.phase === 'active' && current.primary === endpoint.name
    const { reachable, term, appliedPosition, latencyMs } = endpoint.health.current()
    return {
      name: endpoint.name,
      isRecordPrimary,
      reachable,
      isOut: isOutNow(endpoint, isRecordPrimary),
      term,
      appliedPosition,
      hasRoom: endpoint.pool.hasRoom,
      inUse: endpoint.pool.inUse(),
      latencyMs
    }
  }

  const sightings = (): PeerMessages.EndpointSighting[] => [...kept.values()].map(endpoint => {
    const { reachable, seenAtMs, term, appliedPosition, isPrimary } = endpoint.health.current()
    const ageMs = Math.min(0xffffffff, Math.max(0, Math.round(clock() - seenAtMs)))
    return { endpoint: endpoint.name, reachable, ageMs, term, appliedPosition, isPrimary }
  })

  return {
    setEndpoints,
    endpoint: name => kept.get(name),
    views: () => [...kept.values()].map(view),
    history,
    noteAnswer,
    noteFailure,
    onLost,
    sightings,
    close: () => {
      for (const endpoint of kept.values()) closeEndpoint(endpoint)
    }
  }
}
