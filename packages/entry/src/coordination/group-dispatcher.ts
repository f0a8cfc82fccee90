/**
 * Assigns requests to the endpoints of one group. Requests wait in fair queues on this VM and are dequeued only when an
 * endpoint has a free connection, so that a request that is refused while it is queued is certain not to have run.
 */
import { Err, Ok } from '@egretyoke/common'
import type { Clock, Logger, Result } from '@egretyoke/common'
import type { EndpointConnection } from '@egretyoke/fleet'
import { createFairQueue } from '@egretyoke/limits'
import type { Discipline, DropReason, FairQueue } from '@egretyoke/limits'
import { events } from '../events.js'
import { notRun } from '../state/outcome.js'
import type { Outcome } from '../state/outcome.js'
import type { ConnectionPurpose, ConnectionUseResult } from './endpoint-pool.js'
import type { GroupEndpoints } from './group-endpoints.js'
import { findPrimary, routeRead } from './routing.js'
import type { EndpointCandidate, RejectedEndpoint, ReadRequirement } from './routing.js'

const dispatchIntervalMs = 20
const refusalRetryMs = 50
/** When more reads than this wait for replicas, reads may also use a primary that has capacity. */
const maxReadsWaitingForReplicas = 8

/** Request for a connection to an endpoint. */
export type ConnectionRequest = {
  requestId: string
  workspace: string
  weight: number
  /** Expected time on the connection, in milliseconds. */
  costMs: number
  deadlineMs: number
  purpose: ConnectionPurpose
  /** Undefined if only the primary may serve the request. */
  readRequirement: ReadRequirement | undefined
  isStillAllowed: () => boolean
}

/** Connection assigned to one request or transaction. */
export type AssignedConnection = {
  endpoint: string
  isPrimary: boolean
  connection: EndpointConnection
  /** Returns the connection to its pool and charges the time used to the workspace. */
  release: (useResult: ConnectionUseResult) => void
}

/** Dispatcher of one group. */
export type GroupDispatcher = {
  /** Queues a request for a connection. Fails with the request's outcome if it does not get one. */
  acquire: (request: ConnectionRequest) => Promise<Result<AssignedConnection, Outcome>>
  /** Assigns free connections to queued requests. Called when capacity or health may have changed. */
  dispatch: () => void
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

type EndpointChoice = { candidate: EndpointCandidate, reason: string, rejected: RejectedEndpoint[] }
type QueuedRequest = ConnectionRequest & {
  assign: (choice: EndpointChoice) => void
  refuse: (outcome: Outcome) => void
}

const dropOutcome = (reason: DropReason): Outcome => {
  if (reason === 'expired') return notRun('deadline')
  if (reason === 'notAllowed') return notRun('keyRefused')
  if (reason === 'closed') return notRun('draining')
  return notRun('queueFull', refusalRetryMs)
}

/** Creates the dispatcher of a group. */
export const createGroupDispatcher = (options: GroupDispatcherOptions): GroupDispatcher => {
  const { group, endpoints, clock, log } = options

  const createQueue = (): FairQueue<QueuedRequest> => createFairQueue<QueuedRequest>({
    maxQueued: options.maxQueued,
    maxQueuedPerWorkspace: options.maxQueuedPerWorkspace,
    discipline: options.discipline,
    isStillAllowed: queuedRequest => queuedRequest.isStillAllowed(),
    onDropped: (queuedRequest, reason) => queuedRequest.refuse(dropOutcome(reason)),
    clock
  })
  const primaryQueue = createQueue()
  const replicaQueue = createQueue()

  const assign = (queuedRequest: QueuedRequest, choice: EndpointChoice) => {
    log(events.routed, () => ({
      group,
      request: queuedRequest.requestId,
      workspace: queuedRequest.workspace,
      endpoint: choice.candidate.name,
      reason: choice.reason,
      passedOver: choice.rejected
    }))
    queuedRequest.assign(choice)
  }

  const push = (queue: FairQueue<QueuedRequest>, queuedRequest: QueuedRequest) => {
    const queued = queue.push(queuedRequest, {
      workspace: queuedRequest.workspace,
      weight: queuedRequest.weight,
      cost: queuedRequest.costMs,
      deadlineMs: queuedRequest.deadlineMs
    })
    if (queued.ok) return
    queuedRequest.refuse(queued.val.reason === 'expired' ? notRun('deadline') : notRun('queueFull', refusalRetryMs))
  }

  const enqueue = (queuedRequest: QueuedRequest) => {
    const isForReplica = queuedRequest.readRequirement &&
      routeRead(endpoints.candidates(), queuedRequest.readRequirement).eligible.length > 0
    push(isForReplica ? replicaQueue : primaryQueue, queuedRequest)
  }

  const canServe = (candidate: EndpointCandidate): boolean => !candidate.isOutOfService && candidate.reachable

  /** Requests connection permits from peers while requests are queued for lack of connections. */
  const borrowPermits = (candidates: readonly EndpointCandidate[], queue: FairQueue<QueuedRequest>) => {
    if (queue.size() === 0) return
    for (const candidate of candidates) endpoints.endpoint(candidate.name)?.pool.borrowPermit()
  }

  const dispatchToPrimary = () => {
    for (;;) {
      const primary = findPrimary(endpoints.candidates())
      if (!primary || !canServe(primary)) return
      if (!primary.hasCapacity()) return borrowPermits([primary], primaryQueue)
      const queuedRequest = primaryQueue.pop()
      if (!queuedRequest) return
      const reason = queuedRequest.readRequirement ? 'noReplicaFreshEnough' : 'primaryNeeded'
      assign(queuedRequest, { candidate: primary, reason, rejected: [] })
    }
  }

  const dispatchToReplicas = () => {
    while (replicaQueue.size() > 0) {
      const candidates = endpoints.candidates()
      const primary = findPrimary(candidates)
      const replicas = candidates.filter(candidate => !candidate.isRecordPrimary && canServe(candidate))
      const hasFreeReplica = replicas.some(candidate => candidate.hasCapacity())
      const canUsePrimary = primary !== undefined && replicaQueue.size() > maxReadsWaitingForReplicas &&
        canServe(primary) && primary.hasCapacity()
      if (!hasFreeReplica && !canUsePrimary) return borrowPermits(replicas, replicaQueue)
      const queuedRequest = replicaQueue.pop()
      if (!queuedRequest) return
      const { eligible, rejected } = routeRead(candidates, queuedRequest.readRequirement!)
      const freeReplica = eligible.find(candidate => candidate.hasCapacity())
      if (freeReplica) assign(queuedRequest, { candidate: freeReplica, reason: 'freshEnough', rejected })
      else if (canUsePrimary) assign(queuedRequest, { candidate: primary, reason: 'replicasBusy', rejected })
      else push(primaryQueue, queuedRequest)
    }
  }

  const queued = () => primaryQueue.size() + replicaQueue.size()

  const dispatch = () => {
    if (queued() === 0) return
    primaryQueue.dropExpired()
    replicaQueue.dropExpired()
    if (!options.isInContact()) return
    dispatchToReplicas()
    dispatchToPrimary()
  }

  /** Acquires a connection to the chosen endpoint. Its capacity in the pool is reserved synchronously. */
  const connect = async (
    choice: EndpointChoice,
    purpose: ConnectionPurpose
  ): Promise<Result<AssignedConnection, Outcome>> => {
    const endpoint = endpoints.endpoint(choice.candidate.name)
    if (!endpoint) return Err(notRun('endpointNotConnected', refusalRetryMs))
    const acquired = await endpoint.pool.acquire(purpose)
    if (!acquired.ok) {
      if (!acquired.val.metadata.refused) endpoints.recordFailure(endpoint.name)
      dispatch()
      return Err(notRun('endpointNotConnected', refusalRetryMs))
    }
    const connection = acquired.val
    const release = (useResult: ConnectionUseResult) => {
      endpoint.pool.release(connection, useResult)
      dispatch()
    }
    return Ok({ endpoint: endpoint.name, isPrimary: choice.candidate.isRecordPrimary, connection, release })
  }

  const acquire = async (request: ConnectionRequest): Promise<Result<AssignedConnection, Outcome>> => {
    const assignment = await new Promise<Result<Promise<Result<AssignedConnection, Outcome>>, Outcome>>(resolve => {
      enqueue({
        ...request,
        assign: choice => resolve(Ok(connect(choice, request.purpose))),
        refuse: outcome => resolve(Err(outcome))
      })
      dispatch()
    })
    if (!assignment.ok) return assignment
    const connected = await assignment.val
    if (!connected.ok) return connected
    const { release, ...rest } = connected.val
    const releaseAndCharge = (useResult: ConnectionUseResult) => {
      const queue = connected.val.isPrimary ? primaryQueue : replicaQueue
      queue.charge(request.workspace, useResult.latencyMs - request.costMs)
      release(useResult)
    }
    return Ok({ ...rest, release: releaseAndCharge })
  }

  const timer = setInterval(dispatch, dispatchIntervalMs)
  const close = () => {
    clearInterval(timer)
    primaryQueue.close()
    replicaQueue.close()
  }

  return { acquire, dispatch, queued, close }
}
