/**
 * The way to one other gateway: one stream on a connection of its own, with requests matched to replies by number.
 * A link that does not answer pings is given up together with its connection, which may have gone silent for good.
 */
import type { ClientDuplexStream } from '@grpc/grpc-js'
import { Err, Ok, typedError } from '@egretyoke/common'
import type { Result } from '@egretyoke/common'
import { connectGrpc, relayProto } from '@egretyoke/protocol'
import type { ChannelSettings, RelayMessages } from '@egretyoke/protocol'
import type { RelayAnswer, RelayFailure, RelayQuestion } from '../coordination/relay-calls.js'

/** A peer that does not answer a ping for longer is taken for unreachable. */
const silenceMs = 500
/** How often a link has to be looked at. While answers are awaited, a silent peer is pinged as often. */
export const tickMs = 200
/** A tick that comes later than this was held up here, and says nothing of the peer. */
const lateTickMs = 2 * tickMs
/** A link that was not used for longer is closed. */
const unusedCloseMs = 15_000
/**
 * A link that failed is opened again after this time, for as long as it was in use, and counts as usable once it is.
 */
const reopenMs = 400
const maxPending = 4096

type Stream = ClientDuplexStream<RelayMessages.RelayRequest, RelayMessages.RelayReply__Output>
type Pending = { question: RelayQuestion, isSent: boolean, settle: (reply: Result<RelayAnswer, RelayFailure>) => void }

/** A link to one address. */
export type RelayLink = {
  ask: (question: RelayQuestion, timeoutMs: number) => Promise<Result<RelayAnswer, RelayFailure>>
  isUsable: () => boolean
  /** Whether the peer has answered; opens the link if need be. */
  isConnected: () => boolean
  /** Whether the peer has just said that it takes new sessions. */
  isPeerReady: () => boolean
  /** Pings a peer that is silent, or gives the link up; to be called every `tickMs`. */
  tick: (idlePingMs: number) => void
  close: () => void
}

const failure = (reason: 'unsent' | 'lost', address: string) =>
  Err(typedError(reason, `Gateway ${address} did not answer.`, { address }))

/** Creates a link; it connects when it is first used. `onDown` hears of each loss, with the reason. */
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
  /** When the first ping was sent that nothing was heard after; undefined when something was. */
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

  /** Tries the peer again without a request that would have to wait for it. */
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

  /** A peer of whom nothing is awaited is pinged after `idlePingMs`. */
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
