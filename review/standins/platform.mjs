/**
 * The platform: its store (items, watches, leases, conditional writes) and the failover call, over HTTP as the users'
 * pages describe them. The fence of a failover call is not checked (`requireFencing` is false).
 */
import { createServer } from 'node:http'

const pageItems = 500
const leaseCheckMs = 20
/** Connections stay open between calls, as on most HTTP servers. */
const keepAliveMs = 75_000

const readBody = async request => {
  let text = ''
  for await (const chunk of request) text += chunk
  return text === '' ? {} : JSON.parse(text)
}

const listen = async (handle, host, port) => {
  const server = createServer({ keepAliveTimeout: keepAliveMs }, async (request, response) => {
    const { status, body = {} } = await handle(request, await readBody(request).catch(() => ({})))
    const text = JSON.stringify(body)
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    response.end(text)
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return server
}

/** Starts an empty store. */
export const startStore = async (host, port) => {
  const items = new Map()
  const leases = new Map()
  const waiting = new Set()
  let history = []
  let revision = 10
  let lastLease = 1000

  const wake = () => { for (const resume of [...waiting]) resume() }
  const put = (key, value, lease) => {
    const item = { key, value, rev: revision, created: items.get(key)?.created ?? revision, lease }
    items.set(key, item)
    history.push(item)
  }
  const remove = key => { if (items.delete(key)) history.push({ key, rev: revision, deleted: true }) }
  const change = run => {
    revision++
    run()
    if (history.length > 5000) history = history.slice(-4000)
    wake()
  }

  const range = query => {
    const after = query.get('after') ?? ''
    const found = [...items.values()].filter(({ key }) => key.startsWith(query.get('prefix') ?? '') && key > after)
      .sort((one, other) => one.key < other.key ? -1 : 1)
    const page = found.slice(0, pageItems)
    return { status: 200, body: { items: page, hasMore: found.length > page.length, currentRev: revision } }
  }

  const watch = async query => {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    const deadlineMs = performance.now() + Number(query.get('waitMs'))
    if (history.length > 0 && after < history[0].rev - 1 && history.length >= 4000) return { status: 410 }
    const found = () => history.filter(event => event.rev > after && event.key.startsWith(prefix))
    while (found().length === 0 && performance.now() < deadlineMs) {
      await new Promise(resolve => {
        const resume = () => {
          clearTimeout(timer)
          waiting.delete(resume)
          resolve()
        }
        const timer = setTimeout(resume, deadlineMs - performance.now())
        waiting.add(resume)
      })
    }
    return { status: 200, body: { events: found(), currentRev: revision } }
  }

  const transact = ({ precondition = [], puts = [], deletes = [] }) => {
    if (precondition.some(({ key, rev }) => (items.get(key)?.rev ?? 0) !== rev)) {
      return { status: 412, body: { items: precondition.flatMap(({ key }) => items.get(key) ?? []) } }
    }
    if (puts.some(({ lease }) => lease && !leases.has(lease))) return { status: 404 }
    if ([...puts, ...deletes].some(entry => /^(op|servers)\//.test(entry.key ?? entry))) return { status: 403 }
    change(() => {
      for (const { key, value, lease = 0 } of puts) put(key, value, lease)
      for (const key of deletes) remove(key)
    })
    return { status: 200, body: { rev: revision } }
  }

  const endLease = id => {
    if (!leases.delete(id)) return { status: 404 }
    change(() => { for (const { key, lease } of [...items.values()]) if (lease === id) remove(key) })
    return { status: 200 }
  }
  const grantLease = ({ ttlMs }) => {
    leases.set(++lastLease, { ttlMs, endsAtMs: performance.now() + ttlMs })
    return { status: 200, body: { lease: lastLease, ttlMs } }
  }
  const keepLease = id => {
    const lease = leases.get(id)
    if (lease === undefined) return { status: 404 }
    lease.endsAtMs = performance.now() + lease.ttlMs
    return { status: 200 }
  }
  const leaseTimer = setInterval(() => {
    for (const [id, { endsAtMs }] of leases) if (endsAtMs < performance.now()) endLease(id)
  }, leaseCheckMs)

  const handle = async (request, body) => {
    const { pathname, searchParams } = new URL(request.url, 'http://store')
    const id = Number(pathname.split('/').at(-1))
    const call = `${request.method} ${pathname.replace(/\/\d+$/, '')}`
    if (call === 'GET /api/kv-key') {
      const item = items.get(searchParams.get('key'))
      return item === undefined ? { status: 404 } : { status: 200, body: { ...item, currentRev: revision } }
    }
    if (call === 'GET /api/kv-range') return range(searchParams)
    if (call === 'GET /api/kv-watch') return await watch(searchParams)
    if (call === 'POST /api/kv-txn') return transact(body)
    if (call === 'POST /api/kv-lease') return grantLease(body)
    if (call === 'POST /api/kv-keep') return keepLease(id)
    if (call === 'DELETE /api/kv-lease-end') return endLease(id)
    return { status: 404 }
  }

  const server = await listen(handle, host, port)
  return {
    address: `${host}:${port}`,
    /** Writes an item as the operator or a database does; undefined deletes it. */
    write: (key, value) => change(() => {
      if (value === undefined) remove(key)
      else put(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0)
    }),
    /** Names of the gateways that have a member record. */
    members: () => [...items.keys()].filter(key => key.startsWith('egretyoke/vm/')).map(key => key.split('/').at(-1)),
    close: () => {
      clearInterval(leaseTimer)
      server.close()
      server.closeAllConnections()
    }
  }
}

/**
 * Starts the service that promotes databases. `promote` returns false if the database is not running. `onCall` gets
 * each call as it arrives.
 */
export const startFailoverService = async (host, port, promote, onCall) => {
  const server = await listen((request, { service, id }) => {
    if (request.method !== 'POST' || request.url !== '/failover') return { status: 404 }
    const holder = request.headers['x-duty-holder']
    onCall({ service, id, holder, fence: Number(request.headers['x-fence-token']) })
    return { status: promote(id) ? 200 : 409 }
  }, host, port)
  return {
    address: `${host}:${port}`,
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
