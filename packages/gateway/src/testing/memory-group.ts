/**
 * An in-memory database group for tests: a log with terms, replicas that are updated at once or on request, connections
 * with session state, and a record of all statements that ran.
 */
import { Err, Ok, sleepMs, typedError } from '@egretyoke/common'
import type {
  ConnectDatabase, DatabaseCommand, DatabaseConnection, ControlCommand, DatabaseReply, DeclineReason
} from '../coordination/connections/database-connection.js'
import type { PromoteDatabase } from '../coordination/primaries/promotion.js'
import type { Database } from '../state/configuration.js'
import { comparePositions } from '../state/position.js'

type LogEntry = { position: string, requestId: string }

/** A statement that a database ran. */
export type ExecutedStatement = {
  database: string
  connection: number
  workspace: string
  requestId: string
  text: string
  values: Record<string, string>
  inTransaction: boolean
}

/** One database of the group, with its faults. */
export type MemoryDatabase = {
  description: Database
  log: LogEntry[]
  role: 'primary' | 'replica'
  term: number
  /** `dead` refuses and closes connections; `dark` never answers. */
  state: 'alive' | 'dead' | 'dark'
  /** Runs statements and commits without answering them. */
  dropsReplies: boolean
  /** Receives no commits. */
  isDeaf: boolean
  /** Time by which the reply to an attempt to connect for the workspace is late, in milliseconds. */
  connectDelayMs: (workspace: string) => number
  /** Time by which the reply to a command is late, in milliseconds; the command itself runs at once. */
  replyDelayMs: (command: DatabaseCommand) => number
  /** The reply that is sent in place of the one to a command, which has run. */
  changeReply: (command: DatabaseCommand, reply: DatabaseReply) => DatabaseReply
  statementMs: number
  /** No statement that runs ends before this resolves. */
  mayEnd: Promise<void>
  running: number
  maxRunning: number
  connections: number
}

/** The group, its adapter functions and its records. */
export type MemoryGroup = {
  databases: Map<string, MemoryDatabase>
  connect: ConnectDatabase
  promote: PromoteDatabase
  executed: ExecutedStatement[]
  /** Fencing tokens of the requested promotions, in order. */
  fencingTokens: number[]
  /** False for a command that an adapter cannot encode: it declines the call, and sends none of its commands. */
  isSendable: (command: DatabaseCommand) => boolean
  /** Copies the primary's log to the replicas; done after each write unless `isReplicationPaused` is set. */
  replicate: () => void
  isReplicationPaused: boolean
}

const promoteDelayMs = 30

const positionOf = (database: MemoryDatabase) => database.log.at(-1)?.position ?? `${database.term}.0`

const createDatabase = (id: string, index: number, group: string): MemoryDatabase => ({
  description: {
    id,
    group,
    address: `127.0.0.1:${index + 1}`,
    dataCentre: `dc-${index + 1}`,
    slots: 2,
    draining: false,
    role: index === 0 ? 'primary' : 'replica',
    startedAtMs: 1
  },
  log: [],
  role: index === 0 ? 'primary' : 'replica',
  term: 1,
  state: 'alive',
  dropsReplies: false,
  isDeaf: false,
  connectDelayMs: () => 0,
  replyDelayMs: () => 0,
  changeReply: (_command, reply) => reply,
  statementMs: 1,
  mayEnd: Promise.resolve(),
  running: 0,
  maxRunning: 0,
  connections: 0
})

/** Creates a group of three databases; the first is the primary. */
export const createMemoryGroup = (group = 'bookings'): MemoryGroup => {
  const ids = ['db-1', 'db-2', 'db-3']
  const databases = new Map(ids.map((id, index) => [id, createDatabase(id, index, group)]))
  const executed: ExecutedStatement[] = []
  const fencingTokens: number[] = []
  let connectionCount = 0

  /** The database that was promoted last. */
  const leader = () => [...databases.values()].filter(({ role }) => role === 'primary')
    .sort((one, other) => other.term - one.term)[0]

  const replicate = () => {
    const primary = leader()
    if (primary?.state !== 'alive') return
    for (const replica of databases.values()) {
      if (replica.role !== 'replica' || replica.state !== 'alive' || replica.isDeaf) continue
      replica.log = [...primary.log]
      replica.term = primary.term
    }
  }

  const append = (database: MemoryDatabase, requestId: string) => {
    const number = Number(positionOf(database).split('.')[1]) + 1
    database.log.push({ position: `${database.term}.${number}`, requestId })
    if (!memory.isReplicationPaused) replicate()
  }

  const connect: ConnectDatabase = async ({ databaseId, address, workspace }, timeoutMs) => {
    const database = databases.get(databaseId)
    await sleepMs(1)
    // As an adapter that passes the port to the system unchecked.
    if (Number(address.split(':')[1]) > 65_535) throw new RangeError(`port of ${address} is out of range`)
    if (database === undefined || database.state === 'dead') return Err(typedError('unreachable', 'refused'))
    const delayMs = database.state === 'dark' ? Infinity : database.connectDelayMs(workspace)
    if (delayMs > 0) await sleepMs(Math.min(delayMs, timeoutMs))
    if (delayMs > timeoutMs) return Err(typedError('silent', 'timeout'))
    return Ok(open(database, workspace))
  }

  const open = (database: MemoryDatabase, workspace: string): DatabaseConnection => {
    const connection = ++connectionCount
    const values = new Map<string, string>()
    const prepared = new Map<string, Extract<DatabaseCommand, { kind: 'prepare' }>>()
    let transaction: DatabaseReply['transaction'] = 'none'
    let isReadOnly = false
    let written: string[] = []
    let isOpen = true
    const listeners: Array<() => void> = []
    database.connections++

    const reply = (rest: Partial<DatabaseReply> = {}): DatabaseReply => ({
      outcome: 'done', message: '', rows: [], signature: '', position: positionOf(database), transaction, ...rest
    })
    const decline = (declineReason: DeclineReason) => {
      if (transaction === 'open') transaction = 'failed'
      return reply({ outcome: 'declined', declineReason, message: declineReason })
    }
    const isBehind = (position: string) => position !== '' && comparePositions(positionOf(database), position) < 0

    const runStatement = async (requestId: string, text: string, access: 'read' | 'write', positionAtLeast: string) => {
      if (isBehind(positionAtLeast)) return decline('lagging')
      if (access === 'write' && (database.role !== 'primary' || isReadOnly)) return decline('readOnly')
      database.running++
      database.maxRunning = Math.max(database.maxRunning, database.running)
      await sleepMs(database.statementMs)
      await database.mayEnd
      database.running--
      const inTransaction = transaction === 'open'
      executed.push({
        database: database.description.id,
        connection,
        workspace,
        requestId,
        text,
        values: Object.fromEntries(values),
        inTransaction
      })
      if (access === 'write') {
        if (inTransaction) written.push(requestId)
        else append(database, requestId)
      }
      return reply({ rows: access === 'read' ? [`row of ${text}`] : [], signature: `signed ${requestId}` })
    }

    const finish = (requestId: string, isCommit: boolean) => {
      const wasFailed = transaction === 'failed'
      if (isCommit && !wasFailed) for (const _ of written) append(database, requestId)
      written = []
      transaction = 'none'
      isReadOnly = false
      return isCommit && wasFailed ? decline('aborted') : reply({ signature: isCommit ? `signed ${requestId}` : '' })
    }

    const runCommand = async (command: DatabaseCommand): Promise<DatabaseReply> => {
      if (
        transaction === 'failed' && command.kind !== 'rollback' && command.kind !== 'commit'
      ) return decline('malformed')
      switch (command.kind) {
        case 'begin':
          if (isBehind(command.positionAtLeast)) return decline('lagging')
          if (!command.readOnly && database.role !== 'primary') return decline('readOnly')
          transaction = 'open'
          isReadOnly = command.readOnly
          return reply()
        case 'text': {
          const access = command.text.startsWith('WRITE') ? 'write' : 'read'
          return await runStatement(command.requestId, command.text, access, command.positionAtLeast)
        }
        case 'execute': {
          const statement = prepared.get(command.name)
          if (statement === undefined) return decline('unknownStatement')
          const { access, shape } = statement
          const text = `${access}_${shape} ${command.operands}`
          return await runStatement(command.requestId, text, access, command.positionAtLeast)
        }
        case 'commit': return finish(command.requestId, true)
        case 'rollback': return finish('', false)
        case 'set':
          values.set(command.name, command.value)
          return reply()
        case 'prepare':
          prepared.set(command.name, command)
          return reply()
        case 'deallocate': return prepared.delete(command.name) ? reply() : decline('unknownStatement')
        case 'reset':
          values.clear()
          prepared.clear()
          return reply()
      }
    }

    const end = () => {
      if (!isOpen) return
      isOpen = false
      database.connections--
      for (const listener of listeners) listener()
    }

    const lost = (message: string): DatabaseReply =>
      ({ outcome: 'lost', message, rows: [], signature: '', position: '', transaction: 'none' })

    const run = async (commands: readonly DatabaseCommand[], timeoutMs: number): Promise<DatabaseReply[]> => {
      if (!commands.every(memory.isSendable)) {
        return commands.map(command => ({
          ...lost('not sent'),
          outcome: 'declined',
          declineReason: memory.isSendable(command) ? 'notSent' : 'malformed',
          isUnsent: true
        }))
      }
      const replies: DatabaseReply[] = []
      const deadlineMs = performance.now() + timeoutMs
      for (const command of commands) {
        if (!isOpen || database.state === 'dead') {
          end()
          return [...replies, lost('closed')]
        }
        if (database.state === 'alive') replies.push(database.changeReply(command, await runCommand(command)))
        const isReplyDropped = database.dropsReplies && (command.kind === 'text' || command.kind === 'commit')
        const delayMs = database.state !== 'alive' || isReplyDropped ? Infinity : database.replyDelayMs(command)
        const remainingMs = deadlineMs - performance.now()
        if (delayMs > 0) await sleepMs(Math.min(delayMs, Math.max(0, remainingMs)))
        if (delayMs === 0 || delayMs <= remainingMs) continue
        end()
        return [...replies.slice(0, -1), lost('timeout')]
      }
      return replies
    }

    const runControl = async (command: ControlCommand, timeoutMs: number) => {
      await sleepMs(1)
      if (database.state === 'dark') await sleepMs(timeoutMs)
      if (!isOpen || database.state !== 'alive') {
        end()
        return Err(typedError('lost' as const, 'lost', { timedOut: database.state === 'dark' }))
      }
      if (command.kind === 'demote' && command.term > database.term) database.role = 'replica'
      const { role, term } = database
      return Ok({ role, term, receivedPosition: positionOf(database), appliedPosition: positionOf(database) })
    }

    return {
      run,
      runControl,
      isOpen: () => isOpen && database.state !== 'dead',
      onClosed: listener => { listeners.push(listener) },
      close: end
    }
  }

  const promote: PromoteDatabase = async (_group, id, fence) => {
    fencingTokens.push(fence)
    const database = databases.get(id)
    if (database === undefined || database.state !== 'alive') return Err(typedError('declined', 'not running'))
    if (database === leader()) return Ok(undefined)
    setTimeout(() => {
      database.term = Math.max(...[...databases.values()].map(({ term }) => term)) + 1
      database.role = 'primary'
    }, promoteDelayMs)
    return Ok(undefined)
  }

  const memory: MemoryGroup = {
    databases, connect, promote, executed, fencingTokens, replicate, isSendable: () => true, isReplicationPaused: false
  }
  return memory
}
