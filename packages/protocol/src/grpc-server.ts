/**
 * gRPC listeners, bound to HOST:PORT, with a limit on message sizes.
 */
import { Server } from '@grpc/grpc-js'
import type { ServerOptions } from '@grpc/grpc-js'
import { splitAddress } from '@egretyoke/common'
import { serverCredentials } from './tls.js'
import type { Audience, ChannelSettings } from './tls.js'

/** Largest message accepted by default, in bytes. */
export const defaultMaxMessageBytes = 4 * 1024 * 1024

/** A bound listener. */
export type GrpcListener = {
  /** HOST:PORT that the listener is bound to, with the actual port. */
  address: string
  server: Server
  /** Waits at most `graceMs` for open calls to end, then cancels the remaining ones. */
  close: (graceMs?: number) => Promise<void>
}

/** Options of a listener. */
export type GrpcListenerOptions = {
  channels: ChannelSettings
  /** Clients that may connect; `peers` by default. */
  audience?: Audience
  maxMessageBytes?: number
  serverOptions?: ServerOptions
}

const shutDown = async (server: Server, graceMs: number): Promise<void> => {
  let timer: NodeJS.Timeout | undefined
  const callsEnded = new Promise<void>(resolve => server.tryShutdown(() => resolve()))
  const graceExpired = new Promise<void>(resolve => {
    timer = setTimeout(resolve, graceMs)
  })
  await Promise.race([callsEnded, graceExpired])
  clearTimeout(timer)
  server.forceShutdown()
}

/** Binds a listener to which `addServices` has added the services. Rejects when the address is in use. */
export const listenGrpc = async (
  address: string,
  options: GrpcListenerOptions,
  addServices: (server: Server) => void
): Promise<GrpcListener> => {
  const server = new Server({
    'grpc.max_receive_message_length': options.maxMessageBytes ?? defaultMaxMessageBytes,
    ...options.serverOptions
  })
  addServices(server)
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(address, serverCredentials(address, options.channels, options.audience), (error, bound) => {
      if (error) return reject(error)
      resolve(bound)
    })
  })
  const { host } = splitAddress(address)
  return { address: `${host}:${port}`, server, close: (graceMs = 0) => shutDown(server, graceMs) }
}
