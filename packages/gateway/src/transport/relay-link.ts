/**
 * Link to one other gateway: one stream on a connection of its own, with requests matched to replies by number. When
 * pings are not answered, the link closes its connection too, because the connection itself may be dead.
 */
import type { ClientDuplexStream } from '@grpc/grpc-js'
import { Err, Ok, typedError } from '@egretyoke/common'
import type { Result } from '@egretyoke/common'
import { connectGrpc, relayProto } from '@egretyoke/protocol'
import type { ChannelSettings, RelayMessages } from '@egretyoke/protocol'
import type { RelayAnswer, RelayFailure, RelayQuestion } from '../coordination/relay-calls.js'

/** Time without an answer to a ping after which the peer counts as unreachable. */
const silenceMs = 500
/** Interval of `tick`, and of the pings to a silent peer while replies are pending. */
export const tickMs = 200
/** After a longer gap between ticks this process was stalled, so the silence is not counted against the peer. */
const lateTickMs = 2 * tickMs
/** A link without requests for longer is closed. */
const unusedCloseMs = 15_000
/** Delay before a failed link that was recently used is reopened; it counts as usable once it is established. */
const reopenMs = 400
const maxPending = 4096

type Stream = ClientDuplexStream<RelayMessages.RelayRequest, RelayMessages.RelayReply__Output>
type Pending = { question: RelayQuestion, isSent: boolean, settle: (reply: Result<RelayAnswer, RelayFailure>) => void }

/** A link to one address. */
export type RelayLink = {
  ask: (question: RelayQuestion, timeoutMs: number) => Promise<Result<RelayAnswer, RelayFailure>>
  isUsable: () => boolean
  /** Whether the peer has answered on the open link; opens the link when there is none. */
  isConnected: () => boolean
  /** Whether the peer reported in its last pong that it accepts new sessions. */
  isPeerReady: () => boolean
  /**
   * Pings a silent peer, or closes the link when the peer is unreachable or the link unused; call it every `tickMs`.
   * With no reply pending, a peer is pinged after `idlePingMs` of silence.
   */
  tick: (idlePingMs: number) => void
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
  let isPeerReady = false
  let isClosed = false
  let lastHeardMs = 0
  let lastUsedMs = 0
  let isDown = false
  let reopenTimer: NodeJS.Timeout | undefined
  let nextNumber = 1
  let lastTickMs = 0
  /** Send time of the oldest ping without a reply since; undefined when the peer has replied to all. */
  let pingedMs: number | undefined
  const pending = new Map<number, Pending>()

  const tearDown = () => {
    stream?.cancel()
    service?.close()
    stream = undefined
    service = undefined
    isEstablished = false
  }

  const goDown = (reason: string) => {
    if (stream === undefined) return
    tearDown()
    if (!isDown) onDown(reason)
    isDown = true
    reopenLater()
    const lost = [...pending.values()]
    pending.clear()
    for (const { isSent, settle } of lost) settle(failure(isSent ? 'lost' : 'unsent', address))
  }

  /** Reconnects in the background, so that no request has to wait for it. */
  const reopenLater = () => {
    clearTimeout(reopenTimer)
    if (isClosed || performance.now() - lastUsedMs > unusedCloseMs) return
    reopenTimer = setTimeout(() => { if (stream === undefined) open() }, reopenMs)
  }

  const send = (number: number, waiting: Pending) => {
    waiting.isSent = true
    stream?.write({ number, ...waiting.question })
  }

  const receive = (reply: RelayMessages.RelayReply__Output) => {
    lastHeardMs = performance.now()
    pingedMs = undefined
    if (reply.pong) isPeerReady = reply.pong.ready
    if (!isEstablished) {
      isEstablished = true
      isDown = false
      for (const [number, waiting] of pending) send(number, waiting)
    }
    const waiting = pending.get(reply.number)
    pending.delete(reply.number)
    waiting?.settle(Ok(reply))
  }

  const ping = () => {
    pingedMs ??= performance.now()
    stream?.write({ number: 0, ping: {} })
  }

  const tick = (idlePingMs: number) => {
    if (stream === undefined) return
    const nowMs = performance.now()
    if (nowMs - lastTickMs > lateTickMs && pingedMs !== undefined) pingedMs = nowMs
    lastTickMs = nowMs
    if (pingedMs !== undefined && nowMs - pingedMs > silenceMs) return goDown('silent')
    if (nowMs - lastUsedMs > unusedCloseMs && pending.size === 0) return tearDown()
    const quietMs = nowMs - lastHeardMs
    if (quietMs >= (pending.size > 0 ? tickMs : idlePingMs)) ping()
  }

  const open = () => {
    service = connectGrpc(relayProto.Relay, address, channels)
    const opened: Stream = service.Exchange()
    stream = opened
    lastHeardMs = performance.now()
    lastTickMs = lastHeardMs
    pingedMs = undefined
    opened.on('data', reply => { if (opened === stream) receive(reply) })
    opened.on('error', error => { if (opened === stream) goDown(error.message) })
    opened.on('end', () => { if (opened === stream) goDown('ended') })
    ping()
  }

  const ask = (question: RelayQuestion, timeoutMs: number) =>
    new Promise<Result<RelayAnswer, RelayFailure>>(resolve => {
      lastUsedMs = performance.now()
      if (pending.size >= maxPending) return resolve(failure('unsent', address))
      if (stream === undefined) open()
      const number = nextNumber++
      const timer = setTimeout(() => {
        const waiting = pending.get(number)
        pending.delete(number)
        waiting?.settle(failure(waiting.isSent ? 'lost' : 'unsent', address))
      }, timeoutMs)
      const settle = (reply: Result<RelayAnswer, RelayFailure>) => {
        clearTimeout(timer)
        resolve(reply)
      }
      const waiting: Pending = { question, isSent: false, settle }
      pending.set(number, waiting)
      if (isEstablished) send(number, waiting)
    })

  return {
    ask,
    isUsable: () => !isDown,
    isConnected: () => {
      lastUsedMs = performance.now()
      if (stream === undefined && !isDown) open()
      return isEstablished
    },
    isPeerReady: () => isEstablished && isPeerReady,
    tick,
    close: () => {
      isClosed = true
      clearTimeout(reopenTimer)
      goDown('closed')
    }
  }
}
