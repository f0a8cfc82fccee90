/**
 * One database connection: requests run in order, and a transaction's writes are buffered until its commit.
 */
import { status } from '@grpc/grpc-js'
import type { ServerDuplexStream } from '@grpc/grpc-js'
import { sleepMs } from '@egretyoke/common'
import type { Random } from '@egretyoke/common'
import type { EndpointMessages, StandinMessages } from '@egretyoke/protocol'
import { valueAfter } from './database-log.js'
import type { DatabaseMember } from './database-member.js'
import type { Slots } from './slots.js'
import { isWrite, parseStatement } from './statement.js'
import type { Statement } from './statement.js'

type Request = EndpointMessages.Request__Output
type Execute = EndpointMessages.Execute__Output
type Confirmation = EndpointMessages.Confirmation__Output
type Stream = ServerDuplexStream<Request, EndpointMessages.Reply>
type End = EndpointMessages.End
type Fault = StandinMessages.DatabaseFault__Output

const maxQueuedRequests = 64
const busyRetryAfterMs = 5
const rowsPerChunk = 100

/** State shared by all connections of one database. */
export type ConnectionContext = {
  member: DatabaseMember
  slots: Slots
  random: Random
  fault: () => Fault
  serviceMs: number
  count: (verdict: 'statement' | 'declined') => void
}

type Transaction = { term: number, writes: Buffer[], overlay: Map<string, string> }

const declined = (reason: string, retryAfterMs = 0): End => ({ verdict: 'DECLINED', reason, retryAfterMs })
const failed = (reason: string): End => ({ verdict: 'FAILED', reason })

/** Serves the requests of a connection after its open request was accepted. */
export const serveConnection = (context: ConnectionContext, stream: Stream): void => {
  const { member, slots, random } = context
  const queue: Request[] = []
  let isBusy = false
  let hasEnded = false
  let transaction: Transaction | undefined
  /** Reply that is delayed until after the next one, by the fault `reorderReplies`. */
  let delayedReply: EndpointMessages.Reply | undefined
  /** Copy of a reply that is sent again just before the next one, by the fault `doubleReplies`. */
  let duplicateReply: EndpointMessages.Reply | undefined

  const cutConnection = () => {
    if (hasEnded) return
    hasEnded = true
    // Destroying the stream alone would leave the peer waiting; an error status ends the call at the peer too.
    stream.emit('error', { code: status.UNAVAILABLE, details: 'connection cut' })
  }

  const send = (request: Request, content: Partial<EndpointMessages.Reply>) => {
    if (hasEnded) return
    const reply = { requestId: request.requestId, generation: request.generation, ...content }
    if (content.end && !delayedReply && random.chance(context.fault().reorderReplies)) {
      delayedReply = reply
      return
    }
    if (duplicateReply) stream.write(duplicateReply)
    duplicateReply = undefined
    stream.write(reply)
    if (random.chance(context.fault().doubleReplies)) {
      stream.write(reply)
      duplicateReply = reply
    }
    if (!delayedReply) return
    stream.write(delayedReply)
    delayedReply = undefined
  }

  const withDataPosition = (end: End): End => {
    const { term, position } = member.dataPosition()
    return { term, position, fromPrimary: member.canWrite(), ...end }
  }

  const read = (key: string): string | undefined => transaction?.overlay.get(key) ?? member.log.read(key)

  const sendRows = (request: Request, statement: Statement): End | undefined => {
    for (let sent = 0; sent < statement.rows; sent += rowsPerChunk) {
      const rows = Math.min(rowsPerChunk, statement.rows - sent)
      const value = read(statement.key) ?? ''
      const lines = Array.from({ length: rows }, (_, row) => `${statement.key}:${sent + row}=${value}`)
      if (sent > 0 && random.chance(context.fault().cutStreams)) {
        cutConnection()
        return undefined
      }
      const index = sent / rowsPerChunk
      send(request, { chunk: { rows: Buffer.from(lines.join('\n') + '\n'), index, ...member.dataPosition() } })
    }
    return withDataPosition({ verdict: 'DONE', chunkCount: Math.ceil(statement.rows / rowsPerChunk) })
  }

  const confirm = async (position: number, confirmation: Confirmation, timeoutMs: number): Promise<End> => {
    const term = member.term()
    const isConfirmed = confirmation === 'PRIMARY' || await member.waitForMajority(position, timeoutMs)
    return { verdict: isConfirmed ? 'DONE' : 'UNCONFIRMED', term, position, fromPrimary: member.canWrite() }
  }

  const runWrite = async (execute: Execute, statement: Statement): Promise<End> => {
    if (!member.canWrite() || member.term() !== execute.expectedTerm) return declined('not primary of this term')
    if (member.log.isFull()) return declined('log is full')
    if (transaction) {
      const value = valueAfter(statement, read)
      transaction.overlay.set(statement.key, value)
      transaction.writes.push(execute.statement)
      return withDataPosition({ verdict: 'DONE', result: Buffer.from(value) })
    }
    const position = member.write([execute.statement])
    const value = member.log.read(statement.key) ?? ''
    return { ...await confirm(position, execute.confirmation, execute.timeoutMs), result: Buffer.from(value) }
  }

  const runExecute = async (request: Request, execute: Execute): Promise<End | undefined> => {
    const statement = parseStatement(execute.statement)
    if (!statement.ok) return withDataPosition(failed(statement.val))
    const matchesAccess = transaction !== undefined || isWrite(statement.val) === execute.writes
    if (!matchesAccess) return withDataPosition(failed('statement does not fit the route\'s access'))
    if (!await slots.acquire()) return declined('busy', busyRetryAfterMs)
    try {
      await sleepMs((statement.val.costMs ?? context.serviceMs) + context.fault().delayMs)
    } finally {
      slots.release()
    }
    if (hasEnded) return undefined
    context.count('statement')
    if (isWrite(statement.val)) return await runWrite(execute, statement.val)
    if (execute.streamed) return sendRows(request, statement.val)
    return withDataPosition({ verdict: 'DONE', result: Buffer.from(read(statement.val.key) ?? '') })
  }

  const begin = (expectedTerm: number): End => {
    if (transaction) return withDataPosition(failed('a transaction is open'))
    if (!member.canWrite() || member.term() !== expectedTerm) return declined('not primary of this term')
    transaction = { term: expectedTerm, writes: [], overlay: new Map() }
    return withDataPosition({ verdict: 'DONE' })
  }

  const commit = async (confirmation: Confirmation, timeoutMs: number): Promise<End> => {
    if (!transaction) return withDataPosition(failed('no transaction is open'))
    const { term, writes } = transaction
    transaction = undefined
    if (!member.canWrite() || member.term() !== term) return declined('not primary of this term')
    if (writes.length === 0) return withDataPosition({ verdict: 'DONE' })
    return await confirm(member.write(writes), confirmation, timeoutMs)
  }

  const run = async (request: Request): Promise<End | undefined> => {
    if (random.chance(context.fault().decline)) return declined('declined by fault', busyRetryAfterMs)
    if (request.execute) return await runExecute(request, request.execute)
    if (request.begin) return begin(request.begin.expectedTerm)
    if (request.commit) return await commit(request.commit.confirmation, request.commit.timeoutMs)
    if (request.rollback) {
      transaction = undefined
      return withDataPosition({ verdict: 'DONE' })
    }
    return withDataPosition(failed('empty request'))
  }

  const runQueue = async () => {
    isBusy = true
    for (let request = queue.shift(); request && !hasEnded; request = queue.shift()) {
      const end = await run(request)
      if (!end) continue
      if (end.verdict === 'DECLINED') context.count('declined')
      const isChange = request.execute?.writes || request.commit
      if (end.verdict === 'DONE' && isChange && random.chance(context.fault().loseAnswers)) cutConnection()
      send(request, { end })
    }
    isBusy = false
  }

  stream.on('data', (request: Request) => {
    if (queue.length >= maxQueuedRequests) return cutConnection()
    queue.push(request)
    if (!isBusy) runQueue()
  })
  stream.on('end', () => {
    hasEnded = true
    stream.end()
  })
  stream.on('cancelled', () => {
    hasEnded = true
  })
  stream.on('error', () => {
    hasEnded = true
  })
}
