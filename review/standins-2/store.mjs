/**
 * The platform's metadata store and its failover call over HTTP, as the protocol page describes them. `copy` and
 * `restore` play the drill of the users' seventh letter: the store is away for a moment and comes back from an earlier
 * copy, revisions go back, and the header Store-Era rises by one.
 */
import { createServer } from 'node:http'

const pageSize = 500
const leaseCheckMs = 50
const watchPollMs = 5

const readBody = async request => {
  let text = ''
  for await (const chunk of request) text += chunk
  return text === '' ? {} : JSON.parse(text)
}

/** Starts the store on a free loopback port. `onFailover` gets service and id, and returns whether the id runs. */
export const startStore = async ({ record, onFailover }) => {
  const sockets = new Set()
  const failovers = []
  let state = { items: new Map(), history: [], leases: new Map(), revision: 1, oldestRevision: 0 }
  let lastLease = 100
  let era = 1
  let isAway = false

  const put = (key, value, lease) => {
    const created = state.items.get(key)?.created ?? state.revision
    const item = { key, value, rev: state.revision, created, lease }
    state.items.set(key, item)
    state.history.push(item)
  }

  const remove = key => {
    if (state.items.delete(key)) state.history.push({ key, rev: state.revision, deleted: true })
  }

  const range = query => {
    const prefix = query.get('prefix') ?? ''
    const after = query.get('after') ?? ''
    const found = [...state.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((one, other) => one.key < other.key ? -1 : 1)
    return {
      status: 200,
      body: { items: found.slice(0, pageSize), hasMore: found.length > pageSize, currentRev: state.revision }
    }
  }

  const transact = ({ precondition = [], puts = [], deletes = [] }) => {
    const written = [...puts.map(({ key }) => key), ...deletes]
    if (written.some(key => key.startsWith('op/') || key.startsWith('servers/'))) return { status: 403 }
    const isStale = precondition.some(({ key, rev }) => (state.items.get(key)?.rev ?? 0) !== rev)
    if (isStale) {
      return { status: 412, body: { items: precondition.flatMap(({ key }) => state.items.get(key) ?? []) } }
    }
    if (puts.some(({ lease }) => lease && !state.leases.has(lease))) return { status: 404 }
    state.revision++
    for (const { key, value, lease = 0 } of puts) put(key, value, lease)
    for (const key of deletes) remove(key)
    record('store', `revision ${state.revision} written by the system: ${written.join(' ')}`)
    return { status: 200, body: { rev: state.revision } }
  }

  const watch = async query => {
    const after = Number(query.get('after'))
    const prefix = query.get('prefix') ?? ''
    const watched = state
    const endsAtMs = performance.now() + Number(query.get('waitMs'))
    const isKnown = () => watched === state && after >= state.oldestRevision && after <= state.revision
    const found = () => watched.history.filter(({ key, rev }) => rev > after && key.startsWith(prefix))
    if (!isKnown()) return { status: 410 }
    while (found().length === 0 && performance.now() < endsAtMs) {
      await new Promise(resolve => setTimeout(resolve, watchPollMs))
      if (!isKnown()) return { status: 410 }
    }
    return { status: 200, body: { events: found(), currentRev: state.revision } }
  }

  const grant = ({ ttlMs }) => {
    state.leases.set(++lastLease, { ttlMs, endsAtMs: performance.now() + ttlMs })
    return { status: 200, body: { lease: lastLease, ttlMs } }
  }

  const keep = id => {
    const lease = state.leases.get(id)
    if (lease === undefined) return { status: 404 }
    lease.endsAtMs = performance.now() + lease.ttlMs
    return { status: 200, body: {} }
  }

  const endLease = id => {
    if (!state.leases.delete(id)) return { status: 404 }
    const held = [...state.items.values()].filter(({ lease }) => lease === id)
    if (held.length > 0) state.revision++
    for (const { key } of held) remove(key)
    return { status: 200, body: {} }
  }

  const failover = ({ service, id }, headers) => {
    const call = { service, id, holder: headers['x-duty-holder'], fence: headers['x-fence-token'] }
    const isRunning = onFailover(service, id)
    failovers.push(call)
    record('platform', `failover ${JSON.stringify(call)} ${isRunning ? 'accepted' : 'declined'}`)
    return { status: isRunning ? 200 : 409 }
  }

  const answer = async request => {
    const url = new URL(request.url, 'http://store')
    const body = await readBody(request)
    const id = Number(url.pathname.split('/').at(-1))
    switch (`${request.method} ${url.pathname.replace(/\/\d+$/, '')}`) {
      case 'GET /api/kv-key': {
        const item = state.items.get(url.searchParams.get('key'))
        return item ? { status: 200, body: { ...item, currentRev: state.revision } } : { status: 404 }
      }
      case 'GET /api/kv-range': return range(url.searchParams)
      case 'GET /api/kv-watch': return await watch(url.searchParams)
      case 'POST /api/kv-txn': return transact(body)
      case 'POST /api/kv-lease': return grant(body)
      case 'POST /api/kv-keep': return keep(id)
      case 'DELETE /api/kv-lease-end': return endLease(id)
      case 'POST /failover': return failover(body, request.headers)
      default: return { status: 404 }
    }
  }

  const server = createServer(async (request, response) => {
    const { status, body } = await answer(request)
    response.statusCode = status
    response.setHeader('Store-Era', String(era))
    response.setHeader('content-type', 'application/json')
    response.end(body === undefined ? undefined : JSON.stringify(body))
  })
  server.on('connection', socket => {
    if (isAway) return socket.destroy()
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))

  const leaseTimer = setInterval(() => {
    for (const [id, { endsAtMs }] of state.leases) if (!isAway && endsAtMs < performance.now()) endLease(id)
  }, leaseCheckMs)

  const clone = from => ({
    ...from,
    items: new Map(from.items),
    history: [...from.history],
    leases: new Map([...from.leases].map(([id, lease]) => [id, { ...lease }]))
  })

  return {
    address: `127.0.0.1:${server.address().port}`,
    failovers,
    revision: () => state.revision,
    keys: prefix => [...state.items.keys()].filter(key => key.startsWith(prefix)),
    read: key => {
      const item = state.items.get(key)
      return item && JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'))
    },
    /** Writes an item as the operator or a database does. */
    write: (key, value) => {
      state.revision++
      put(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0)
      record('store', `revision ${state.revision} acknowledged: ${key}`)
      return state.revision
    },
    copy: () => clone(state),
    /** The store goes away; `restore` brings it back. */
    leave: () => {
      isAway = true
      for (const socket of sockets) socket.destroy()
    },
    /** The store is back with the state of the copy. Leases of the copy run for their whole time from now on. */
    restore: copy => {
      state = clone(copy)
      for (const lease of state.leases.values()) lease.endsAtMs = performance.now() + lease.ttlMs
      era++
      isAway = false
    },
    close: () => {
      clearInterval(leaseTimer)
      server.close()
      server.closeAllConnections()
    }
  }
}
