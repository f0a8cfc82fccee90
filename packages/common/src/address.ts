/**
 * Network addresses, written HOST:PORT.
 */

const maxPort = 65_535

/** Splits HOST:PORT. Port 0 stands for any free port. */
export const splitAddress = (address: string): { host: string, port: number } => {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}

/** True if the text is HOST:PORT with a port that can be connected to. */
export const isHostAndPort = (address: string): boolean => {
  if (!/^[\w.:[\]-]+:\d{1,5}$/.test(address)) return false
  const { port } = splitAddress(address)
  return port >= 1 && port <= maxPort
}
