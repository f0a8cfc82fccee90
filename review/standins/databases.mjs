/**
 * One database group over the wire protocol of the users' pages: a log with terms, replication with lag, promotions,
 * slots, transactions and session values.
 */
import { createServer } from 'node:net'

const demoteAfterMs = 1000
const connectMs = 12

const positionOf = ({ log, term }) => log.length === 0 ? `${term}.0` : `${log.at(-1).term}.${log.at(-1).number}`

const isBehind = (database, position) => {
  const [term, number] = position.split('.').map(Number)
  const [ownTerm, ownNumber] = positionOf(database).split('.').map(Number)
  return ownTerm < term || (ownTerm === term && ownNumber < number)
}

/**
 * Starts the group; the first database is the primary. `replicationMs(from, to)` is the time until a commit is
 * received. With `syncReplicas` 1 a commit is acknowledged once one replica has received it. `onRun` gets each
 * statement that runs, `onPromoted` each database at the moment at which it leads a new term.
 */
export const startDatabases = async ({
  service, zones, hosts, port, slots, workMs, promoteMs, syncReplicas = 0, replicationMs, onRun, onPromoted
}) => {
  const databases = zones.map((zone, index) => ({
    id: `i-${service}-${index}`,
    zone,
    address: `${hosts[index]}:${port}`,
    role: index === 0 ? 'primary' : 'replica',
    term: 1,
    log: [],
    state: 'alive',
    isDeaf: false,
    busy: 0,
    queue: [],
    born: Date.now(),
    sockets: new Set()
  }))
  const leader = () => databases.filter(({ role }) => role === 'primary').sort((one, two) => two.term - one.term)[0]

  const withSlot = async (database, run) => {
    if (database.busy >= slots) await new Promise(resolve => database.queue.push(resolve))
    else database.busy++
    await new Promise(resolve => setTimeout(resolve, workMs()))
    const result = await run()
    const next = database.queue.shift()
    if (next === undefined) database.busy--
    else next()
    return result
  }

  const receive = (replica, from, upTo) => {
    if (replica.state !== 'alive' || replica.isDeaf || replica.role === 'primary' || from !== leader()) return
    if (replica.term === from.term && replica.log.length >= upTo) return
    replica.term = from.term
    replica.log = from.log.slice(0, upTo)
  }

  /** Appends a commit; resolves once it may be acknowledged. */
  const append = (database, ids) => new Promise(resolve => {
    const last = database.log.at(-1)
    database.log.push({ term: database.term, number: (last?.number ?? 0) + 1, ids })
    const upTo = database.log.length
    if (syncReplicas === 0) resolve()
    for (const replica of databases) {
      if (replica === database) continue
      setTimeout(() => {
        receive(replica, database, upTo)
        const isAlive = replica.state === 'alive' && database.state === 'alive'
        if (isAlive && replica.log.length >= upTo && replica.term === database.term) resolve()
      }, replicationMs(database, replica))
    }
  })

  const demoteFormer = former => setTimeout(() => {
    if (former.state !== 'alive' || former === leader() || leader()?.state !== 'alive') return
    former.role = 'replica'
    receive(former, leader(), leader().log.length)
  }, demoteAfterMs)

  const promote = id => {
    const chosen = databases.find(database => database.id === id)
    if (chosen === undefined || chosen.state !== 'alive') return false
    if (chosen === leader()) return true
    setTimeout(() => {
      if (chosen.state !== 'alive') return
      chosen.term = Math.max(...databases.map(({ term }) => term)) + 1
      chosen.role = 'primary'
      onPromoted(chosen)
      for (const other of databases) {
        if (other === chosen) continue
        if (other.role === 'primary') demoteFormer(other)
        else setTimeout(() => receive(other, chosen, chosen.log.length), replicationMs(chosen, other))
      }
    }, promoteMs)
    return true
  }

  let connectionCount = 0
  const openConnection = (database, tenant) => {
    const number = ++connectionCount
    const values = new Map()
    const prepared = new Map()
    let state = 'I'
    let isReadOnly = false
    let written = []

    const end = () => {
      const ids = written
      state = 'I'
      written = []
      return ids
    }
    const done = (...rows) => ({ rows })
    const fail = error => {
      if (state === 'T') state = 'E'
      return { rows: [], error }
    }
    const data = async (id, text, isWrite) => {
      const isOpen = state === 'T'
      const needsLead = isWrite || (isOpen && !isReadOnly)
      if (needsLead && (database.role !== 'primary' || isReadOnly)) return fail('READONLY')
      onRun({ database, connection: number, tenant, id, text, isOpen, values: [...values] })
      if (isWrite && isOpen) written.push(id)
      else if (isWrite) await append(database, [id])
      return done(...(isWrite ? [] : [`at ${positionOf(database)}`]))
    }
    const begin = readOnly => {
      if (!readOnly && database.role !== 'primary') return fail('READONLY')
      state = 'T'
      isReadOnly = readOnly
      written = []
      return done()
    }
    const commit = async id => {
      const hadFailed = state === 'E'
      const mustLead = written.length > 0
      const ids = end()
      isReadOnly = false
      if (hadFailed) return { rows: [], error: 'ABORTED' }
      if (mustLead && database.role !== 'primary') return { rows: [], error: 'READONLY' }
      onRun({ database, connection: number, tenant, id, text: 'COMMIT', isOpen: true, values: [...values] })
      if (ids.length > 0) await append(database, ids)
      return done()
    }
    const status = () => done(`${database.role} ${database.term} ${positionOf(database)} 0 0 ${database.busy} ` +
      `${database.sockets.size}`)

    const run = async (id, command) => {
      const [, position, text] = /^(?:AFTER (\S+) )?(.*)$/.exec(command)
      const [word, name = '', ...rest] = text.split(' ')
      if (state === 'E' && !['ROLLBACK', 'COMMIT'].includes(word)) return { rows: [], error: 'MALFORMED' }
      if (position !== undefined && isBehind(database, position)) return fail('LAGGING')
      switch (word) {
        case 'READ': case 'WRITE': return await withSlot(database, () => data(id, text, word === 'WRITE'))
        case 'EXECUTE': {
          const shape = prepared.get(name)
          if (shape === undefined) return fail('NOSTMT')
          return await withSlot(database, () => data(id, text, shape.startsWith('WRITE')))
        }
        case 'BEGIN': return begin(name === 'READ')
        case 'COMMIT': return await withSlot(database, () => commit(id))
        case 'ROLLBACK':
          end()
          isReadOnly = false
          return done()
        case 'SET':
          values.set(name, rest.join(' '))
          return done()
        case 'PREPARE':
          prepared.set(name, rest.join(' '))
          return done()
        case 'RESET':
          values.clear()
          prepared.clear()
          return done()
        case 'STATUS': return await withSlot(database, status)
        case 'DEMOTE':
          if (Number(name) > database.term) database.role = 'replica'
          return status()
        default: return fail('MALFORMED')
      }
    }
    return { run, state: () => state }
  }

  const serve = (database, socket) => {
    if (database.state === 'dead') return socket.resetAndDestroy()
    let connection
    let rest = ''
    let pending = Promise.resolve()
    database.sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('close', () => database.sockets.delete(socket))
    socket.on('error', () => socket.destroy())

    const start = async line => {
      const [, group, tenant, id] = line.split(' ')
      await new Promise(resolve => setTimeout(resolve, connectMs))
      if (group !== service || (id !== undefined && id !== database.id)) return socket.end('ERROR MISROUTED other\r\n')
      connection = openConnection(database, tenant)
      socket.write(`READY I ${positionOf(database)}\r\n`)
    }
    const query = async line => {
      const [, id, text] = /^QUERY (\S+) (.*)$/.exec(line) ?? []
      if (id === undefined) return socket.end('ERROR MALFORMED expected QUERY\r\n')
      const { rows, error } = await connection.run(id, text)
      if (socket.destroyed || database.state !== 'alive') return
      const result = error === undefined ? `COMPLETE ${database.id}.${id}` : `ERROR ${error} ${database.id}`
      const ready = `READY ${connection.state()} ${positionOf(database)}`
      socket.write([...rows.map(row => `ROW ${row}`), result, ready].map(each => `${each}\r\n`).join(''))
    }
    socket.on('data', chunk => {
      if (database.state !== 'alive') return
      const lines = (rest + chunk).split('\r\n')
      rest = lines.pop()
      for (const line of lines) {
        pending = pending.then(async () => {
          if (socket.destroyed || database.state !== 'alive') return
          if (connection === undefined) await start(line)
          else await query(line)
        })
      }
    })
  }

  const servers = await Promise.all(databases.map(async (database, index) => {
    const server = createServer(socket => serve(database, socket))
    await new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, hosts[index], resolve)
    })
    return server
  }))

  return {
    databases,
    leader,
    promote,
    has: (database, id) => database.log.some(({ ids }) => ids.includes(id)),
    /** A deaf replica receives nothing; what is sent to it meanwhile comes after that, if the sender still runs. */
    setDeaf: (database, isDeaf) => {
      database.isDeaf = isDeaf
      if (!isDeaf && leader().state === 'alive') receive(database, leader(), leader().log.length)
    },
    /** `dark`: keeps connections open and answers nothing. */
    darken: database => { database.state = 'dark' },
    /** Ends the process: connections are reset and new ones refused. */
    crash: database => {
      database.state = 'dead'
      for (const socket of database.sockets) socket.resetAndDestroy()
    },
    /** Starts the process again with its log; a replica if another database leads. */
    restart: database => {
      for (const socket of database.sockets) socket.resetAndDestroy()
      database.state = 'alive'
      database.born = Date.now()
      database.busy = 0
      database.queue = []
      if (leader() === database) return
      database.role = 'replica'
      setTimeout(() => receive(database, leader(), leader().log.length), replicationMs(leader(), database))
    },
    close: () => {
      for (const server of servers) server.close()
      for (const { sockets } of databases) for (const socket of sockets) socket.destroy()
    }
  }
}

/** The entry that a database writes about itself. */
export const entryOf = ({ id, zone, address, role, born }, service, slots) => [`servers/${id}`, {
  service,
  address,
  zone,
  version: '1',
  slots,
  state: 'ready',
  coldRemainingMs: 0,
  seqNum: 1,
  dbRole: role,
  born
}]
