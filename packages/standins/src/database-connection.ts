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
  let busy = false
  let ended = false
  let transaction: Transaction | undefined
  /** Reply that is delayed until after the next one, by the fault `reorderReplies`. */
  let heldBack: EndpointMessages.Reply | undefined
  /** Copy of a reply that is sent again just before the next one, by the fault `doubleReplies`. */
  let lateCopy: EndpointMessages.Reply | undefined

  const cut = () => {
    if (ended) return
    ended = true
    // Destroying the stream alone would leave the peer waiting; an error status ends the call at the peer too.
    stream.emit('error', { code: status.UNAVAILABLE, details: 'connection cut' })
  }

  const send = (request: Request, part: Partial<EndpointMessages.Reply>) => {
    if (ended) return
    const reply = { requestId: request.requestId, generation: request.generation, ...part }
    if (part.end && !heldBack && random.chance(context.fault().reorderReplies)) {
      heldBack = reply
      return
    }
    if (lateCopy) stream.write(lateCopy)
    lateCopy = undefined
    stream.write(reply)
    if (random.chance(context.fault().doubleReplies)) {
      stream.write(reply)
      lateCopy = reply
    }
    if (!heldBack) return
    stream.write(heldBack)
    heldBack = undefined
  }

  const stamp = (end: End): End => {
    const { term, position } = member.dataPosition()
    return { term, position, fromPrimary: member.mayWrite(), ...end }
  }

  const read = (key: string): string | undefined => transaction?.overlay.get(key) ?? member.log.read(key)

  const sendRows = (request: Request, statement: Statement): End | undefined => {
    for (let sent = 0; sent < statement.rows; sent += rowsPerChunk) {
      const rows = Math.min(rowsPerChunk, statement.rows - sent)
      const value = read(statement.key) ?? ''
      const lines = Array.from({ length: rows }, (_, row) => `${statement.key}:${sent + row}=${value}`)
      if (sent > 0 && random.chance(context.fault().cutStreams)) {
        cut()
        return undefined
      }
      const index = sent / rowsPerChunk
      send(request, { chunk: { rows: Buffer.from(lines.join('\n') + '\n'), index, ...member.dataPosition() } })
    }
    return stamp({ verdict: 'DONE', chunkCount: Math.ceil(statement.rows / rowsPerChunk) })
  }

  const confirm = async (position: number, confirmation: Confirmation, timeoutMs: number): Promise<End> => {
    const term = member.term()
    const isHeld = confirmation === 'PRIMARY' || await member.waitForMajority(position, timeoutMs)
    return { verdict: isHeld ? 'DONE' : 'UNCONFIRMED', term, position, fromPrimary: member.mayWrite() }
  }

  const runWrite = async (execute: Execute, statement: Statement): Promise<End> => {
    if (!member.mayWrite() || member.term() !== execute.expectedTerm) return declined('not primary of this term')
    if (member.log.isFull()) return declined('log is full')
    if (transaction) {
      const value = valueAfter(statement, read)
      transaction.overlay.set(statement.key, value)
      transaction.writes.push(execute.statement)
      return stamp({ verdict: 'DONE', result: Buffer.from(value) })
    }
    const position = member.write([execute.statement])
    const value = member.log.read(statement.key) ?? ''
    return { ...await confirm(position, execute.confirmation, execute.timeoutMs), result: Buffer.from(value) }
  }

  const runExecute = async (request: Request, execute: Execute): Promise<End | undefined> => {
    const statement = parseStatement(execute.statement)
    if (!statement.ok) return stamp(failed(statement.val))
    const fitsAccess = transaction !== undefined || isWrite(statement.val) === execute.writes
    if (!fitsAccess) return stamp(failed('statement does not fit the route\'s access'))
    if (!await slots.acquire()) return declined('busy', busyRetryAfterMs)
    try {
      await sleepMs((statement.val.costMs ?? context.serviceMs) + context.fault().delayMs)
    } finally {
      slots.release()
    }
    if (ended) return undefined
    context.count('statement')
    if (isWrite(statement.val)) return await runWrite(execute, statement.val)
    if (execute.streamed) return sendRows(request, statement.val)
    return stamp({ verdict: 'DONE', result: Buffer.from(read(statement.val.key) ?? '') })
  }

  const begin = (expectedTerm: number): End => {
    if (transaction) return stamp(failed('a transaction is open'))
    if (!member.mayWrite() || member.term() !== expectedTerm) return declined('not primary of this term')
    transaction = { term: expectedTerm, writes: [], overlay: new Map() }
    return stamp({ verdict: 'DONE' })
  }

  const commit = async (confirmation: Confirmation, timeoutMs: number): Promise<End> => {
    if (!transaction) return stamp(failed('no transaction is open'))
    const { term, writes } = transaction
    transaction = undefined
    if (!member.mayWrite() || member.term() !== term) return declined('not primary of this term')
    if (writes.length === 0) return stamp({ verdict: 'DONE' })
    return await confirm(member.write(writes), confirmation, timeoutMs)
  }

  const run = async (request: Request): Promise<End | undefined> => {
    if (random.chance(context.fault().decline)) return declined('declined by fault', busyRetryAfterMs)
    if (request.execute) return await runExecute(request, request.execute)
    if (request.begin) return begin(request.begin.expectedTerm)
    if (request.commit) return await commit(request.commit.confirmation, request.commit.timeoutMs)
    if (request.rollback) {
      transaction = undefined
      return stamp({ verdict: 'DONE' })
    }
    return stamp(failed('empty request'))
  }

  const runQueue = async () => {
    busy = true
    for (let request = queue.shift(); request && !ended; request = queue.shift()) {
      const end = await run(request)
      if (!end) continue
      if (end.verdict === 'DECLINED') context.count('declined')
      const changed = request.execute?.writes || request.commit
      if (end.verdict === 'DONE' && changed && random.chance(context.fault().loseAnswers)) cut()
      send(request, { end })
    }
    busy = false
  }

  stream.on('data', (request: Request) => {
    if (queue.length >= maxQueuedRequests) return cut()
    queue.push(request)
    if (!busy) runQueue()
  })
  stream.on('end', () => {
    ended = true
    stream.end()
  })
  stream.on('cancelled', () => {
    ended = true
  })
  stream.on('error', () => {
    ended = true
  })
}
