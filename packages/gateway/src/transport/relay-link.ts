/**
 * Link to one other gateway: one stream on a connection of its own, with requests matched to replies by number. When
 * the peer is given up (`peer-detector.ts`), the link closes its connection too, because it may be dead itself.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import type { Result } from '@egretyoke/common'
import type { ChannelSettings, RelayMessages } from '@egretyoke/protocol'
import type { RelayReply, RelayFailure, RelayRequest } from '../coordination/routing/relay-calls.js'
import { probeHost } from './host-probe.js'
import type { Pending, PingPlan } from './idle-pings.js'
import { createPeerDetector } from './peer-detector.js'
import type { HostEvidence } from './peer-detector.js'
import { encodeRequest, openRequestStream } from './relay-encoding.js'
import type { EncodedMessage, EncodingFailure, RequestStream } from './relay-encoding.js'

/** A link without requests for longer is closed. */
const unusedLinkTimeoutMs = 15_000
/** Delay before a failed link that was recently used is reopened; it counts as usable once it is established. */
const reopenDelayMs = 400
/** A peer's readiness counts for this long after it was reported. */
const readinessLifetimeMs = 3000
/** A peer that replied within this time counts as heard. */
const heardLifetimeMs = 1000
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
  /** Whether the peer has not replied for longer than usual, but is not given up. */
  isSuspected: () => boolean
  /** Whether the peer has replied recently, keeps this gateway waiting, or neither is expected or known. */
  contact: () => 'heard' | 'silent' | 'unknown'
  /** Whether the peer has answered on the open link; opens the link when there is none. */
  isConnected: () => boolean
  /** Whether the peer reported recently that it accepts new sessions. */
  isPeerReady: () => boolean
  /**
   * Pings a silent peer as the plan permits, or closes the link when the peer is gone or the link unused; call it every
   * `tickIntervalMs`.
   */
  tick: (plan: PingPlan, isSelfDoubted: boolean) => void
  /** Accepts no further requests, and closes when the pending ones are done; `onClosed` is called then. */
  retire: (onClosed: () => void) => void
  close: () => void
}

const failure = (reason: 'unsent' | 'lost', address: string) =>
  Err(typedError(reason, `Gateway ${address} did not answer.`, { address }))

/** Loss of a link, and the requests that failed with it. */
export type LinkLoss = {
  reason: string
  silentMs: number
  /** Requests that the peer may have received, except long polls. */
  lostRequests: number
  /** Requests that were not sent. */
  unsentRequests: number
}

/** What a link reports. */
export type RelayLinkListener = {
  onDown: (loss: LinkLoss) => void
  onSuspected: (silence: { silentMs: number, usualMs: number }) => void
  /** Called for each request that is too large to be sent. */
  onTooLarge: (failure: EncodingFailure) => void
}

/** Creates a link, which connects on first use. `awakeMs` is the time in which this process ran. */
export const createRelayLink = (
  address: string, channels: ChannelSettings, awakeMs: () => number, listener: RelayLinkListener
): RelayLink => {
  const detector = createPeerDetector()
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
  let isSuspected = false
  let hostEvidence: HostEvidence = 'none'
  let endProbe = () => {}
  const pending = new Map<number, PendingRequest>()

  const failureOf = ({ messageToSend }: PendingRequest) =>
    failure(messageToSend === undefined ? 'lost' : 'unsent', address)

  const clearSuspicion = () => {
    isSuspected = false
    hostEvidence = 'none'
    endProbe()
  }

  const tearDown = () => {
    stream?.cancel()
    closeConnection()
    stream = undefined
    isEstablished = false
    clearSuspicion()
  }

  const lossOf = (reason: string): LinkLoss => {
    const requests = [...pending.values()].filter(({ isLongPoll }) => !isLongPoll)
    const unsentRequests = requests.filter(({ messageToSend }) => messageToSend !== undefined).length
    const silentMs = Math.round(detector.silentMs(awakeMs()))
    return { reason, silentMs, lostRequests: requests.length - unsentRequests, unsentRequests }
  }

  const failPending = () => {
    const failedRequests = [...pending.values()]
    pending.clear()
    for (const request of failedRequests) request.settle(failureOf(request))
  }

  const markDown = (reason: string) => {
    if (stream === undefined) return
    tearDown()
    if (!isDown) listener.onDown(lossOf(reason))
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
    detector.received(awakeMs(), reply.pong != null)
    clearSuspicion()
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
    detector.pingSent(awakeMs())
    stream?.write(encodeRequest({ number: pingNumber, ping: {} }).unwrap())
  }

  const pendingKind = (): Pending => {
    if (pending.size === 0) return 'nothing'
    const requests = [...pending.values()]
    return requests.every(({ isLongPoll }) => isLongPoll) ? 'longPoll' : 'reply'
  }

  const suspect = () => {
    isSuspected = true
    const silentMs = Math.round(detector.silentMs(awakeMs()))
    if (!isDown) listener.onSuspected({ silentMs, usualMs: Math.round(detector.usualMs()) })
    endProbe = probeHost(address, evidence => {
      hostEvidence = evidence
      if (evidence === 'refuses') markDown('refused')
    })
  }

  const tick = (plan: PingPlan, isSelfDoubted: boolean) => {
    if (stream === undefined) return
    const state = detector.state(awakeMs(), { host: hostEvidence, isSelfDoubted })
    if (state === 'gone') return markDown('silent')
    if (state === 'suspected' && !isSuspected) suspect()
    const nowMs = performance.now()
    if (nowMs - lastUsedMs > unusedLinkTimeoutMs && pending.size === 0) return tearDown()
    if (plan.acquire(pendingKind(), nowMs - lastReplyMs)) ping()
  }

  const open = () => {
    const connection = openRequestStream(address, channels)
    const opened = connection.stream
    closeConnection = connection.closeConnection
    stream = opened
    lastReplyMs = performance.now()
    detector.opened()
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
        listener.onTooLarge(encoded.val)
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
      detector.requestSent(awakeMs())
      if (isEstablished) send(pendingRequest)
    })

  const contact = () => {
    if (isDown || stream === undefined) return 'unknown'
    if (isSuspected) return 'silent'
    return isEstablished && performance.now() - lastReplyMs < heardLifetimeMs ? 'heard' : 'unknown'
  }

  return {
    call,
    isUsable: () => !isDown,
    isSuspected: () => isSuspected,
    contact,
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
