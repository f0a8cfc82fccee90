/**
 * Cache of clients by remote address. When it is full, the least recently used client is closed.
 */

/** Maximum number of open clients. */
const maxClients = 2_000

/** Cache of clients by HOST:PORT. */
export type ClientCache<Client> = {
  get: (address: string) => Client
  close: () => void
}

/** Creates an empty cache; `connect` creates the client of an address. */
export const createClientCache = <Client extends { close: () => void }>(
  connect: (address: string) => Client
): ClientCache<Client> => {
  const clients = new Map<string, Client>()

  const closeOldest = () => {
    const oldest = clients.entries().next()
    if (oldest.done) return
    const [address, client] = oldest.value
    clients.delete(address)
    client.close()
  }

  const get = (address: string): Client => {
    const client = clients.get(address) ?? connect(address)
    clients.delete(address)
    clients.set(address, client)
    if (clients.size > maxClients) closeOldest()
    return client
  }

  const close = () => {
    for (const client of clients.values()) client.close()
    clients.clear()
  }
  return { get, close }
}
