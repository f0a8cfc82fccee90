/**
 * Loopback addresses of a run. Each process gets an address of its own, as each machine has one, so that the ports of
 * the deploy file and of the settings are free.
 */
import { createServer } from 'node:net'
import { randomInt } from 'node:crypto'

const maxHost = 250

const canListen = host => new Promise(resolve => {
  const server = createServer()
  server.once('error', () => resolve(false))
  server.listen(9464, host, () => server.close(() => resolve(true)))
})

/** Returns a function that gives a new address in 127.0.0.0/8 at each call. */
export const allocateAddresses = async () => {
  for (;;) {
    const net = `127.${randomInt(20, 250)}.${randomInt(1, 250)}`
    if (!await canListen(`${net}.1`)) continue
    let last = 0
    return () => {
      if (last >= maxHost) throw new Error('no more addresses')
      return `${net}.${++last}`
    }
  }
}
