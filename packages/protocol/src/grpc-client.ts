/**
 * gRPC clients: one channel per remote address, and unary calls with a deadline that return a `Result`.
 */
import { Metadata, status } from '@grpc/grpc-js'
import type { CallOptions, ChannelCredentials, ClientOptions, ServiceError } from '@grpc/grpc-js'
import { Err, Ok, typedError } from '@egretyoke/common'
import type { Result, TypedError } from '@egretyoke/common'
import { clientCredentials } from './tls.js'
import type { ChannelSettings } from './tls.js'

type ClientConstructor<Client> =
  new (address: string, credentials: ChannelCredentials, options?: Partial<ClientOptions>) => Client

/** Reconnects quickly, because the system's own processes restart within a short time. */
const clientOptions: Partial<ClientOptions> = {
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_http_proxy': 0
}

/** Creates a client of a service at HOST:PORT. */
export const connectGrpc = <Client>(
  Constructor: ClientConstructor<Client>,
  address: string,
  channels: ChannelSettings,
  options: Partial<ClientOptions> = {}
): Client => new Constructor(address, clientCredentials(address, channels), { ...clientOptions, ...options })

/** Failure of a call. All kinds, also `unavailable`, may mean that the server has run it; see `callUnary`. */
export type CallFailure = TypedError<'unavailable' | 'timeout' | 'callFailed'>

type Callback<Reply> = (error: ServiceError | null, reply?: Reply) => void

/** The shortest overload of a generated method, which type inference selects. */
type UnaryMethod<Request, Reply> = (request: Request, callback: Callback<Reply>) => unknown

type UnaryMethodWithOptions<Request, Reply> =
  (request: Request, metadata: Metadata, options: CallOptions, callback: Callback<Reply>) => unknown

const toCallFailure = (error: ServiceError): CallFailure => {
  const metadata = { code: error.code ?? status.UNKNOWN }
  if (error.code === status.DEADLINE_EXCEEDED) return typedError('timeout', error.details, metadata)
  if (error.code === status.UNAVAILABLE) return typedError('unavailable', error.details, metadata)
  return typedError('callFailed', error.details ?? error.message, metadata)
}

/**
 * Calls a unary method. No failure proves that the server did not run the call: `unavailable` is also reported when
 * the connection is lost after the server has acted.
 */
export const callUnary = <Request, Reply>(
  client: object,
  method: UnaryMethod<Request, Reply>,
  request: Request,
  timeoutMs: number,
  metadata: Metadata = new Metadata()
): Promise<Result<Reply, CallFailure>> => new Promise(resolve => {
    const start = method as unknown as UnaryMethodWithOptions<Request, Reply>
    start.call(client, request, metadata, { deadline: Date.now() + timeoutMs }, (error, reply) => {
      if (error) return resolve(Err(toCallFailure(error)))
      resolve(Ok(reply as Reply))
    })
  })
