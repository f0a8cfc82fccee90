/**
 * Request/response calls over one long-lived stream, one call at a time. The stream is cancelled after a call that
 * times out, so that a late response cannot be mistaken for the response to the next call.
 */
import type { ClientDuplexStream } from '@grpc/grpc-js'

/** Sends requests over a stream that is opened by the first call. */
export type StreamCaller<Request, Response> = {
  /** Returns the response; undefined on a timeout, on a lost stream, or while another call is in flight. */
  call: (request: Request, timeoutMs: number) => Promise<Response | undefined>
  close: () => void
}

/** Creates a stream caller; `open` opens a new stream. */
export const createStreamCaller = <Request, Response>(
  open: () => ClientDuplexStream<Request, Response>
): StreamCaller<Request, Response> => {
  let stream: ClientDuplexStream<Request, Response> | undefined
  let resolvePending: ((response: Response | undefined) => void) | undefined

  const discardStream = (discarded: ClientDuplexStream<Request, Response> | undefined) => {
    if (discarded !== stream) return
    stream = undefined
    discarded?.cancel()
    resolvePending?.(undefined)
  }

  const openStream = () => {
    const opened = open()
    opened.on('data', (response: Response) => {
      if (opened === stream) resolvePending?.(response)
    })
    opened.on('error', () => discardStream(opened))
    opened.on('end', () => discardStream(opened))
    return opened
  }

  const call = (request: Request, timeoutMs: number) => new Promise<Response | undefined>(resolve => {
    if (resolvePending) return resolve(undefined)
    stream ??= openStream()
    const current = stream
    const timer = setTimeout(() => discardStream(current), timeoutMs)
    resolvePending = response => {
      resolvePending = undefined
      clearTimeout(timer)
      resolve(response)
    }
    current.write(request)
  })

  return { call, close: () => discardStream(stream) }
}
