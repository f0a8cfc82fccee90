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

/** A peer that is silent for longer is taken for unreachable. */
const silenceMs = 900
const pingIntervalMs = 300
/** A link that was not used for longer is closed. */
const unusedCloseMs = 15_000
/** How long a link that failed is not tried again, unless there is no other way. */
const restMs = 500
const maxPending = 4096

type Stream = ClientDuplexStream<RelayMessages.RelayRequest, RelayMessages.RelayReply__Output>
type Pending = { question: RelayQuestion, isSent: boolean, settle: (reply: Result<RelayAnswer, RelayFailure>) => void }

/** A link to one address. */
export type RelayLink = {
  ask: (question: RelayQuestion, timeoutMs: number) => Promise<Result<RelayAnswer, RelayFailure>>
  isUsable: () => boolean
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
  let lastHeardMs = 0
  let lastUsedMs = 0
  let downSinceMs = -Infinity
  let nextNumber = 1
  let pingTimer: NodeJS.Timeout | undefined
  const pending = new Map<number, Pending>()

  const tearDown = () => {
    clearInterval(pingTimer)
    stream?.cancel()
    service?.close()
    stream = undefined
    service = undefined
    isEstablished = false
  }

  const goDown = (reason: string) => {
    if (stream === undefined) return
    tearDown()
    downSinceMs = performance.now()
    onDown(reason)
    const lost = [...pending.values()]
    pending.clear()
    for (const { isSent, settle } of lost) settle(failure(isSent ? 'lost' : 'unsent', address))
  }

  const send = (number: number, waiting: Pending) => {
    waiting.isSent = true
    stream?.write({ number, ...waiting.question })
  }

  const receive = (reply: RelayMessages.RelayReply__Output) => {
    lastHeardMs = performance.now()
    if (!isEstablished) {
      isEstablished = true
      downSinceMs = -Infinity
      for (const [number, waiting] of pending) send(number, waiting)
    }
    const waiting = pending.get(reply.number)
    pending.delete(reply.number)
    waiting?.settle(Ok(reply))
  }

  const tick = () => {
    const nowMs = performance.now()
    if (nowMs - lastHeardMs > silenceMs) return goDown('silent')
    if (nowMs - lastUsedMs > unusedCloseMs && pending.size === 0) return tearDown()
    stream?.write({ number: 0, ping: {} })
  }

  const open = () => {
    service = connectGrpc(relayProto.Relay, address, channels)
    const opened: Stream = service.Exchange()
    stream = opened
    lastHeardMs = performance.now()
    opened.on('data', reply => { if (opened === stream) receive(reply) })
    opened.on('error', error => { if (opened === stream) goDown(error.message) })
    opened.on('end', () => { if (opened === stream) goDown('ended') })
    opened.write({ number: 0, ping: {} })
    pingTimer = setInterval(tick, pingIntervalMs)
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
    isUsable: () => performance.now() - downSinceMs > restMs,
    close: () => goDown('closed')
  }
}
