/**
 * Link to one other gateway: one stream on a connection of its own, with requests matched to replies by number. When
 * pings are not answered, the link closes its connection too, because the connection itself may be dead.
 */
import type { ClientDuplexStream } from '@grpc/grpc-js'
import { Err, Ok, typedError } from '@egretyoke/common'
import type { Result } from '@egretyoke/common'
import { connectGrpc, relayProto } from '@egretyoke/protocol'
import type { ChannelSettings, RelayMessages } from '@egretyoke/protocol'
import type { RelayReply, RelayFailure, RelayRequest } from '../coordination/routing/relay-calls.js'
import { tickIntervalMs } from './idle-pings.js'
import type { Pending, PingPlan } from './idle-pings.js'

/** Time without an answer to a ping after which the peer counts as unreachable. */
const pingTimeoutMs = 500
/** After a longer gap between ticks this process was stalled, so the silence is not counted against the peer. */
const stalledTickMs = 2 * tickIntervalMs
/** A link without requests for longer is closed. */
const unusedLinkTimeoutMs = 15_000
/** Delay before a failed link that was recently used is reopened; it counts as usable once it is established. */
const reopenDelayMs = 400
/** A peer's readiness counts for this long after it was reported. */
const readinessLifetimeMs = 3000
const maxPendingRequests = 4096
/** The link itself decides on retries; gRPC's retries and statistics would cost processor time for each message. */
const channelOptions = { 'grpc.enable_retries': 0, 'grpc.enable_channelz': 0 }

type Stream = ClientDuplexStream<RelayMessages.RelayRequest, RelayMessages.RelayReply__Output>
type PendingRequest = {
  request: RelayRequest
  isSent: boolean
  settle: (reply: Result<RelayReply, RelayFailure>) => void
}

/** A link to one address. */
export type RelayLink = {
  call: (request: RelayRequest, timeoutMs: number) => Promise<Result<RelayReply, RelayFailure>>
  isUsable: () => boolean
  /** Whether the peer has answered on the open link; opens the link when there is none. */
  isConnected: () => boolean
  /** Whether the peer reported recently that it accepts new sessions. */
  isPeerReady: () => boolean
  /**
   * Pings a silent peer as the plan permits, or closes the link when the peer is unreachable or the link unused; call
   * it every `tickIntervalMs`.
   */
  tick: (plan: PingPlan) => void
  close: () => void
}

const failure = (reason: 'unsent' | 'lost', address: string) =>
  Err(typedError(reason, `Gateway ${address} did not answer.`, { address }))

/** Creates a link, which connects on first use. `onDown` is called with the reason for each loss of the link. */
export const createRelayLink = (
  address: string, channels: ChannelSettings, onDown: (reason: string) => void
): RelayLink => {
  let service: InstanceType<typeof relayProto.Relay> | undefined
  let stream: Stream | undefined
  let isEstablished = false
  let readyReportedMs = -Infinity
  let isClosed = false
  let lastReplyMs = 0
  let lastUsedMs = 0
  let isDown = false
  let reopenTimer: NodeJS.Timeout | undefined
  let nextNumber = 1
  let lastTickMs = 0
  /** Send time of the oldest ping without a reply since; undefined when the peer has replied to all. */
  let unansweredPingMs: number | undefined
  const pending = new Map<number, PendingRequest>()

  const tearDown = () => {
    stream?.cancel()
    service?.close()
    stream = undefined
    service = undefined
    isEstablished = false
  }

  const markDown = (reason: string) => {
    if (stream === undefined) return
    tearDown()
    if (!isDown) onDown(reason)
    isDown = true
    scheduleReopen()
    const failedRequests = [...pending.values()]
    pending.clear()
    for (const { isSent, settle } of failedRequests) settle(failure(isSent ? 'lost' : 'unsent', address))
  }

  /** Reconnects in the background, so that no request has to wait for it. */
  const scheduleReopen = () => {
    clearTimeout(reopenTimer)
    if (isClosed || performance.now() - lastUsedMs > unusedLinkTimeoutMs) return
    reopenTimer = setTimeout(() => { if (stream === undefined) open() }, reopenDelayMs)
  }

  const send = (number: number, pendingRequest: PendingRequest) => {
    pendingRequest.isSent = true
    stream?.write({ number, ...pendingRequest.request })
  }

  const receive = (reply: RelayMessages.RelayReply__Output) => {
    lastReplyMs = performance.now()
    unansweredPingMs = undefined
    if (reply.pong) readyReportedMs = reply.pong.ready ? lastReplyMs : -Infinity
    if (!isEstablished) {
      isEstablished = true
      isDown = false
      for (const [number, pendingRequest] of pending) send(number, pendingRequest)
    }
    const pendingRequest = pending.get(reply.number)
    pending.delete(reply.number)
    pendingRequest?.settle(Ok(reply))
  }

  const ping = () => {
    unansweredPingMs ??= performance.now()
    stream?.write({ number: 0, ping: {} })
  }

  const pendingKind = (): Pending => {
    if (pending.size === 0) return 'nothing'
    const requests = [...pending.values()]
    return requests.every(({ request }) => request.followStore !== undefined) ? 'longPoll' : 'reply'
  }

  const tick = (plan: PingPlan) => {
    if (stream === undefined) return
    const nowMs = performance.now()
    if (nowMs - lastTickMs > stalledTickMs && unansweredPingMs !== undefined) unansweredPingMs = nowMs
    lastTickMs = nowMs
    if (unansweredPingMs !== undefined && nowMs - unansweredPingMs > pingTimeoutMs) return markDown('silent')
    if (nowMs - lastUsedMs > unusedLinkTimeoutMs && pending.size === 0) return tearDown()
    if (plan.acquire(pendingKind(), nowMs - lastReplyMs)) ping()
  }

  const open = () => {
    service = connectGrpc(relayProto.Relay, address, channels, channelOptions)
    const opened: Stream = service.Exchange()
    stream = opened
    lastReplyMs = performance.now()
    lastTickMs = lastReplyMs
    unansweredPingMs = undefined
    opened.on('data', reply => { if (opened === stream) receive(reply) })
    opened.on('error', error => { if (opened === stream) markDown(error.message) })
    opened.on('end', () => { if (opened === stream) markDown('ended') })
    ping()
  }

  const call = (request: RelayRequest, timeoutMs: number) =>
    new Promise<Result<RelayReply, RelayFailure>>(resolve => {
      lastUsedMs = performance.now()
      if (pending.size >= maxPendingRequests) return resolve(failure('unsent', address))
      if (stream === undefined) open()
      const number = nextNumber++
      const timer = setTimeout(() => {
        const pendingRequest = pending.get(number)
        pending.delete(number)
        pendingRequest?.settle(failure(pendingRequest.isSent ? 'lost' : 'unsent', address))
      }, timeoutMs)
      const settle = (reply: Result<RelayReply, RelayFailure>) => {
        clearTimeout(timer)
        resolve(reply)
      }
      const pendingRequest: PendingRequest = { request, isSent: false, settle }
      pending.set(number, pendingRequest)
      if (isEstablished) send(number, pendingRequest)
    })

  return {
    call,
    isUsable: () => !isDown,
    isConnected: () => {
      lastUsedMs = performance.now()
      if (stream === undefined && !isDown) open()
      return isEstablished
    },
    isPeerReady: () => isEstablished && performance.now() - readyReportedMs < readinessLifetimeMs,
    tick,
    close: () => {
      isClosed = true
      clearTimeout(reopenTimer)
      markDown('closed')
    }
  }
}
