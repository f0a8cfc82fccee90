/**
 * Link to one other gateway: one stream on a connection of its own, with requests matched to replies by number. When
 * pings are not answered, the link closes its connection too, because the connection itself may be dead.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import type { Result } from '@egretyoke/common'
import type { ChannelSettings, RelayMessages } from '@egretyoke/protocol'
import type { RelayReply, RelayFailure, RelayRequest } from '../coordination/routing/relay-calls.js'
import { tickIntervalMs } from './idle-pings.js'
import type { Pending, PingPlan } from './idle-pings.js'
import { encodeRequest, openRequestStream } from './relay-encoding.js'
import type { EncodedMessage, EncodingFailure, RequestStream } from './relay-encoding.js'

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
/** Number of pings; requests are numbered from 1. */
const pingNumber = 0

type PendingRequest = {
  /** Undefined once it is sent. */
  messageToSend: EncodedMessage | undefined
  isLongPoll: boolean
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
  /** Accepts no further requests, and closes when the pending ones are done; `onClosed` is called then. */
  retire: (onClosed: () => void) => void
  close: () => void
}

const failure = (reason: 'unsent' | 'lost', address: string) =>
  Err(typedError(reason, `Gateway ${address} did not answer.`, { address }))

/** What a link reports. */
export type RelayLinkListener = {
  /** Called with the reason for each loss of the link. */
  onDown: (reason: string) => void
  /** Called for each request that is too large to be sent. */
  onTooLarge: (failure: EncodingFailure) => void
}

/** Creates a link, which connects on first use. */
export const createRelayLink = (
  address: string, channels: ChannelSettings, { onDown, onTooLarge }: RelayLinkListener
): RelayLink => {
  let closeConnection = () => {}
  let stream: RequestStream | undefined
  let isEstablished = false
  let readyReportedMs = -Infinity
  let isClosed = false
  let onRetired: (() => void) | undefined
  let lastReplyMs = 0
  let lastUsedMs = 0
  let isDown = false
  let reopenTimer: NodeJS.Timeout | undefined
  let nextNumber = 1
  let lastTickMs = 0
  /** Send time of the oldest ping without a reply since; undefined when the peer has replied to all. */
  let unansweredPingMs: number | undefined
  const pending = new Map<number, PendingRequest>()

  const failureOf = ({ messageToSend }: PendingRequest) =>
    failure(messageToSend === undefined ? 'lost' : 'unsent', address)

  const tearDown = () => {
    stream?.cancel()
    closeConnection()
    stream = undefined
    isEstablished = false
  }

  const failPending = () => {
    const failedRequests = [...pending.values()]
    pending.clear()
    for (const request of failedRequests) request.settle(failureOf(request))
  }

  const markDown = (reason: string) => {
    if (stream === undefined) return
    tearDown()
    if (!isDown) onDown(reason)
    isDown = true
    scheduleReopen()
    failPending()
    closeIfRetired()
  }

  const close = () => {
    isClosed = true
    clearTimeout(reopenTimer)
    tearDown()
    failPending()
  }

  const closeIfRetired = () => {
    if (onRetired === undefined || isClosed || pending.size > 0) return
    close()
    onRetired()
  }

  /** Reconnects in the background, so that no request has to wait for it. */
  const scheduleReopen = () => {
    clearTimeout(reopenTimer)
    if (isClosed || performance.now() - lastUsedMs > unusedLinkTimeoutMs) return
    reopenTimer = setTimeout(() => { if (stream === undefined) open() }, reopenDelayMs)
  }

  const send = (pendingRequest: PendingRequest) => {
    const { messageToSend } = pendingRequest
    pendingRequest.messageToSend = undefined
    if (messageToSend !== undefined) stream?.write(messageToSend)
  }

  const receive = (reply: RelayMessages.RelayReply__Output) => {
    lastReplyMs = performance.now()
    unansweredPingMs = undefined
    if (reply.pong) readyReportedMs = reply.pong.ready ? lastReplyMs : -Infinity
    if (!isEstablished) {
      isEstablished = true
      isDown = false
      for (const pendingRequest of pending.values()) send(pendingRequest)
    }
    finish(reply.number)?.settle(Ok(reply))
    closeIfRetired()
  }

  /** Removes a request from the pending ones. */
  const finish = (number: number): PendingRequest | undefined => {
    const pendingRequest = pending.get(number)
    pending.delete(number)
    return pendingRequest
  }

  const ping = () => {
    unansweredPingMs ??= performance.now()
    stream?.write(encodeRequest({ number: pingNumber, ping: {} }).unwrap())
  }

  const pendingKind = (): Pending => {
    if (pending.size === 0) return 'nothing'
    const requests = [...pending.values()]
    return requests.every(({ isLongPoll }) => isLongPoll) ? 'longPoll' : 'reply'
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
    const connection = openRequestStream(address, channels)
    const opened = connection.stream
    closeConnection = connection.closeConnection
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
      if (pending.size >= maxPendingRequests || onRetired !== undefined) return resolve(failure('unsent', address))
      const number = nextNumber++
      const encoded = encodeRequest({ number, ...request })
      if (encoded.err) {
        onTooLarge(encoded.val)
        return resolve(encoded)
      }
      if (stream === undefined) open()
      const timer = setTimeout(() => {
        const pendingRequest = finish(number)
        pendingRequest?.settle(failureOf(pendingRequest))
        closeIfRetired()
      }, timeoutMs)
      const settle = (reply: Result<RelayReply, RelayFailure>) => {
        clearTimeout(timer)
        resolve(reply)
      }
      const isLongPoll = request.followStore !== undefined
      const pendingRequest: PendingRequest = { messageToSend: encoded.val, isLongPoll, settle }
      pending.set(number, pendingRequest)
      if (isEstablished) send(pendingRequest)
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
    retire: onClosed => {
      onRetired = onClosed
      closeIfRetired()
    },
    close
  }
}
