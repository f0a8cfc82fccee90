/**
 * Admission control: checks whether this VM may start requests, and validates the key, route and profile of a request
 * against the active configuration. The key is checked on arrival and again before the request is sent to an endpoint.
 */
import { Err, Ok } from '@egretyoke/common'
import type { Clock, Result } from '@egretyoke/common'
import { isKeyValid, parseKey } from '@egretyoke/config'
import type { Configuration, Profile, Route, Workspace } from '@egretyoke/config'
import { notRun } from '../state/outcome.js'
import type { Outcome, RefusalReason } from '../state/outcome.js'
import type { CallerRequest } from './caller-request.js'

/** Workspace, route and profile that a request refers to. */
type RequestTarget = {
  workspaceName: string
  workspace: Workspace
  routeName: string
  route: Route
  profileName: string
  profile: Profile
}

/** A request that passed admission. */
export type AdmittedRequest = RequestTarget & {
  /** Deadline on this VM's monotonic clock, in milliseconds. */
  deadlineMs: number
  /** Checks the key and the route again, against the configuration that is active now. */
  isStillAllowed: () => boolean
}

/** Dependencies of admission. */
export type AdmissionOptions = {
  clock: Clock
  configuration: () => Configuration | undefined
  isInContact: () => boolean
  isDraining: () => boolean
  /** True if this VM's data centre has been out of service for longer than the load balancer needs to react. */
  isDataCentreOutOfService: () => boolean
}

/** Admits a request, or fails with its outcome. */
export type Admission = (request: CallerRequest) => Result<AdmittedRequest, Outcome>

const shortRetryMs = 500
const longRetryMs = 5_000

type NamedWorkspace = { workspaceName: string, workspace: Workspace }

/** Creates an index of workspaces by key id, which is rebuilt once for each version of the configuration. */
const createKeyIndex = () => {
  let indexed: Configuration | undefined
  let index = new Map<string, NamedWorkspace>()
  return (configuration: Configuration): Map<string, NamedWorkspace> => {
    if (configuration === indexed) return index
    indexed = configuration
    index = new Map(Object.entries(configuration.workspaces).flatMap(([workspaceName, workspace]) =>
      Object.keys(workspace.keys).map(keyId => [keyId, { workspaceName, workspace }] as const)))
    return index
  }
}

/** Creates the admission control of this VM. */
export const createAdmission = (options: AdmissionOptions): Admission => {
  const workspacesByKeyId = createKeyIndex()

  const ownerOfKey = (
    configuration: Configuration,
    keyText: string | undefined
  ): Result<NamedWorkspace, RefusalReason> => {
    if (keyText === undefined) return Err('keyMissing')
    const key = parseKey(keyText)
    const owner = key && workspacesByKeyId(configuration).get(key.keyId)
    if (!key || !owner) return Err('keyRefused')
    return isKeyValid(key, owner.workspace.keys[key.keyId]) ? Ok(owner) : Err('keyRefused')
  }

  /**
   * Finds the workspace that owns the route. WORKSPACE/ROUTE names a route that is open to all or belongs to the key's
   * workspace; ROUTE names a route of the key's workspace.
   */
  const ownerOfRoute = (
    configuration: Configuration,
    request: CallerRequest
  ): Result<NamedWorkspace, RefusalReason> => {
    const slash = request.routeName.indexOf('/')
    if (slash < 0) return ownerOfKey(configuration, request.keyText)
    const workspaceName = request.routeName.slice(0, slash)
    const routeName = request.routeName.slice(slash + 1)
    const workspace = Object.hasOwn(configuration.workspaces, workspaceName)
      ? configuration.workspaces[workspaceName]
      : undefined
    if (workspace && Object.hasOwn(workspace.routes, routeName) && workspace.routes[routeName].openToAll) {
      return Ok({ workspaceName, workspace })
    }
    const keyOwner = ownerOfKey(configuration, request.keyText)
    if (!keyOwner.ok) return keyOwner
    return keyOwner.val.workspaceName === workspaceName ? keyOwner : Err('keyRefused')
  }

  const vmRefusalReason = (): RefusalReason | undefined => {
    if (!options.isInContact()) return 'outOfContact'
    if (options.isDraining()) return 'draining'
    if (options.isDataCentreOutOfService()) return 'dataCentreOut'
    return undefined
  }

  const retryAfterMs = (reason: RefusalReason): number => {
    if (reason === 'keyMissing' || reason === 'keyRefused' || reason === 'unknownRoute') return longRetryMs
    return shortRetryMs
  }

  const refuse = (reason: RefusalReason) => Err(notRun(reason, retryAfterMs(reason)))

  const resolve = (configuration: Configuration, request: CallerRequest): Result<RequestTarget, RefusalReason> => {
    const owner = ownerOfRoute(configuration, request)
    if (!owner.ok) return owner
    const { workspace } = owner.val
    const routeName = request.routeName.slice(request.routeName.indexOf('/') + 1)
    if (!Object.hasOwn(workspace.routes, routeName)) return Err('unknownRoute')
    const route = workspace.routes[routeName]
    const profileName = request.profileName ?? route.profile
    if (!Object.hasOwn(configuration.profiles, profileName)) return Err('unknownProfile')
    return Ok({ ...owner.val, routeName, route, profileName, profile: configuration.profiles[profileName] })
  }

  /** True if a request admitted under an earlier configuration would be admitted for the same workspace now. */
  const isStillAllowed = (
    request: CallerRequest,
    admittedConfiguration: Configuration,
    workspaceName: string
  ): boolean => {
    const configuration = options.configuration()
    if (!configuration) return false
    if (configuration === admittedConfiguration) return true
    const current = resolve(configuration, request)
    return current.ok && current.val.workspaceName === workspaceName
  }

  return request => {
    const configuration = options.configuration()
    const vmRefusal = vmRefusalReason()
    if (vmRefusal) return refuse(vmRefusal)
    if (!configuration) return refuse('outOfContact')
    const resolved = resolve(configuration, request)
    if (!resolved.ok) return refuse(resolved.val)
    const { workspaceName, profile } = resolved.val
    const requestedTimeoutMs = request.timeoutMs > 0 ? request.timeoutMs : profile.timeoutMs
    return Ok({
      ...resolved.val,
      deadlineMs: options.clock() + Math.min(requestedTimeoutMs, profile.timeoutMs),
      isStillAllowed: () => isStillAllowed(request, configuration, workspaceName)
    })
  }
}
