/**
 * A TCP relay inside the test process that counts forwarded bytes, for measuring control traffic.
 */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { splitAddress } from '@egretyoke/common'

/** A running relay. */
export type CountingRelay = {
  address: string
  /** Total bytes forwarded so far, in both directions. */
  bytes: () => number
  close: () => void
}

/** Starts a relay on a free loopback port to the target HOST:PORT. */
export const startCountingRelay = async (target: string): Promise<CountingRelay> => {
  const { host, port } = splitAddress(target)
  const sockets = new Set<Socket>()
  let bytes = 0

  const forward = (from: Socket, to: Socket) => {
    sockets.add(from)
    from.setNoDelay(true)
    from.on('data', chunk => {
      bytes += chunk.length
    })
    from.on('error', () => from.destroy())
    from.once('close', () => {
      sockets.delete(from)
      to.destroy()
    })
    from.pipe(to)
  }

  const server = createServer(incoming => {
    const outgoing = connect(port, host)
    forward(incoming, outgoing)
    forward(outgoing, incoming)
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, '127.0.0.1', resolve)
  })
  const close = () => {
    server.close()
    for (const socket of sockets) socket.destroy()
  }
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, bytes: () => bytes, close }
}
