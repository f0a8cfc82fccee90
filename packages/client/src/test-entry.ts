/**
 * An entry in the test process that answers with handlers of the test.
 */
import { status } from '@grpc/grpc-js'
import type { sendUnaryData, ServerDuplexStream, ServerUnaryCall, ServerWritableStream } from '@grpc/grpc-js'
import type { ExecutionContext } from 'ava'
import { callerProto, listenGrpc, loopbackChannels } from '@egretyoke/protocol'
import type { CallerMessages } from '@egretyoke/protocol'
import { connectCaller } from './index.js'
import type { CallerOptions } from './index.js'

export type Answer = CallerMessages.Answer
export type StreamCall = ServerWritableStream<CallerMessages.Statement__Output, CallerMessages.StreamPart>
export type TransactCall = ServerDuplexStream<CallerMessages.TransactionStep__Output, CallerMessages.TransactionAnswer>
type ReceivedRequest = { text: string, headers: Record<string, unknown> }

/** Handlers of the calls. `execute` returns undefined to end its call with UNAVAILABLE. */
type CallHandlers = {
  execute?: (received: ReceivedRequest, count: number) => Promise<Answer | undefined> | Answer | undefined
  stream?: (call: StreamCall) => void
  transact?: (call: TransactCall, step: CallerMessages.TransactionStep__Output) => void
}

export const done = (result: string, rest: Answer = {}): Answer => ({ done: { result: Buffer.from(result) }, ...rest })

export const startEntry = async (t: ExecutionContext, handlers: CallHandlers) => {
  const requests: ReceivedRequest[] = []
  const listener = await listenGrpc('127.0.0.1:0', { channels: loopbackChannels }, server => {
    server.addService(callerProto.Caller.service, {
      Execute: async (
        call: ServerUnaryCall<CallerMessages.Statement__Output, Answer>,
        reply: sendUnaryData<Answer>
      ) => {
        const request = { text: call.request.text.toString(), headers: call.metadata.getMap() }
        requests.push(request)
        const answer = await handlers.execute?.(request, requests.length)
        if (answer) reply(null, answer)
        else reply({ code: status.UNAVAILABLE, details: 'broken off' })
      },
      Stream: (call: StreamCall) => {
        requests.push({ text: call.request.text.toString(), headers: call.metadata.getMap() })
        handlers.stream?.(call)
      },
      Transact: (call: TransactCall) => {
        requests.push({ text: '', headers: call.metadata.getMap() })
        call.on('error', () => {})
        call.on('data', step => handlers.transact?.(call, step))
      }
    })
  })
  t.teardown(() => listener.close())
  return { address: listener.address, requests, close: listener.close }
}

export const connect = (t: ExecutionContext, addresses: string[], options: Partial<CallerOptions> = {}) => {
  const caller = connectCaller({ addresses, key: 'ek_x', timeoutMs: 5000, ...options })
  t.teardown(caller.close)
  return caller
}
