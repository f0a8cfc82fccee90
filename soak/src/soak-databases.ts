/**
 * A database group over the wire protocol, for the soak: a log with terms, asynchronous replication with lag,
 * promotions that drop entries which the new primary lacks, and a record of every statement that ran.
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
  replyLossProbability: number
  /** Time that a caller's statement takes before it is run, in milliseconds. */
  statementMs: number
  startedAtMs: number
  sockets: Set<Socket>
}

/** A database group. */
export type SoakDatabases = {
  service: string
  databases: SoakDatabase[]
  promote: (id: string) => boolean
  kill: (database: SoakDatabase) => void
  restart: (database: SoakDatabase) => void
  /** Request ids in the log of the primary with the highest term, and those that promotions dropped. */
  finalLogs: () => { kept: string[], dropped: Set<string> }
  close: () => void
}

const promotionDelayMs = 200
const defaultStatementMs = 4
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
    replyLossProbability: 0,
    statementMs: defaultStatementMs,
    startedAtMs: Date.now(),
    sockets: new Set()
  }))
  const dropped = new Set<string>()
  let connectionCount = 0
  let transactionCount = 0

  const leader = () => databases.filter(({ role }) => role === 'primary').sort((a, b) => b.term - a.term)[0]

  /** Replaces a replica's log by the leader's first `upTo` entries, which drops entries that the leader lacks. */
  const replicateTo = (replica: SoakDatabase, from: SoakDatabase, upTo: number) => {
    if (replica === from || replica.state === 'dead' || replica.role === 'primary' || from !== leader()) return
    if (replica.term === from.term && replica.log.length >= upTo) return
    replica.term = from.term
    replica.log = from.log.slice(0, upTo)
  }

  const append = (database: SoakDatabase, requestIds: readonly string[]) => {
    const number = (database.log.at(-1)?.term === database.term ? database.log.at(-1)?.number ?? 0 : 0) + 1
    for (const requestId of requestIds) database.log.push({ term: database.term, number, requestId })
    const upTo = database.log.length
    for (const replica of databases) setTimeout(() => replicateTo(replica, database, upTo), lagMs())
  }

  const promote = (id: string): boolean => {
    const candidate = databases.find(database => database.id === id)
    if (candidate === undefined || candidate.state !== 'alive') return false
    if (candidate === leader()) return true
    setTimeout(() => {
      if (candidate.state !== 'alive') return
      candidate.term = Math.max(...databases.map(({ term }) => term)) + 1
      candidate.role = 'primary'
      const kept = new Set(candidate.log.map(({ requestId }) => requestId))
      for (const { log } of databases) for (const { requestId } of log) if (!kept.has(requestId)) dropped.add(requestId)
      for (const replica of databases) setTimeout(() => replicateTo(replica, candidate, candidate.log.length), lagMs())
    }, promotionDelayMs)
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

    const endTransaction = () => {
      state = 'I'
      transaction = 0
      isReadOnly = false
      const requestIds = written
      written = []
      return requestIds
    }
    const fail = (error: string): Reply => {
      if (state === 'T') state = 'E'
      return { lines: [], error }
    }
    const findMissingWrite = (requestId: string) => record.sent.get(requestId)?.mustSee
      .find(required => !database.log.some(entry => entry.requestId === required)) ?? ''
    const recordStatement = (requestId: string, text: string) => record.executed.push({
      database: database.id,
      connection,
      workspace,
      requestId,
      text,
      values: [...values].sort().map(pair => pair.join('=')).join(),
      transaction,
      missing: findMissingWrite(requestId)
    })

    const runData = (requestId: string, text: string, access: string): Reply => {
      const isWrite = access === 'WRITE'
      const hasLostPrimaryRole = transaction !== 0 && !isReadOnly && database.role !== 'primary'
      if (hasLostPrimaryRole || (isWrite && (isReadOnly || database.role !== 'primary'))) return fail('READONLY')
      recordStatement(requestId, text)
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
        endTransaction()
        return { lines: [], error: 'ABORTED' }
      }
      if (written.length > 0 && database.role !== 'primary') {
        endTransaction()
        return { lines: [], error: 'READONLY' }
      }
      const ids = endTransaction()
      if (ids.length > 0) append(database, ids)
      return { lines: [`COMPLETE ${database.id}.${requestId}`] }
    }

    const status = (): Reply => {
      const row = `${database.role} ${database.term} ${positionOf(database)} 0 0 0 ${database.sockets.size}`
      return { lines: [`ROW ${row}`, 'COMPLETE -'] }
    }

    const run = (requestId: string, command: string): Reply => {
      const [, position, rest] = command.startsWith('AFTER ') ? splitFields(command, 3) : ['', undefined, command]
      const text = rest ?? ''
      if (position !== undefined && isBehind(database, position)) return fail('LAGGING')
      const [word = '', name = '', tail = ''] = splitFields(text, 3)
      if (state === 'E' && word !== 'ROLLBACK' && word !== 'COMMIT') return { lines: [], error: 'MALFORMED' }
      switch (word) {
        case 'READ': case 'WRITE': return runData(requestId, text, word)
        case 'EXECUTE': {
          const statement = prepared.get(name)
          if (statement === undefined) return fail('NOSTMT')
          return runData(requestId, `EXECUTE ${statement.shape} ${tail}`, statement.access)
        }
        case 'BEGIN': return begin(name === 'READ')
        case 'COMMIT': return commit(requestId)
        case 'ROLLBACK':
          endTransaction()
          return { lines: ['COMPLETE -'] }
        case 'SET':
          values.set(name, tail)
          return { lines: ['COMPLETE -'] }
        case 'PREPARE': {
          const [access = '', shape = ''] = splitFields(tail, 2)
          prepared.set(name, { access, shape })
          return { lines: ['COMPLETE -'] }
        }
        case 'DEALLOC': return prepared.delete(name) ? { lines: ['COMPLETE -'] } : fail('NOSTMT')
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
    const query = (session: NonNullable<typeof connection>, line: string) => {
      const [, requestId = '', text = ''] = splitFields(line, 3)
      const { lines, error } = session.run(requestId, text)
      if (requestId !== '-' && random.chance(database.replyLossProbability)) return socket.destroy()
      const replyLines = error === undefined ? lines : [...lines, `ERROR ${error} ${database.id}`]
      socket.write(
        [...replyLines, `READY ${session.state()} ${positionOf(database)}`].map(each => `${each}\r\n`).join('')
      )
    }
    /** Commands of the gateway itself take the usual time. */
    const timeOf = ({ statementMs }: SoakDatabase, line: string) =>
      line.startsWith('QUERY ') && !line.startsWith('QUERY - ') ? statementMs : defaultStatementMs
    let pending = Promise.resolve()
    socket.on('data', chunk => {
      for (const line of reader.push(chunk).unwrapOr([])) {
        pending = pending.then(async () => {
          await new Promise(resolve => setTimeout(resolve, timeOf(database, line)))
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
      const currentLeader = leader()
      database.state = 'alive'
      database.startedAtMs = Date.now()
      if (currentLeader === undefined || currentLeader === database) return
      database.role = 'replica'
      replicateTo(database, currentLeader, currentLeader.log.length)
    },
    finalLogs: () => ({ kept: leader()?.log.map(({ requestId }) => requestId) ?? [], dropped }),
    close: () => {
      for (const server of servers) server.close()
      for (const database of databases) kill(database)
    }
  }
}
