/**
 * A caller over the published protocol that exposes every field of a response. Unlike the caller library, it gives
 * tests and the load tool the raw session token and the choice of the VM for each request.
 */
import { Metadata } from '@grpc/grpc-js'
import { callerProto, callUnary, connectGrpc, loopbackChannels } from '@egretyoke/protocol'
import type { CallerMessages, ChannelSettings } from '@egretyoke/protocol'

/** Kind of a response. `lost`: no response arrived, so the outcome is unknown. */
export type ResponseKind = 'done' | 'notRun' | 'outcomeUnknown' | 'failed' | 'lost'

/** Response to one request as the caller received it. */
export type CallerResponse = {
  kind: ResponseKind
  /** Reason code; empty for `done`. */
  reason: string
  result: string
  retryAfterMs: number
  sessionToken: Buffer
  endpoint: string
  fromReplica: boolean
}

/** One request. */
export type CallerRequest = {
  route: string
  statement: string
  key?: string
  profile?: string
  sessionToken?: Buffer
  timeoutMs?: number
  /** True after a write of the session whose outcome is unknown. */
  hasUnsettledWrite?: boolean
  /** True for the first request of a session; otherwise a request without a token reads from the primaries. */
  isNewSession?: boolean
}

/** A caller with channels to a list of VMs. */
export type Caller = ReturnType<typeof createCaller>

const defaultTimeoutMs = 5_000
/** Time beyond the request's own timeout for which the caller waits for the response. */
const responseGraceMs = 1_000

const emptyToken = Buffer.alloc(0)

const createLostResponse = (reason: string): CallerResponse => ({
  kind: 'lost', reason, result: '', retryAfterMs: 0, sessionToken: emptyToken, endpoint: '', fromReplica: false
})

const metadataOf = (request: CallerRequest, timeoutMs: number): Metadata => {
  const metadata = new Metadata()
  metadata.set('egretyoke-route', request.route)
  metadata.set('egretyoke-timeout-ms', String(timeoutMs))
  if (request.key) metadata.set('egretyoke-key', request.key)
  if (request.profile) metadata.set('egretyoke-profile', request.profile)
  if (request.sessionToken?.length) metadata.set('egretyoke-session-bin', request.sessionToken)
  if (request.isNewSession) metadata.set('egretyoke-new-session', '1')
  if (request.hasUnsettledWrite) metadata.set('egretyoke-unsettled-write', '1')
  return metadata
}

const toCallerResponse = (answer: CallerMessages.Answer__Output): CallerResponse => {
  const kind = answer.outcome ?? 'lost'
  const refusal = answer.notRun ?? answer.outcomeUnknown ?? answer.failed
  return {
    kind,
    reason: refusal?.reason ?? '',
    result: answer.done?.result.toString('utf8') ?? '',
    retryAfterMs: answer.notRun?.retryAfterMs ?? 0,
    sessionToken: answer.sessionToken,
    endpoint: answer.endpoint,
    fromReplica: answer.fromReplica
  }
}

/** Creates a caller. `channelsPerVm` above 1 distributes requests over several connections to each VM. */
export const createCaller = (
  addresses: string[],
  channelsPerVm = 1,
  channels: ChannelSettings = loopbackChannels
) => {
  const clients = addresses.map(address => Array.from({ length: channelsPerVm },
    () => connectGrpc(callerProto.Caller, address, channels)))
  let nextChannel = 0

  /** Runs one statement through the VM with the given index. */
  const execute = async (vm: number, request: CallerRequest): Promise<CallerResponse> => {
    const timeoutMs = request.timeoutMs ?? defaultTimeoutMs
    const client = clients[vm][nextChannel++ % channelsPerVm]
    const response = await callUnary(client, client.Execute, { text: Buffer.from(request.statement) },
      timeoutMs + responseGraceMs, metadataOf(request, timeoutMs))
    return response.ok
      ? toCallerResponse(response.val as CallerMessages.Answer__Output)
      : createLostResponse(response.val.reason)
  }

  const close = () => {
    for (const client of clients.flat()) client.close()
  }

  return { vmCount: addresses.length, execute, close }
}
