/**
 * Assigns requests to the endpoints of one group. Requests wait in fair queues on this VM, where it is certain that a
 * refused request did not run, and are dequeued only when an endpoint has a free connection.
 */
import { Err, Ok } from '@egretyoke/common'
import type { Clock, Logger, Result } from '@egretyoke/common'
import type { EndpointConnection } from '@egretyoke/fleet'
import { createFairQueue } from '@egretyoke/limits'
import type { Discipline, DropReason, FairQueue } from '@egretyoke/limits'
import { events } from '../events.js'
import { notRun } from '../state/outcome.js'
import type { Outcome } from '../state/outcome.js'
import type { ConnectionUse, TurnEnd } from './endpoint-pool.js'
import type { GroupEndpoints } from './group-endpoints.js'
import { findPrimary, routeRead } from './routing.js'
import type { EndpointView, PassedOver, ReadNeed } from './routing.js'

const pumpIntervalMs = 20
const busyRetryMs = 50
/** When more reads than this wait for replicas, reads may also use a primary that has capacity. */
const maxReadsWaitingForReplicas = 8

/** Request for a connection to an endpoint. */
export type TurnRequest = {
  requestId: string
  workspace: string
  weight: number
  /** Expected time on the connection, in milliseconds. */
  costMs: number
  deadlineMs: number
  use: ConnectionUse
  /** Undefined if only the primary may serve the request. */
  read: ReadNeed | undefined
  isStillAllowed: () => boolean
}

/** Connection assigned to one request or transaction. */
export type Turn = {
  endpoint: string
  isPrimary: boolean
  connection: EndpointConnection
  /** Returns the connection to its pool and charges the time used to the workspace. */
  release: (end: TurnEnd) => void
}

/** Dispatcher of one group. */
export type GroupDispatcher = {
  /** Queues a request for a connection. Fails with the request's outcome if it does not get one. */
  turn: (request: TurnRequest) => Promise<Result<Turn, Outcome>>
  /** Assigns free connections to queued requests. Called when capacity or health may have changed. */
  pump: () => void
  queued: () => number
  close: () => void
}

/** Dependencies of a dispatcher. */
export type GroupDispatcherOptions = {
  group: string
  endpoints: GroupEndpoints
  clock: Clock
  log: Logger
  discipline: Discipline
  maxQueued: number
  maxQueuedPerWorkspace: number
  /** While this is false, no request is assigned; queued requests wait until their deadlines. */
  isInContact: () => boolean
}

type Assigned = { view: EndpointView, reason: string, passedOver: PassedOver[] }
type Waiting = TurnRequest & { assign: (assigned: Assigned) => void, refuse: (outcome: Outcome) => void }

const outcomeOfDrop = (reason: DropReason): Outcome => {
  if (reason === 'expired') return notRun('deadline')
  if (reason === 'notAllowed') return notRun('keyRefused')
  if (reason === 'closed') return notRun('draining')
  return notRun('queueFull', busyRetryMs)
}

/** Creates the dispatcher of a group. */
export const createGroupDispatcher = (options: GroupDispatcherOptions): GroupDispatcher => {
  const { group, endpoints, clock, log } = options

  const createQueue = (): FairQueue<Waiting> => createFairQueue<Waiting>({
    maxQueued: options.maxQueued,
    maxQueuedPerWorkspace: options.maxQueuedPerWorkspace,
    discipline: options.discipline,
    isStillAllowed: waiting => waiting.isStillAllowed(),
    onDropped: (waiting, reason) => waiting.refuse(outcomeOfDrop(reason)),
    clock
  })
  const primaryQueue = createQueue()
  const replicaQueue = createQueue()

  const assign = (waiting: Waiting, assigned: Assigned) => {
    log(events.routed, () => ({
      group,
      request: waiting.requestId,
      workspace: waiting.workspace,
      endpoint: assigned.view.name,
      reason: assigned.reason,
      passedOver: assigned.passedOver
    }))
    waiting.assign(assigned)
  }

  const push = (queue: FairQueue<Waiting>, waiting: Waiting) => {
    const queued = queue.push(waiting, {
      workspace: waiting.workspace,
      weight: waiting.weight,
      cost: waiting.costMs,
      deadlineMs: waiting.deadlineMs
    })
    if (queued.ok) return
    waiting.refuse(queued.val.reason === 'expired' ? notRun('deadline') : notRun('queueFull', busyRetryMs))
  }

  const enqueue = (waiting: Waiting) => {
    const isForReplica = waiting.read && routeRead(endpoints.views(), waiting.read).eligible.length > 0
    push(isForReplica ? replicaQueue : primaryQueue, waiting)
  }

  const mayServe = (view: EndpointView): boolean => !view.isOut && view.reachable

  /** Requests connection permits from peers while requests are queued for lack of connections. */
  const requestMore = (views: readonly EndpointView[], queue: FairQueue<Waiting>) => {
    if (queue.size() === 0) return
    for (const view of views) endpoints.endpoint(view.name)?.pool.requestMore()
  }

  const pumpPrimary = () => {
    for (;;) {
      const primary = findPrimary(endpoints.views())
      if (!primary || !mayServe(primary)) return
      if (!primary.hasRoom()) return requestMore([primary], primaryQueue)
      const waiting = primaryQueue.pop()
      if (!waiting) return
      const reason = waiting.read ? 'noReplicaFreshEnough' : 'primaryNeeded'
      assign(waiting, { view: primary, reason, passedOver: [] })
    }
  }

  const pumpReplicas = () => {
    while (replicaQueue.size() > 0) {
      const views = endpoints.views()
      const primary = findPrimary(views)
      const replicas = views.filter(view => !view.isRecordPrimary && mayServe(view))
      const isReplicaFree = replicas.some(view => view.hasRoom())
      const mayUsePrimary = primary !== undefined && replicaQueue.size() > maxReadsWaitingForReplicas &&
        mayServe(primary) && primary.hasRoom()
      if (!isReplicaFree && !mayUsePrimary) return requestMore(replicas, replicaQueue)
      const waiting = replicaQueue.pop()
      if (!waiting) return
      const { eligible, passedOver } = routeRead(views, waiting.read!)
      const free = eligible.find(view => view.hasRoom())
      if (free) assign(waiting, { view: free, reason: 'freshEnough', passedOver })
      else if (mayUsePrimary) assign(waiting, { view: primary, reason: 'replicasBusy', passedOver })
      else push(primaryQueue, waiting)
    }
  }

  const queued = () => primaryQueue.size() + replicaQueue.size()

  const pump = () => {
    if (queued() === 0) return
    primaryQueue.dropExpired()
    replicaQueue.dropExpired()
    if (!options.isInContact()) return
    pumpReplicas()
    pumpPrimary()
  }

  /** Acquires a connection to the chosen endpoint. Its capacity in the pool is reserved synchronously. */
  const connect = async (assigned: Assigned, use: ConnectionUse): Promise<Result<Turn, Outcome>> => {
    const endpoint = endpoints.endpoint(assigned.view.name)
    if (!endpoint) return Err(notRun('endpointNotConnected', busyRetryMs))
    const taken = await endpoint.pool.take(use)
    if (!taken.ok) {
      if (!taken.val.metadata.refused) endpoints.noteFailure(endpoint.name)
      pump()
      return Err(notRun('endpointNotConnected', busyRetryMs))
    }
    const connection = taken.val
    const release = (end: TurnEnd) => {
      endpoint.pool.give(connection, end)
      pump()
    }
    return Ok({ endpoint: endpoint.name, isPrimary: assigned.view.isRecordPrimary, connection, release })
  }

  const turn = async (request: TurnRequest): Promise<Result<Turn, Outcome>> => {
    const given = await new Promise<Result<Promise<Result<Turn, Outcome>>, Outcome>>(resolve => {
      enqueue({
        ...request,
        assign: assigned => resolve(Ok(connect(assigned, request.use))),
        refuse: outcome => resolve(Err(outcome))
      })
      pump()
    })
    if (!given.ok) return given
    const connected = await given.val
    if (!connected.ok) return connected
    const { release, ...rest } = connected.val
    const charge = (end: TurnEnd) => {
      const queue = connected.val.isPrimary ? primaryQueue : replicaQueue
      queue.charge(request.workspace, end.latencyMs - request.costMs)
      release(end)
    }
    return Ok({ ...rest, release: charge })
  }

  const timer = setInterval(pump, pumpIntervalMs)
  const close = () => {
    clearInterval(timer)
    primaryQueue.close()
    replicaQueue.close()
  }

  return { turn, pump, queued, close }
}
