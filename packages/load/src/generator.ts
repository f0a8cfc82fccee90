/**
 * Open-loop load generator: sends each request at its intended time, independently of earlier responses, and records
 * requests and responses.
 */
import { setImmediate } from 'node:timers/promises'
import { createRandom, monotonicMs, sleepMs } from '@egretyoke/common'
import type { Random } from '@egretyoke/common'
import type { Caller, CallerResponse, StoredConfiguration } from '@egretyoke/testbed'
import { mergedArrivals } from './arrivals.js'
import type { Arrival, LoadStream } from './arrivals.js'
import type { Balancer } from './balancer.js'
import { maxRecordedOperations } from './history.js'
import type { History, Operation } from './history.js'
import { resolveRoute } from './resolved-route.js'
import type { ResolvedRoute } from './resolved-route.js'
import { createSessionPool } from './sessions.js'
import type { Session, SessionPool } from './sessions.js'

const initialSessionsPerWorkspace = 50
const maxRequestsInFlight = 10_000
const maxSleepMs = 20
/** Consecutive sends, when the generator is behind schedule, before it yields so that responses are processed. */
const maxSendsPerYield = 20

/** Key of the counter that a clock stream increments in each group; the checker derives the age of reads from it. */
export const clockKey = 'clock'

/** Fleet under load: a caller and a balancer for its VMs, its configuration and the workspaces' keys. */
export type LoadTarget = {
  caller: Caller
  balancer: Balancer
  configuration: StoredConfiguration
  keyOf: (workspace: string) => string
}

/** Options of a load run. */
export type LoadOptions = {
  streams: LoadStream[]
  durationMs: number
  seed: number
  /** Prefix of all operation ids of the run; must be unique among runs against the same databases. */
  runId: string
  /** Called with each completed operation. */
  onOperation?: (operation: Operation) => void
  signal?: AbortSignal
}

const createLostResponse = (reason: string): CallerResponse => ({
  kind: 'lost',
  reason,
  result: '',
  retryAfterMs: 0,
  sessionToken: Buffer.alloc(0),
  endpoint: '',
  fromReplica: false
})

const pickRoute = (random: Random, mix: Record<string, number>): string => {
  const entries = Object.entries(mix)
  const total = entries.reduce((sum, [, share]) => sum + share, 0)
  let remaining = random.fraction() * total
  for (const [route, share] of entries) {
    remaining -= share
    if (remaining < 0) return route
  }
  return entries[entries.length - 1][0]
}

const isEligibleForReplica = (route: ResolvedRoute, session: Session): boolean => {
  if (route.access !== 'read' || route.freshness === 'primary') return false
  if (route.freshness === 'maxAge') return true
  return !session.hasUnsettledWrite
}

const statementOf = (route: ResolvedRoute, key: string, opId: string, costMs: number | undefined): string => {
  const cost = costMs === undefined ? '' : ` costMs=${costMs}`
  return route.access === 'read' ? `get ${key}${cost}` : `add ${key} 1 op=${opId}${cost}`
}

/** Sends the streams' requests until the end or an abort, then waits for the requests in flight. */
export const runLoad = async (target: LoadTarget, options: LoadOptions): Promise<History> => {
  const { caller, balancer, configuration } = target
  const random = createRandom(options.seed)
  const pools = new Map<string, SessionPool>()
  const resolvedRoutes = new Map<string, ResolvedRoute>()
  const operations: Operation[] = []
  const inFlight = new Set<Promise<void>>()
  const startedMs = monotonicMs()
  const nowMs = () => monotonicMs() - startedMs
  let lastOpNumber = 0

  const routeOf = (workspace: string, route: string): ResolvedRoute => {
    const name = `${workspace}/${route}`
    const cached = resolvedRoutes.get(name)
    if (cached) return cached
    const resolved = resolveRoute(configuration, workspace, route)
    resolvedRoutes.set(name, resolved)
    return resolved
  }

  const poolOf = (workspace: string): SessionPool => {
    const cached = pools.get(workspace)
    if (cached) return cached
    const pool = createSessionPool(initialSessionsPerWorkspace)
    pools.set(workspace, pool)
    return pool
  }

  const createOperation = (
    { atMs, stream }: Arrival, route: ResolvedRoute, session: Session, vm: number | undefined
  ): Operation => {
    const isWrite = route.access === 'write'
    const isClock = stream.isClock || (!isWrite && route.freshness === 'maxAge')
    return {
      ...route,
      opId: isWrite ? `${options.runId}-${++lastOpNumber}` : '',
      workspace: stream.workspace,
      session: session.id,
      vm: vm ?? -1,
      key: isClock ? clockKey : `session-${options.runId}-${stream.workspace}-${session.id}`,
      confirmedWriteCount: isClock ? 0 : session.confirmedByGroup.get(route.group) ?? 0,
      isReplicaEligible: isEligibleForReplica(route, session),
      intendedMs: atMs,
      sentMs: nowMs(),
      receivedMs: 0,
      kind: 'lost',
      reason: '',
      result: '',
      endpoint: '',
      fromReplica: false
    }
  }

  const send = async (arrival: Arrival, pool: SessionPool, session: Session) => {
    const { stream } = arrival
    const route = routeOf(stream.workspace, pickRoute(random, stream.mix))
    const vm = balancer.pick(random, stream.vms)
    const operation = createOperation(arrival, route, session, vm)
    const response = vm === undefined
      ? createLostResponse('no VM is ready')
      : await caller.execute(vm, {
        route: route.route,
        statement: statementOf(route, operation.key, operation.opId, stream.costMs),
        key: target.keyOf(stream.workspace),
        sessionToken: session.token,
        timeoutMs: route.timeoutMs,
        hasUnsettledWrite: session.hasUnsettledWrite,
        isNewSession: session.token.length === 0
      })
    const { kind, reason, result, endpoint, fromReplica } = response
    Object.assign(operation, { kind, reason, result, endpoint, fromReplica, receivedMs: nowMs() })
    pool.release(session, route.access === 'write', route.group, operation.key !== clockKey, response)
    if (operations.length < maxRecordedOperations) operations.push(operation)
    options.onOperation?.(operation)
  }

  const dispatch = (arrival: Arrival) => {
    const pool = poolOf(arrival.stream.workspace)
    if (inFlight.size >= maxRequestsInFlight) throw new Error(`more than ${maxRequestsInFlight} requests in flight`)
    const session = pool.acquire(random)
    if (!session) throw new Error(`workspace ${arrival.stream.workspace} has too many sessions`)
    const sent = send(arrival, pool, session).finally(() => inFlight.delete(sent))
    inFlight.add(sent)
  }

  let sentSinceYield = 0
  for (const arrival of mergedArrivals(options.streams, options.seed)) {
    while (nowMs() < arrival.atMs && !options.signal?.aborted) {
      sentSinceYield = 0
      await sleepMs(Math.min(maxSleepMs, Math.max(1, arrival.atMs - nowMs())))
    }
    if (++sentSinceYield % maxSendsPerYield === 0) await setImmediate()
    if (options.signal?.aborted) break
    dispatch(arrival)
  }
  await Promise.all(inFlight)
  return { operations, durationMs: options.durationMs }
}
