/**
 * A service of three databases over the wire protocol: a log with terms, replicas that apply commits after a delay,
 * failover, DEMOTE, crashes, and a record of every read, write and commit that ran.
 */
import { createServer } from 'node:net'

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

const promoteMs = 600
/** The old primary steps down by itself this long after it can reach the new one. */
const stepDownMs = 1000
const stepDownPollMs = 20
/** The rule ONE does not count what a disruption of the last 300 ms has held up. */
const thawMs = 300

/** Longest text of a statement or a value in the record. */
const maxRecordedLength = 80

const clip = value => value.length > maxRecordedLength ? `${value.slice(0, maxRecordedLength)}...` : value

const compare = (one, other) => one.term - other.term || one.number - other.number
const text = ({ term, number }) => `${term}.${number}`
const parse = position => {
  const [term, number] = position.split('.').map(Number)
  return { term, number }
}

/** Starts the databases, the first one as the primary. `workMs(text)` is the time that a statement takes. */
export const startDatabases = async ({
  service, zones, record, onChange = () => {}, onLead = () => {},
  lagMs = 20, workMs = () => 3, maxConnections = 22, slots = 3
}) => {
  const databases = zones.map((zone, index) => ({
    state: 'ready',
    id: `i-${service}-${index}`,
    zone,
    role: index === 0 ? 'primary' : 'replica',
    term: 1,
    log: [{ term: 1, number: 0, item: '', data: '' }],
    isAlive: true,
    isDark: false,
    lightSinceMs: -Infinity,
    sockets: new Set(),
    born: Date.now()
  }))
  /** Signatures of commits at a former primary after another one was promoted. */
  const lateCommits = new Set()
  let signatures = 0
  let transactions = 0

  const positionOf = ({ log }) => log.at(-1)
  const canReceive = ({ isAlive, isDark }) => isAlive && !isDark
  const leader = () =>
    databases.filter(({ role }) => role === 'primary').sort((one, other) => other.term - one.term)[0]

  /** A replica takes the log of the newest primary, without entries of its own that this one lacks. */
  const follow = database => {
    const primary = leader()
    if (!canReceive(database) || database.role !== 'replica' || !primary?.isAlive || primary.isDark) return
    database.log = [...primary.log]
    database.term = primary.term
  }

  const replicate = (primary, entry) => {
    for (const database of databases) {
      if (database === primary) continue
      setTimeout(() => {
        const isConnected = canReceive(database) && canReceive(primary)
        const follows = database.role === 'replica' && database.term === primary.term
        if (isConnected && follows && compare(positionOf(database), entry) < 0) database.log.push(entry)
      }, lagMs)
    }
  }

  const commit = (database, writes) => {
    for (const { item, data } of writes) {
      const entry = { term: database.term, number: positionOf(database).number + 1, item, data }
      database.log.push(entry)
      replicate(database, entry)
    }
  }

  const demote = database => {
    if (database.role !== 'primary') return
    database.role = 'replica'
    record(database.id, 'is a replica now')
    follow(database)
    onChange(database)
  }

  const isLate = database => database !== leader() && performance.now() - database.lightSinceMs > thawMs

  /** A former primary steps down by itself a second after it can reach the new one. */
  const checkFormerPrimaries = () => {
    const newest = leader()
    for (const database of databases) {
      const isFormer = database.role === 'primary' && database !== newest
      const reachesNewest = isFormer && canReceive(database) && canReceive(newest)
      database.reachesNewestSinceMs = reachesNewest ? database.reachesNewestSinceMs ?? performance.now() : undefined
      if (reachesNewest && performance.now() - database.reachesNewestSinceMs >= stepDownMs) demote(database)
    }
  }
  const stepDownTimer = setInterval(checkFormerPrimaries, stepDownPollMs)

  const promote = id => {
    const database = databases.find(each => each.id === id)
    if (database === undefined || !canReceive(database)) return false
    if (database === leader()) return true
    setTimeout(() => {
      if (!canReceive(database)) return
      database.term = Math.max(...databases.map(({ term }) => term)) + 1
      database.role = 'primary'
      database.log.push({ term: database.term, number: positionOf(database).number + 1, item: '', data: '' })
      record(database.id, `is the primary of term ${database.term}`)
      onChange(database)
      for (const other of databases) follow(other)
      onLead(database)
    }, promoteMs)
    return true
  }

  const valueOf = (database, item) => database.log.findLast(entry => entry.item === item)?.data ?? 'none'

  const openSession = (database, workspace) => {
    const prepared = new Map()
    let transaction

    const done = (rows = [], signature = '-') => ({ rows, signature })
    const fail = error => {
      if (transaction !== undefined) transaction.isFailed = true
      return { error }
    }
    const sign = (requestId, statement, note) => {
      const signature = `${++signatures}.${database.id}`
      if (/committed|COMMIT/.test(statement + note) && isLate(database)) lateCommits.add(signature)
      const what = `${clip(statement)}${clip(note)}`
      record(database.id, `ran ${clip(requestId)} ${what} for ${workspace} at ${text(positionOf(database))}`)
      return signature
    }

    const read = (requestId, statement, item) => {
      const own = transaction?.writes.findLast(entry => entry.item === item)
      const value = own?.data ?? valueOf(database, item)
      return done([value], sign(requestId, statement, ` -> ${value}`))
    }
    const write = (requestId, statement, item, data) => {
      if (database.role !== 'primary' || transaction?.isReadOnly) return fail('READONLY')
      if (transaction === undefined) commit(database, [{ item, data }])
      else transaction.writes.push({ item, data })
      return done([], sign(requestId, statement, transaction ? ` in transaction ${transaction.number}` : ' committed'))
    }
    const begin = isReadOnly => {
      if (transaction !== undefined) return fail('MALFORMED')
      if (!isReadOnly && database.role !== 'primary') return fail('READONLY')
      transaction = { number: ++transactions, isReadOnly, writes: [], isFailed: false }
      return done()
    }
    const end = (requestId, isCommit) => {
      if (transaction === undefined) return fail('MALFORMED')
      const { writes, isFailed, number } = transaction
      transaction = undefined
      if (!isCommit) return done()
      if (isFailed) return fail('ABORTED')
      if (writes.length > 0 && database.role !== 'primary') return fail('READONLY')
      commit(database, writes)
      return done([], sign(requestId, 'COMMIT', ` transaction ${number}`))
    }
    const status = () => {
      const received = text(positionOf(database))
      return done([`${database.role} ${database.term} ${received} 0 ${lagMs} 0 ${database.sockets.size}`])
    }
    const execute = (requestId, name, item, data) => {
      const access = prepared.get(name)
      if (access === undefined) return fail('NOSTMT')
      const statement = `EXECUTE ${access} ${item}`
      return access.startsWith('READ') ? read(requestId, statement, item) : write(requestId, statement, item, data)
    }

    const run = (requestId, statement) => {
      const [word, first, second, ...more] = statement.split(' ')
      if (word === 'ROLLBACK') return end(requestId, false)
      if (word === 'COMMIT') return end(requestId, true)
      if (transaction?.isFailed) return fail('MALFORMED')
      switch (word) {
        case 'AFTER':
          if (compare(positionOf(database), parse(first)) < 0) return fail('LAGGING')
          return run(requestId, [second, ...more].join(' '))
        case 'BEGIN': return begin(first === 'READ')
        case 'READ': return read(requestId, statement, first)
        case 'WRITE': return write(requestId, statement, first, [second, ...more].join(' '))
        case 'STATUS': return status()
        case 'DEMOTE':
          if (Number(first) > database.term) demote(database)
          return status()
        case 'PREPARE':
          prepared.set(first, [second, ...more].join(' '))
          return done()
        case 'EXECUTE': return execute(requestId, first, second, more.join(' '))
        case 'DEALLOC': return prepared.delete(first) ? done() : fail('NOSTMT')
        case 'SET': return done()
        case 'RESET':
          prepared.clear()
          return done()
        default: return fail('MALFORMED')
      }
    }

    return (requestId, statement) => {
      const { rows = [], signature, error } = run(requestId, statement)
      const state = transaction === undefined ? 'I' : transaction.isFailed ? 'E' : 'T'
      const result = error === undefined ? `COMPLETE ${signature}` : `ERROR ${error} ${database.id}`
      const lines = [...rows.map(row => `ROW ${row}`), result, `READY ${state} ${text(positionOf(database))}`]
      return `${lines.join('\r\n')}\r\n`
    }
  }

  const serve = (database, socket) => {
    if (database.isDark) socket.pause()
    let received = ''
    let handle
    let queue = Promise.resolve()
    if (!database.isAlive) return socket.resetAndDestroy()
    database.sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('close', () => database.sockets.delete(socket))
    socket.on('error', () => socket.destroy())

    const start = line => {
      const [, name, workspace, id] = line.split(' ')
      if (name !== service || (id !== undefined && id !== database.id)) return socket.end('ERROR MISROUTED no\r\n')
      if (database.sockets.size > maxConnections) return socket.end(`ERROR CONNLIMIT ${database.id}\r\n`)
      handle = openSession(database, workspace)
      socket.write(`READY I ${text(positionOf(database))}\r\n`)
    }
    const query = async line => {
      const [, requestId, ...words] = line.split(' ')
      const statement = words.join(' ')
      const isWork = /^(AFTER [^ ]+ )?(READ|WRITE|EXECUTE|COMMIT)/.test(statement)
      if (isWork) await new Promise(resolve => setTimeout(resolve, workMs(statement, requestId)))
      await database.light
      if (!socket.destroyed) socket.write(handle(requestId, statement))
    }
    socket.on('data', chunk => {
      received += chunk
      const lines = received.split('\r\n')
      received = lines.pop()
      for (const line of lines) {
        queue = queue.then(() => {
          if (line.startsWith('START ')) return start(line)
          if (line.startsWith('QUERY ') && handle) return query(line)
          socket.end()
        })
      }
    })
  }

  for (const database of databases) {
    database.server = createServer(socket => serve(database, socket))
    await new Promise(resolve => database.server.listen(0, '127.0.0.1', resolve))
    database.address = `127.0.0.1:${database.server.address().port}`
  }

  return {
    databases,
    lateCommits,
    leader,
    promote,
    /** What a database writes about itself into the store. */
    entryOf: ({ address, zone, role, born, state }) => ({
      service, address, zone, version: 'v1', slots, state, coldRemainingMs: 0, dbRole: role, seqNum: 1, born
    }),
    /** A planned shutdown: the database reports that it is draining, and goes on serving. */
    drain: database => {
      database.state = 'draining'
      record(database.id, 'is draining')
      onChange(database)
    },
    crash: database => {
      database.isAlive = false
      record(database.id, 'crashed')
      for (const socket of database.sockets) socket.resetAndDestroy()
    },
    /** The database neither receives nor sends anything, and lights up after the time. */
    darken: (database, forMs) => {
      database.isDark = true
      record(database.id, `is dark for ${forMs} ms`)
      for (const socket of database.sockets) socket.pause()
      database.light = sleep(forMs).then(() => {
        database.isDark = false
        database.lightSinceMs = performance.now()
        record(database.id, `is reachable again, as a ${database.role}`)
        for (const socket of database.sockets) socket.resume()
        if (database.role === 'replica') follow(database)
      })
    },
    /** A crashed database comes back with its log, as a replica if another one was promoted. */
    restart: database => {
      database.isAlive = true
      database.born = Date.now()
      if (leader() !== database) database.role = 'replica'
      follow(database)
      record(database.id, `is back as a ${database.role}`)
      onChange(database)
    },
    close: () => {
      clearInterval(stepDownTimer)
      for (const { server, sockets } of databases) {
        server.close()
        for (const socket of sockets) socket.destroy()
      }
    }
  }
}
