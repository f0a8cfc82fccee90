/**
 * Request/response calls over one long-lived stream, one call at a time. The stream is cancelled after a call that
 * times out, so that a late response cannot be mistaken for the response to the next call.
 */
import type { ClientDuplexStream } from '@grpc/grpc-js'

/** Sends requests over a stream that is opened by the first call. */
export type StreamCaller<Question, Answer> = {
  /** Returns the response; undefined on a timeout, on a lost stream, or while another call is in flight. */
  ask: (question: Question, timeoutMs: number) => Promise<Answer | undefined>
  close: () => void
}

/** Creates a stream caller; `open` opens a new stream. */
export const createStreamCaller = <Question, Answer>(
  open: () => ClientDuplexStream<Question, Answer>
): StreamCaller<Question, Answer> => {
  let stream: ClientDuplexStream<Question, Answer> | undefined
  let settle: ((answer: Answer | undefined) => void) | undefined

  const giveUp = (given: ClientDuplexStream<Question, Answer> | undefined) => {
    if (given !== stream) return
    stream = undefined
    given?.cancel()
    settle?.(undefined)
  }

  const openStream = () => {
    const opened = open()
    opened.on('data', (answer: Answer) => {
      if (opened === stream) settle?.(answer)
    })
    opened.on('error', () => giveUp(opened))
    opened.on('end', () => giveUp(opened))
    return opened
  }

  const ask = (question: Question, timeoutMs: number) => new Promise<Answer | undefined>(resolve => {
    if (settle) return resolve(undefined)
    stream ??= openStream()
    const asked = stream
    const timer = setTimeout(() => giveUp(asked), timeoutMs)
    settle = answer => {
      settle = undefined
      clearTimeout(timer)
      resolve(answer)
    }
    asked.write(question)
  })

  return { ask, close: () => giveUp(stream) }
}
