/**
 * Metadata and deadlines of requests, and their retry on other VMs.
 */
import { Metadata, status } from '@grpc/grpc-js'
import type { ServiceError } from '@grpc/grpc-js'
import { monotonicMs } from '@egretyoke/common'
import { notRun, outcomeUnknown } from './outcome.js'
import type { Outcome } from './outcome.js'
import type { SentState } from './session-state.js'
import type { CallerVm, VmSelector } from './vm-selector.js'

/** Options of one request. */
export type RequestOptions = {
  /** Profile to use instead of the route's default profile. */
  profile?: string
  /** Timeout of the request, retries included. */
  timeoutMs?: number
  /** `read` permits the library to retry the request; requests are writes by default. */
  access?: 'read' | 'write'
  /** True when the write is idempotent, so that the library may retry it. */
  isRepeatable?: boolean
}

/** Properties of a request, with defaults applied. */
export type Request = {
  route: string
  key: string | undefined
  profile: string | undefined
  timeoutMs: number
  isWrite: boolean
  isRepeatable: boolean
}

/** Added to the request's timeout for the gRPC deadline, so that the VM's own timeout answer still arrives. */
const responseGraceMs = 250

/** Longest wait for a connected VM, per attempt. */
const maxConnectMs = 2000

/** Maximum number of attempts of one request. */
const maxAttempts = 8

/** Reasons that concern the VM and not the request, so that another VM may serve it. */
const retryElsewhereReasons = new Set([
  'outOfContact', 'draining', 'dataCentreOut', 'endpointNotConnected', 'connectionLost'
])

/** Deadline of a call as a wall clock time in milliseconds, the form that gRPC expects. */
export const deadlineOf = (timeoutMs: number): number => Date.now() + timeoutMs + responseGraceMs

/** Builds the metadata of a request. */
export const metadataOf = (request: Request, session: SentState, timeoutMs: number): Metadata => {
  const metadata = new Metadata()
  metadata.set('egretyoke-route', request.route)
  metadata.set('egretyoke-timeout-ms', String(Math.ceil(timeoutMs)))
  if (request.key) metadata.set('egretyoke-key', request.key)
  if (request.profile) metadata.set('egretyoke-profile', request.profile)
  if (session.token) metadata.set('egretyoke-session-bin', session.token)
  if (!session.token && session.isNew) metadata.set('egretyoke-new-session', '1')
  if (session.isUnsettled) metadata.set('egretyoke-unsettled-write', '1')
  return metadata
}

/** Outcome of a call that ended with an error. It is unknown, because the VM may have run the request. */
export const callErrorOutcome = (error: Partial<ServiceError>): Outcome => {
  if (error.code === status.DEADLINE_EXCEEDED) return outcomeUnknown('timeout')
  return outcomeUnknown(error.code === status.UNAVAILABLE ? 'connectionLost' : 'callFailed')
}

/** Merges the outcomes of two attempts: a later refusal does not replace the unknown outcome of an earlier one. */
export const mergeOutcomes = (earlier: Outcome | undefined, later: Outcome): Outcome =>
  earlier?.kind === 'outcomeUnknown' && later.kind === 'notRun' ? earlier : later

/** True when the request should be retried on another VM. */
export const shouldRetryElsewhere = (outcome: Outcome, request: Request): boolean => {
  if (outcome.kind === 'notRun') return retryElsewhereReasons.has(outcome.reason)
  return outcome.kind === 'outcomeUnknown' && outcome.reason === 'connectionLost' && request.isRepeatable
}

/** The VM of an attempt, and the time remaining until the request's deadline. */
export type AttemptTarget = { vm: CallerVm, timeoutMs: number }

/** Runs attempts on one VM after another until one is not to be retried. Without a connected VM nothing is sent. */
export const runWithFailover = async (
  vmSelector: VmSelector,
  request: Request,
  attempt: (target: AttemptTarget) => Promise<Outcome>
): Promise<Outcome> => {
  const deadlineMs = monotonicMs() + request.timeoutMs
  let outcome: Outcome | undefined
  for (let count = 0; count < Math.min(maxAttempts, vmSelector.vmCount * 2); count++) {
    const remainingMs = deadlineMs - monotonicMs()
    if (remainingMs <= 0) break
    const vm = await vmSelector.select(Math.min(remainingMs, maxConnectMs))
    if (!vm) return mergeOutcomes(outcome, notRun('notConnected'))
    const timeoutMs = Math.max(1, deadlineMs - monotonicMs())
    const latest = await attempt({ vm, timeoutMs })
    outcome = mergeOutcomes(outcome, latest)
    if (!shouldRetryElsewhere(latest, request)) return outcome
    vmSelector.avoid(vm)
  }
  return outcome ?? notRun('deadline')
}
