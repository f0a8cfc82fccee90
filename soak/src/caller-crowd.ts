/**
 * Crowds of callers that do not behave: they send bytes as given, and read answers only when told to.
 */
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'

/** Connections of a crowd. */
export type CallerCrowd = {
  sockets: readonly Socket[]
  /** Number of connections that the gateway has not closed; a closed one is noticed only while it is read. */
  openCount: () => number
  /** Starts to read what the gateway sent. */
  read: () => void
  close: () => void
}

const isOpen = (socket: Socket) => !socket.destroyed && !socket.readableEnded

/** Opens connections one after another, and writes the bytes on each. They read nothing until told to. */
export const startCrowd = async (port: number, count: number, bytes: string | Buffer = ''): Promise<CallerCrowd> => {
  const sockets: Socket[] = []
  for (let index = 0; index < count; index++) {
    const socket = connect({ host: '127.0.0.1', port, noDelay: true })
    socket.on('error', () => socket.destroy())
    sockets.push(socket)
    await Promise.race([once(socket, 'connect'), once(socket, 'close')])
    socket.pause()
    if (bytes.length > 0) socket.write(bytes)
  }
  return {
    sockets,
    openCount: () => sockets.filter(isOpen).length,
    read: () => { for (const socket of sockets) socket.resume() },
    close: () => { for (const socket of sockets) socket.resetAndDestroy() }
  }
}
