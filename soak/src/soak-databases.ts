/**
 * A database group over the wire protocol, for the soak: a log with terms, asynchronous replication with lag,
 * promotions that truncate entries which the new primary lacks, and a record of every statement that ran.
 */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import type { Random } from '@egretyoke/common'
import { createLineReader, splitFields } from '@egretyoke/platform/testing'
import type { SoakRecord } from './soak-record.js'

type LogEntry = { term: number, number: number, requestId: string }
type Reply = { lines: string[], error?: string }

/** One database. `dark`: keeps its connections open but does not reply; `dead`: its process has exited. */
export type SoakDatabase = {
  id: string
  dataCentre: string
  port: number
  role: 'primary' | 'replica'
  term: number
  log: LogEntry[]
  state: 'alive' | 'dark' | 'dead'
  /** Probability that the connection is closed instead of sending a reply. */
  lossShare: number
  bornMs: number
  sockets: Set<Socket>
}

/** A database group. */
export type SoakDatabases = {
  service: string
  databases: SoakDatabase[]
  promote: (id: string) => boolean
  kill: (database: SoakDatabase) => void
  restart: (database: SoakDatabase) => void
  /** Request ids in the log of the primary with the highest term, and those that promotions truncated. */
  finalLogs: () => { kept: string[], cutBack: Set<string> }
  close: () => void
}

const promoteDelayMs = 200
const workMs = 4
const maxConnections = 22
export const slotsPerDatabase = 3

/** Options of a database group; one database for each data centre. */
export type SoakDatabasesOptions = {
  service: string
  dataCentres: readonly string[]
  record: SoakRecord
  random: Random
  lagMs: () => number
}

const positionOf = ({ log, term }: SoakDatabase) => {
  const last = log.at(-1)
  return last === undefined ? `${term}.0` : `${last.term}.${last.number}`
}

const isBehind = (database: SoakDatabase, position: string) => {
  const [term = 0, number = 0] = position.split('.').map(Number)
  const [ownTerm = 0, ownNumber = 0] = positionOf(database).split('.').map(Number)
  return ownTerm < term || (ownTerm === term && ownNumber < number)
}

/** Starts the group on free loopback ports; the first database is the primary. */
export const startSoakDatabases = async (options: SoakDatabasesOptions): Promise<SoakDatabases> => {
  const { service, dataCentres, record, random, lagMs } = options
  const databases: SoakDatabase[] = dataCentres.map((dataCentre, index) => ({
    id: `i-${service}-${index}`,
    dataCentre,
    port: 0,
    role: index === 0 ? 'primary' : 'replica',
    term: 1,
    log: [],
    state: 'alive',
    lossShare: 0,
    bornMs: Date.now(),
    sockets: new Set()
  }))
  const cutBack = new Set<string>()
  let connectionCount = 0
  let transactionCount = 0

  const leader = () => databases.filter(({ role }) => role === 'primary').sort((a, b) => b.term - a.term)[0]

  /** Copies the leader's log up to a length to a replica, which drops entries that the leader lacks. */
  const catchUp = (replica: SoakDatabase, from: SoakDatabase, upTo: number) => {
    if (replica === from || replica.state === 'dead' || replica.role === 'primary' || from !== leader()) return
    if (replica.term === from.term && replica.log.length >= upTo) return
    replica.term = from.term
    replica.log = from.log.slice(0, upTo)
  }

  const append = (database: SoakDatabase, requestIds: readonly string[]) => {
    const number = (database.log.at(-1)?.term === database.term ? database.log.at(-1)?.number ?? 0 : 0) + 1
    for (const requestId of requestIds) database.log.push({ term: database.term, number, requestId })
    const upTo = database.log.length
    for (const replica of databases) setTimeout(() => catchUp(replica, database, upTo), lagMs())
  }

  const promote = (id: string): boolean => {
    const chosen = databases.find(database => database.id === id)
    if (chosen === undefined || chosen.state !== 'alive') return false
    if (chosen === leader()) return true
    setTimeout(() => {
      if (chosen.state !== 'alive') return
      chosen.term = Math.max(...databases.map(({ term }) => term)) + 1
      chosen.role = 'primary'
      const kept = new Set(chosen.log.map(({ requestId }) => requestId))
      for (const { log } of databases) for (const { requestId } of log) if (!kept.has(requestId)) cutBack.add(requestId)
      for (const replica of databases) setTimeout(() => catchUp(replica, chosen, chosen.log.length), lagMs())
    }, promoteDelayMs)
    return true
  }

  /** Session state of one connection, and the statements that run on it. */
  const openConnection = (database: SoakDatabase, workspace: string) => {
    const connection = ++connectionCount
    const values = new Map<string, string>()
    const prepared = new Map<string, { access: string, shape: string }>()
    let state: 'I' | 'T' | 'E' = 'I'
    let transaction = 0
    let isReadOnly = false
    let written: string[] = []

    const finish = () => {
      state = 'I'
      transaction = 0
      isReadOnly = false
      const ids = written
      written = []
      return ids
    }
    const fail = (error: string): Reply => {
      if (state === 'T') state = 'E'
      return { lines: [], error }
    }
    const lackedBy = (requestId: string) => record.sent.get(requestId)?.mustSee
      .find(wanted => !database.log.some(entry => entry.requestId === wanted)) ?? ''
    const note = (requestId: string, text: string) => record.ran.push({
      database: database.id,
      connection,
      workspace,
      requestId,
      text,
      values: [...values].sort().map(pair => pair.join('=')).join(),
      transaction,
      lacked: lackedBy(requestId)
    })

    const runData = (requestId: string, text: string, access: string): Reply => {
      const isWrite = access === 'WRITE'
      const hasLostLead = transaction !== 0 && !isReadOnly && database.role !== 'primary'
      if (hasLostLead || (isWrite && (isReadOnly || database.role !== 'primary'))) return fail('READONLY')
      note(requestId, text)
      if (isWrite && transaction !== 0) written.push(requestId)
      else if (isWrite) append(database, [requestId])
      return { lines: [...(isWrite ? [] : [`ROW of ${requestId}`]), `COMPLETE ${database.id}.${requestId}`] }
    }

    const begin = (readOnly: boolean): Reply => {
      if (!readOnly && database.role !== 'primary') return fail('READONLY')
      state = 'T'
      isReadOnly = readOnly
      transaction = ++transactionCount
      return { lines: ['COMPLETE -'] }
    }

    const commit = (requestId: string): Reply => {
      if (state !== 'T') {
        finish()
        return { lines: [], error: 'ABORTED' }
      }
      if (written.length > 0 && database.role !== 'primary') {
        finish()
        return { lines: [], error: 'READONLY' }
      }
      const ids = finish()
      if (ids.length > 0) append(database, ids)
      return { lines: [`COMPLETE ${database.id}.${requestId}`] }
    }

    const status = (): Reply => {
      const row = `${database.role} ${database.term} ${positionOf(database)} 0 0 0 ${database.sockets.size}`
      return { lines: [`ROW ${row}`, 'COMPLETE -'] }
    }

    const run = (requestId: string, given: string): Reply => {
      const [, position, rest] = given.startsWith('AFTER ') ? splitFields(given, 3) : ['', undefined, given]
      const text = rest ?? ''
      if (position !== undefined && isBehind(database, position)) return fail('LAGGING')
      const [word = '', name = '', tail = ''] = splitFields(text, 3)
      if (state === 'E' && word !== 'ROLLBACK' && word !== 'COMMIT') return { lines: [], error: 'MALFORMED' }
      switch (word) {
        case 'READ': case 'WRITE': return runData(requestId, text, word)
        case 'EXECUTE': {
          const known = prepared.get(name)
          if (known === undefined) return fail('NOSTMT')
          return runData(requestId, `EXECUTE ${known.shape} ${tail}`, known.access)
        }
        case 'BEGIN': return begin(name === 'READ')
        case 'COMMIT': return commit(requestId)
        case 'ROLLBACK':
          finish()
          return { lines: ['COMPLETE -'] }
        case 'SET':
          values.set(name, tail)
          return { lines: ['COMPLETE -'] }
        case 'PREPARE': {
          const [access = '', shape = ''] = tail.split(' ')
          prepared.set(name, { access, shape })
          return { lines: ['COMPLETE -'] }
        }
        case 'RESET':
          values.clear()
          prepared.clear()
          return { lines: ['COMPLETE -'] }
        case 'STATUS': return status()
        case 'DEMOTE':
          if (Number(name) > database.term) database.role = 'replica'
          return status()
        default: return fail('MALFORMED')
      }
    }
    return { run, state: () => state }
  }

  const serve = (database: SoakDatabase, socket: Socket) => {
    if (database.state === 'dead') return socket.destroy()
    const reader = createLineReader()
    let connection: ReturnType<typeof openConnection> | undefined
    database.sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('close', () => database.sockets.delete(socket))
    socket.on('error', () => socket.destroy())

    const start = (line: string) => {
      const [, group, workspace = '', id] = line.split(' ')
      if (database.sockets.size > maxConnections) return socket.end('ERROR CONNLIMIT full\r\n')
      if (group !== service || (id !== undefined && id !== database.id)) return socket.end('ERROR MISROUTED other\r\n')
      connection = openConnection(database, workspace)
      socket.write(`READY I ${positionOf(database)}\r\n`)
    }
    const query = (open: NonNullable<typeof connection>, line: string) => {
      const [, requestId = '', text = ''] = splitFields(line, 3)
      const { lines, error } = open.run(requestId, text)
      if (requestId !== '-' && random.chance(database.lossShare)) return socket.destroy()
      const ending = error === undefined ? lines : [...lines, `ERROR ${error} ${database.id}`]
      socket.write([...ending, `READY ${open.state()} ${positionOf(database)}`].map(each => `${each}\r\n`).join(''))
    }
    let work = Promise.resolve()
    socket.on('data', chunk => {
      for (const line of reader.push(chunk) ?? []) {
        work = work.then(async () => {
          await new Promise(resolve => setTimeout(resolve, workMs))
          if (socket.destroyed || database.state !== 'alive') return
          if (connection === undefined) start(line)
          else query(connection, line)
        })
      }
    })
  }

  const servers = await Promise.all(databases.map(async database => {
    const server = createServer(socket => serve(database, socket))
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    database.port = (server.address() as AddressInfo).port
    return server
  }))

  const kill = (database: SoakDatabase) => {
    database.state = 'dead'
    for (const socket of database.sockets) socket.destroy()
  }

  return {
    service,
    databases,
    promote,
    kill,
    restart: database => {
      const leading = leader()
      database.state = 'alive'
      database.bornMs = Date.now()
      if (leading === undefined || leading === database) return
      database.role = 'replica'
      catchUp(database, leading, leading.log.length)
    },
    finalLogs: () => ({ kept: leader()?.log.map(({ requestId }) => requestId) ?? [], cutBack }),
    close: () => {
      for (const server of servers) server.close()
      for (const database of databases) kill(database)
    }
  }
}
