/**
 * A TCP relay that can cut, delay or freeze the connections through it.
 */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { pipeline, Transform } from 'node:stream'
import type { sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js'
import { sleepMs, splitAddress } from '@egretyoke/common'
import { listenGrpc, loopbackChannels, standinProto } from '@egretyoke/protocol'
import type { StandinMessages } from '@egretyoke/protocol'

type Fault = StandinMessages.LinkFault__Output

const frozenPollMs = 20
const maxRelayedConnections = 20_000

/** A running relay. */
export type Link = {
  address: string
  controlAddress: string
  setFault: (fault: Partial<Fault>) => void
  close: () => Promise<void>
}

/** Options of a relay; all addresses are HOST:PORT. */
export type LinkOptions = { listen: string, control: string, target: string, delayMs: number }

/** Starts a relay; resolves when it listens. */
export const startLink = async (options: LinkOptions): Promise<Link> => {
  let fault: Fault = { cut: false, frozen: false, delayMs: options.delayMs }
  const sockets = new Set<Socket>()

  /** Forwards chunks in order, each after the current delay. */
  const relay = () => new Transform({
    async transform (chunk, _encoding, done) {
      const dueMs = performance.now() + fault.delayMs
      while (fault.frozen && !this.destroyed) await sleepMs(frozenPollMs)
      const waitMs = dueMs - performance.now()
      if (waitMs > 0) await sleepMs(waitMs)
      done(null, chunk)
    }
  })

  const track = (socket: Socket) => {
    sockets.add(socket)
    socket.setNoDelay(true)
    socket.once('close', () => sockets.delete(socket))
    socket.on('error', () => socket.destroy())
  }

  const server = createServer(incoming => {
    track(incoming)
    if (fault.cut || sockets.size > maxRelayedConnections) return incoming.destroy()
    const { host, port } = splitAddress(options.target)
    const outgoing = connect(port, host)
    track(outgoing)
    const destroyBoth = () => {
      incoming.destroy()
      outgoing.destroy()
    }
    pipeline(incoming, relay(), outgoing, destroyBoth)
    pipeline(outgoing, relay(), incoming, destroyBoth)
  })

  const setFault = (change: Partial<Fault>) => {
    fault = { ...fault, ...change }
    if (!fault.cut) return
    for (const socket of sockets) socket.destroy()
  }

  const control = await listenGrpc(options.control, { channels: loopbackChannels }, grpcServer => {
    grpcServer.addService(standinProto.LinkControl.service, {
      SetLinkFault: (call: ServerUnaryCall<Fault, object>, done: sendUnaryData<object>) => {
        setFault(call.request)
        done(null, {})
      }
    })
  })
  const { host, port } = splitAddress(options.listen)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  const close = async () => {
    for (const socket of sockets) socket.destroy()
    await new Promise<void>(resolve => server.close(() => resolve()))
    await control.close()
  }
  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
    controlAddress: control.address,
    setFault,
    close
  }
}
