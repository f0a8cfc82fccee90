/**
 * A network path to a database whose packets may be late, as after a loss: the packet is sent again after the
 * retransmission time-out of TCP, which doubles at each loss. Bytes of a connection stay in order.
 */
import { connect, createServer } from 'node:net'

const firstTimeoutMs = 200

/** Delay of a packet that is lost `losses` times in a row: 200 ms for one, 600 ms for two. */
export const retransmissionMs = losses => firstTimeoutMs * (2 ** losses - 1)

/**
 * Starts a path that listens on `host` and `port`. `lossesOf(text, connection)` gets each packet of either direction
 * and its connection, with the first line that was sent on it, and returns how often the packet is lost.
 */
export const startSlowPath = async (host, port, target, lossesOf) => {
  const [targetHost, targetPort] = target.split(':')
  const sockets = new Set()
  const server = createServer(incoming => {
    const outgoing = connect({ host: targetHost, port: Number(targetPort), noDelay: true })
    const connection = { start: '' }
    const forward = (from, to) => {
      let last = Promise.resolve()
      from.on('data', chunk => {
        connection.start ||= chunk.toString().split('\r\n')[0]
        const lateMs = retransmissionMs(lossesOf(chunk.toString(), connection))
        const arrival = new Promise(resolve => setTimeout(resolve, lateMs))
        last = last.then(() => arrival).then(() => { if (!to.destroyed) to.write(chunk) })
      })
    }
    incoming.setNoDelay(true)
    for (const socket of [incoming, outgoing]) {
      sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => {
        sockets.delete(socket)
        incoming.destroy()
        outgoing.destroy()
      })
    }
    forward(incoming, outgoing)
    forward(outgoing, incoming)
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return {
    address: `${host}:${port}`,
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
