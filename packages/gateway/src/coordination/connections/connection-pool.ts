/**
 * Pool of this gateway's connections to one database. A connection serves one workspace for its whole lifetime. The
 * pool tracks the session variables and prepared statements of each connection, so that the next session sends only the
 * difference.
 */
import { Err, Ok } from '@egretyoke/common'
import type { Result } from '@egretyoke/common'
import type { ConnectDatabase, ConnectFailure, DatabaseCommand, DatabaseConnection } from './database-connection.js'
import { createExpectedReuse } from './expected-reuse.js'
import { lingerMs } from './orphaned-connections.js'
import { createPreparedStatements } from './prepared-statements.js'
import type { PreparedStatement, PreparedStatements } from './prepared-statements.js'
import { createSetValues } from './set-values.js'
import type { SessionValue, SetValues } from './set-values.js'

/** A connection of the pool and its tracked session state. */
export type PooledConnection = {
  /** Identifies the connection in log lines; unique in the process. */
  number: number
  workspace: string
  connection: DatabaseConnection
  values: SetValues
  prepared: PreparedStatements
  idleSinceMs: number
}

/** Session state that a statement requires. */
export type RequiredState = {
  values: readonly SessionValue[]
  prepared?: PreparedStatement
}

/** Pool of connections to one database. */
export type ConnectionPool = {
  /** True if `acquire` can reuse an idle connection, evict one, or open a new one, at least for some workspace. */
  hasCapacity: () => boolean
  /** True if `acquire` can do so for the workspace. */
  canServe: (workspace: string) => boolean
  /** True if a connection of the workspace is idle. */
  hasIdle: (workspace: string) => boolean
  acquire: (workspace: string, timeoutMs: number) => Promise<Result<PooledConnection, ConnectFailure>>
  /** Returns a connection to the pool, for the next session of its workspace. */
  release: (pooled: PooledConnection) => void
  /** Closes a connection whose state is unknown, or that is no longer needed. */
  discard: (pooled: PooledConnection) => void
  size: () => number
  /** Number of connections that the pool may still open. */
  connectionsLeft: () => number
  /** Closes connections that have been idle for longer than `idleForMs`. */
  closeIdle: (idleForMs: number) => void
  close: () => void
}

/**
 * The pool opens no additional connections for this long after the database refused one as too many; doubled by each
 * further refusal up to `lingerMs`, after which the database no longer counts the connections of a lost holder.
 */
const fullBackoffMs = 250
/** More refusals would only delay the growth after the limit has room again. */
const maxCountedRefusals = 4
/**
 * Maximum number of idle connections: `maxConnections` minus `reserved`, or `atLeast` if that is more. If this gateway
 * crashes, its idle connections occupy the database's limit until the database detects the loss; the reserved ones stay
 * free for the next holder.
 */
const maxIdle = { reserved: 20, atLeast: 10 } as const

/**
 * Connections that are opened at the same time. Each occupies a slot of the database meanwhile, and a database that
 * gets too many attempts at once lets some time out.
 */
const maxOpening = 2

/** Dependencies and limits of a pool. */
export type PoolOptions = {
  connect: (workspace: string, timeoutMs: number) => ReturnType<ConnectDatabase>
  maxConnections: () => number
  /** Connections of other holders that the database counts towards its limit. */
  connectionsOfOthers?: () => number
  /** The pool may have this many connections, whatever others have: fewer would leave slots unused. */
  minConnections?: () => number
  /** Called when an attempt to open a connection has ended, so that the next one may begin. */
  onAttemptEnded?: () => void
  nowMs: () => number
}

let lastNumber = 0

/** Commands, in order, and the name of the required prepared statement once they have succeeded. */
export type SessionSetup = { commands: DatabaseCommand[], preparedName: string | undefined }

/** What brings a connection to the required session state. */
export const setupFor = (pooled: PooledConnection, required: RequiredState): SessionSetup => {
  const commands: DatabaseCommand[] = []
  const hasStaleValue = pooled.values.hasOtherThan(required.values)
  if (hasStaleValue) commands.push({ kind: 'reset' })
  for (const { name, value } of required.values) {
    if (hasStaleValue || !pooled.values.has({ name, value })) commands.push({ kind: 'set', name, value })
  }
  const { prepared } = required
  if (prepared === undefined) return { commands, preparedName: undefined }
  const knownName = hasStaleValue ? undefined : pooled.prepared.nameOf(prepared)
  if (knownName !== undefined) return { commands, preparedName: knownName }
  const dropped = hasStaleValue ? [] : pooled.prepared.namesToDrop(prepared)
  for (const name of dropped) commands.push({ kind: 'deallocate', name })
  const preparedName = pooled.prepared.nextName()
  commands.push({ kind: 'prepare', name: preparedName, ...prepared })
  return { commands, preparedName }
}

/** Updates the tracked session state after a command of `setupFor` succeeded. */
export const recordDone = (pooled: PooledConnection, command: DatabaseCommand): void => {
  if (command.kind === 'set') pooled.values.add(command)
  if (command.kind === 'prepare') pooled.prepared.add(command, command.name)
  if (command.kind === 'deallocate') pooled.prepared.remove(command.name)
  if (command.kind !== 'reset') return
  pooled.values.clear()
  pooled.prepared.clear()
}

/** Creates an empty pool. */
export const createConnectionPool = (options: PoolOptions): ConnectionPool => {
  const { connect, maxConnections, onAttemptEnded, nowMs } = options
  const { connectionsOfOthers = () => 0, minConnections = () => 1 } = options
  const idle: PooledConnection[] = []
  const all = new Set<PooledConnection>()
  let opening = 0
  let isClosed = false
  let fullUntilMs = -Infinity
  /** Refusals as too many, less the connections that were opened since. */
  let refusals = 0
  const expectedReuse = createExpectedReuse(nowMs)

  const remove = (pooled: PooledConnection) => {
    all.delete(pooled)
    const index = idle.indexOf(pooled)
    if (index >= 0) idle.splice(index, 1)
  }

  const discard = (pooled: PooledConnection) => {
    remove(pooled)
    pooled.connection.close()
  }

  const size = () => all.size + opening

  const maxSize = () => Math.min(maxConnections(), Math.max(minConnections(), maxConnections() - connectionsOfOthers()))

  /**
   * Other clients may use up the database's connection limit: after a refusal the pool does not grow for a while, and
   * then by one connection at a time until the refusals are made up for.
   */
  const canGrow = () => size() < maxSize() && nowMs() >= fullUntilMs && (refusals === 0 || opening === 0)

  const canOpen = () => opening < maxOpening && (canGrow() || idle.length > 0)
  const hasIdle = (workspace: string) => idle.some(pooled => pooled.workspace === workspace)

  const evict = () => {
    const leastLikely = expectedReuse.leastLikely(idle)
    if (leastLikely !== undefined) discard(leastLikely)
  }

  const recordRefusal = () => {
    fullUntilMs = nowMs() + Math.min(lingerMs, fullBackoffMs * 2 ** refusals)
    refusals = Math.min(refusals + 1, maxCountedRefusals)
  }

  const open = async (workspace: string, timeoutMs: number): Promise<Result<PooledConnection, ConnectFailure>> => {
    if (!canGrow()) evict()
    opening++
    const connected = await connect(workspace, timeoutMs)
    opening--
    if (onAttemptEnded !== undefined) queueMicrotask(onAttemptEnded)
    if (connected.err) {
      if (connected.val.reason === 'full') recordRefusal()
      return Err(connected.val)
    }
    refusals = Math.max(0, refusals - 1)
    const connection = connected.val
    const pooled: PooledConnection = {
      number: ++lastNumber,
      workspace,
      connection,
      values: createSetValues(),
      prepared: createPreparedStatements(),
      idleSinceMs: nowMs()
    }
    all.add(pooled)
    connection.onClosed(() => remove(pooled))
    if (isClosed) connection.close()
    return Ok(pooled)
  }

  const acquire = async (workspace: string, timeoutMs: number): Promise<Result<PooledConnection, ConnectFailure>> => {
    expectedReuse.recordUse(workspace)
    const reusable = idle.findLast(pooled => pooled.workspace === workspace)
    if (reusable === undefined) return await open(workspace, timeoutMs)
    idle.splice(idle.indexOf(reusable), 1)
    return Ok(reusable)
  }

  const release = (pooled: PooledConnection) => {
    if (isClosed || !pooled.connection.isOpen() || size() > maxConnections()) return discard(pooled)
    pooled.idleSinceMs = nowMs()
    idle.push(pooled)
    if (idle.length > Math.max(maxIdle.atLeast, maxConnections() - maxIdle.reserved)) evict()
  }

  return {
    hasCapacity: () => canOpen() || idle.length > 0,
    canServe: workspace => hasIdle(workspace) || canOpen(),
    hasIdle,
    acquire,
    release,
    discard,
    size,
    connectionsLeft: () => Math.max(0, maxSize() - size()),
    closeIdle: idleForMs => {
      for (const pooled of [...idle]) if (nowMs() - pooled.idleSinceMs > idleForMs) discard(pooled)
    },
    close: () => {
      isClosed = true
      for (const pooled of [...all]) discard(pooled)
    }
  }
}
