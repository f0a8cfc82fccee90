/**
 * One database connection over the endpoint's published protocol. One request is in flight at a time; replies and
 * chunks that do not belong to it are dropped and counted. A missing chunk closes the connection as lost.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import type { Result, TypedError } from '@egretyoke/common'
import { connectGrpc, endpointProto } from '@egretyoke/protocol'
import type { ChannelSettings, EndpointMessages } from '@egretyoke/protocol'

type Reply = EndpointMessages.Reply__Output
type WireRequest = EndpointMessages.Request

/** How a write is confirmed: once the primary has it, or once a majority of the group has it. */
export type Confirmation = 'primary' | 'majority'

/** One request on a connection. */
export type EndpointRequest =
  | {
    kind: 'execute'
    statement: Buffer
    writes: boolean
    expectedTerm: number
    confirmation: Confirmation
    timeoutMs: number
    streamed: boolean
  }
  | { kind: 'begin', expectedTerm: number }
  | { kind: 'commit', confirmation: Confirmation, timeoutMs: number }
  | { kind: 'rollback' }

/** `declined`: not run. `unconfirmed`: in the log, but not known to have the requested confirmation. */
export type EndpointVerdict = 'done' | 'declined' | 'failed' | 'unconfirmed'

/** The complete response to one request. */
export type EndpointResponse = {
  verdict: EndpointVerdict
  reason: string
  result: Buffer
  /** Term and position of the data that was read or written. */
  term: number
  position: number
  fromPrimary: boolean
  retryAfterMs: number
}

/** One chunk of a streamed response. */
export type EndpointRows = { rows: Buffer, term: number, position: number }

/**
 * `notSent`: the request did not reach the endpoint. The metadata has `refused` if the endpoint refused the connection.
 * `lost` and `timeout`: the request may have run.
 */
export type ConnectionError = TypedError<'notSent' | 'lost' | 'timeout'>

/** Consumes the rows of a chunk. Resolving with false abandons the response and closes the connection. */
export type OnRows = (rows: EndpointRows) => Promise<boolean>

/** An open connection. After `lost` or `timeout` it is closed, because its state is unknown. */
export type EndpointConnection = {
  generation: number
  isUsable: () => boolean
  run: (
    action: EndpointRequest,
    timeoutMs: number,
    onRows?: OnRows
  ) => Promise<Result<EndpointResponse, ConnectionError>>
  close: () => void
}

/** Opens connections to one endpoint. */
export type EndpointConnector = {
  open: (timeoutMs: number) => Promise<Result<EndpointConnection, ConnectionError>>
  /** Returns the number of replies and chunks dropped because they matched no request in flight. */
  strayReplies: () => number
  close: () => void
}

/** Maximum size of a reply message, in bytes. */
export const maxReplyBytes = 4 * 1024 * 1024

const verdicts = { DONE: 'done', DECLINED: 'declined', FAILED: 'failed', UNCONFIRMED: 'unconfirmed' } as const
const confirmations = { primary: 'PRIMARY', majority: 'MAJORITY' } as const

const toWire = (action: EndpointRequest): Partial<WireRequest> => {
  if (action.kind === 'execute') return { execute: { ...action, confirmation: confirmations[action.confirmation] } }
  if (action.kind === 'begin') return { begin: { expectedTerm: action.expectedTerm } }
  if (action.kind === 'commit') {
    return { commit: { confirmation: confirmations[action.confirmation], timeoutMs: action.timeoutMs } }
  }
  return { rollback: {} }
}

const responseFromEnd = (end: EndpointMessages.End__Output): EndpointResponse =>
  ({ ...end, verdict: verdicts[end.verdict] })

type PendingRequest = {
  requestId: number
  onRows: OnRows | undefined
  /** Chunks received so far. */
  chunkCount: number
  settle: (result: Result<EndpointResponse, ConnectionError>) => void
}

type ConnectorOptions = { address: string, group: string, channels: ChannelSettings }

/** Creates a connector to the endpoint of a group at HOST:PORT. */
export const createEndpointConnector = (options: ConnectorOptions): EndpointConnector => {
  const client = connectGrpc(endpointProto.Endpoint, options.address, options.channels, {
    'grpc.max_receive_message_length': maxReplyBytes
  })
  let lastGeneration = 0
  let strayReplies = 0

  const startConnection = () => {
    const generation = ++lastGeneration
    const call = client.Connect()
    let isOpen = true
    let lastRequestId = 0
    let pending: PendingRequest | undefined

    const settle = (result: Result<EndpointResponse, ConnectionError>) => {
      const settled = pending
      pending = undefined
      settled?.settle(result)
    }

    const abort = (reason: 'lost' | 'timeout', message: string) => {
      if (!isOpen) return
      isOpen = false
      call.cancel()
      settle(Err(typedError(reason, message, { generation })))
    }

    const deliverRows = async (chunk: EndpointMessages.Chunk__Output, onRows: OnRows) => {
      call.pause()
      const shouldContinue = await onRows(chunk)
      if (!shouldContinue) return abort('lost', 'response abandoned by the reader')
      call.resume()
    }

    const handleEnd = (end: EndpointMessages.End__Output, request: PendingRequest) => {
      if (end.chunkCount !== request.chunkCount) return abort('lost', 'the response is incomplete')
      settle(Ok(responseFromEnd(end)))
    }

    const handleChunk = (chunk: EndpointMessages.Chunk__Output, request: PendingRequest) => {
      if (chunk.index < request.chunkCount) {
        strayReplies++
        return
      }
      if (chunk.index > request.chunkCount) return abort('lost', 'a chunk is missing')
      request.chunkCount++
      if (request.onRows) deliverRows(chunk, request.onRows)
    }

    call.on('data', (reply: Reply) => {
      if (!pending || reply.requestId !== pending.requestId || reply.generation !== generation) {
        strayReplies++
        return
      }
      if (reply.end) return handleEnd(reply.end, pending)
      if (reply.chunk) handleChunk(reply.chunk, pending)
    })
    call.on('error', error => abort('lost', error.message))
    call.on('end', () => abort('lost', 'stream ended by the endpoint'))

    const send = (
      request: Partial<WireRequest>,
      timeoutMs: number,
      onRows?: OnRows
    ): Promise<Result<EndpointResponse, ConnectionError>> => new Promise(resolve => {
      if (!isOpen || pending) {
        return resolve(Err(typedError('notSent', isOpen ? 'another request is in flight' : 'closed', { generation })))
      }
      const requestId = ++lastRequestId
      const timer = setTimeout(() => abort('timeout', `no reply within ${timeoutMs} ms`), timeoutMs)
      const finish = (result: Result<EndpointResponse, ConnectionError>) => {
        clearTimeout(timer)
        resolve(result)
      }
      pending = { requestId, onRows, chunkCount: 0, settle: finish }
      call.write({ requestId, generation, ...request })
    })

    const connection: EndpointConnection = {
      generation,
      isUsable: () => isOpen && !pending,
      run: (action, timeoutMs, onRows) => send(toWire(action), timeoutMs, onRows),
      close: () => abort('lost', 'closed')
    }
    return { connection, send }
  }

  const open = async (timeoutMs: number): Promise<Result<EndpointConnection, ConnectionError>> => {
    const { connection, send } = startConnection()
    const opened = await send({ open: { group: options.group } }, timeoutMs)
    if (!opened.ok) return Err(typedError('notSent', opened.val.message, opened.val.metadata))
    if (opened.val.verdict === 'done') return Ok(connection)
    connection.close()
    return Err(typedError('notSent', opened.val.reason, { refused: true }))
  }

  return { open, strayReplies: () => strayReplies, close: () => client.close() }
}
