/**
 * gRPC service for callers: single statements, streamed answers and interactive transactions.
 */
import { once } from 'node:events'
import { status } from '@grpc/grpc-js'
import type {
  sendUnaryData, Server, ServerDuplexStream, ServerUnaryCall, ServerWritableStream
} from '@grpc/grpc-js'
import { messageOf, sleepMs } from '@egretyoke/common'
import { callerProto } from '@egretyoke/protocol'
import type { CallerMessages } from '@egretyoke/protocol'
import type { CallerRequest } from '../coordination/caller-request.js'
import type { EntryContext } from '../coordination/entry-context.js'
import { runStatement } from '../coordination/statement-runner.js'
import { runTransaction } from '../coordination/transaction-runner.js'
import { encodeAnswer } from '../protocol/answers.js'
import { readCallerMetadata } from '../protocol/caller-metadata.js'
import { readTransactionSteps } from '../protocol/transaction-steps.js'
import { failed, notRun } from '../state/outcome.js'
import type { Outcome, RequestResult } from '../state/outcome.js'

type Statement = CallerMessages.Statement__Output
type ExecuteCall = ServerUnaryCall<Statement, CallerMessages.Answer>
type StreamCall = ServerWritableStream<Statement, CallerMessages.StreamPart>
type TransactCall = ServerDuplexStream<CallerMessages.TransactionStep__Output, CallerMessages.TransactionAnswer>

/** The callers' service, with the number of its open calls. */
export type CallerService = {
  add: (server: Server) => void
  openCalls: () => number
}

/** Creates the callers' service. */
export const createCallerService = (context: EntryContext): CallerService => {
  const { limits } = context
  let openCalls = 0
  let openTransactions = 0

  const refusedResult = (request: CallerRequest, outcome: Outcome): RequestResult =>
    ({ outcome, session: request.session, endpoint: '', fromReplica: false })

  /** Checks limits and statement size before admission. Returns the refusal, or undefined if the call may proceed. */
  const limitRefusal = (text: Buffer): Outcome | undefined => {
    if (openCalls > limits.maxOpenCalls) return notRun('concurrency')
    if (text.length > limits.maxStatementBytes) return notRun('statementTooLarge')
    if (text.length === 0) return notRun('invalidRequest')
    return undefined
  }

  const execute = async (call: ExecuteCall, callback: sendUnaryData<CallerMessages.Answer>) => {
    openCalls++
    try {
      const request = readCallerMetadata(call.metadata)
      const refusal = limitRefusal(call.request.text)
      const result = refusal
        ? refusedResult(request, refusal)
        : await runStatement(context, {
          request, text: call.request.text, onRows: undefined, isCancelled: () => call.cancelled
        })
      callback(null, encodeAnswer(result))
    } catch (thrown) {
      callback({ code: status.INTERNAL, details: messageOf(thrown) })
    } finally {
      openCalls--
    }
  }

  /** Sends rows to the caller. Resolves to false if the call was cancelled or the caller read nothing for too long. */
  const sendRows = async (call: StreamCall, rows: Buffer): Promise<boolean> => {
    if (call.cancelled) return false
    if (call.write({ chunk: rows })) return true
    const stop = new AbortController()
    const drained = once(call, 'drain', { signal: stop.signal }).then(() => true, () => false)
    const timedOut = sleepMs(limits.slowReaderMs, stop.signal).then(() => false)
    const isAccepted = await Promise.race([drained, timedOut])
    stop.abort()
    return isAccepted && !call.cancelled
  }

  const stream = async (call: StreamCall) => {
    openCalls++
    try {
      const request = readCallerMetadata(call.metadata)
      const refusal = limitRefusal(call.request.text)
      let isAbandoned = false
      const onRows = async (rows: Buffer) => {
        const isAccepted = await sendRows(call, rows)
        isAbandoned ||= !isAccepted
        return isAccepted
      }
      const result = refusal
        ? refusedResult(request, refusal)
        : await runStatement(context, {
          request, text: call.request.text, onRows, isCancelled: () => call.cancelled || isAbandoned
        })
      const finalResult = isAbandoned
        ? { ...result, outcome: failed('slowReader', 'rows were not taken in time') }
        : result
      if (!call.cancelled) call.write({ end: encodeAnswer(finalResult) })
    } catch (thrown) {
      call.emit('error', { code: status.INTERNAL, details: messageOf(thrown) })
    } finally {
      openCalls--
      call.end()
    }
  }

  const transact = async (call: TransactCall) => {
    const request = readCallerMetadata(call.metadata)
    openCalls++
    openTransactions++
    try {
      if (openTransactions > limits.maxOpenTransactions || openCalls > limits.maxOpenCalls) {
        call.write({ stepId: 0, answer: encodeAnswer(refusedResult(request, notRun('tooManyTransactions'))) })
        return
      }
      const steps = readTransactionSteps(call, limits)
      for await (const { stepId, result } of runTransaction(context, request, steps, () => call.cancelled)) {
        if (!call.cancelled) call.write({ stepId, answer: encodeAnswer(result) })
      }
    } catch (thrown) {
      call.emit('error', { code: status.INTERNAL, details: messageOf(thrown) })
    } finally {
      openCalls--
      openTransactions--
      call.end()
    }
  }

  const add = (server: Server) => {
    server.addService(callerProto.Caller.service, { Execute: execute, Stream: stream, Transact: transact })
  }

  return { add, openCalls: () => openCalls }
}
