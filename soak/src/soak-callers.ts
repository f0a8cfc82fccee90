/**
 * Callers of a soak: sessions over the wire protocol that read, write and run transactions, reconnect when their
 * connection ends, and note what they sent and were told.
 */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import type { Random } from '@egretyoke/common'
import { createLineReader } from '@egretyoke/platform/testing'
import { lastConfirmed } from './soak-record.js'
import type { CallerOutcome, SoakRecord } from './soak-record.js'

const answerTimeoutMs = 4000
const connectTimeoutMs = 2000
/** Codes that promise that nothing of the attempt is kept. */
const promises = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'CONNLIMIT'])
const maxPauseMs = 60
const itemCount = 50
/** Age that the routes allow. */
export const maxStalenessMs = 1500

/** What a caller is told of one statement; undefined: nothing. */
type Answer = { error: string, signature: string, rows: string[], state: string }

/** A caller's place in the run. */
export type SoakCallerOptions = {
  name: string
  route: string
  workspace: string
  key: string
  /** A gateway that the balancer would choose, as a port of the loopback address. */
  choosePort: () => number | undefined
  random: Random
  record: SoakRecord
}

/** A caller that runs until it is stopped. */
export type SoakCaller = { stop: () => Promise<void>, counts: () => { done: number, refused: number, unknown: number } }

type Connection = { ask: (line: string) => Promise<Answer | undefined>, close: () => void, isOpen: () => boolean }

const readAnswer = (lines: readonly string[]): Answer => {
  const answer: Answer = { error: '', signature: '', rows: [], state: 'I' }
  for (const line of lines) {
    const [word, first = ''] = line.split(' ')
    if (word === 'ROW') answer.rows.push(line.slice('ROW '.length))
    if (word === 'COMPLETE') answer.signature = first
    if (word === 'ERROR') answer.error = first
    if (word === 'READY') answer.state = first
  }
  return answer
}

/** Undefined when no session came about. */
const openConnection = (port: number, startLine: string): Promise<Connection | undefined> => new Promise(resolve => {
  const socket: Socket = connect({ host: '127.0.0.1', port, noDelay: true })
  const reader = createLineReader()
  let lines: string[] = []
  let settle: ((answer: Answer | undefined) => void) | undefined
  const finish = (answer: Answer | undefined) => {
    const waiting = settle
    settle = undefined
    lines = []
    waiting?.(answer)
  }
  const ask = async (line: string, timeoutMs = answerTimeoutMs) => {
    const timer = setTimeout(() => socket.destroy(), timeoutMs)
    const answer = new Promise<Answer | undefined>(resolve => { settle = resolve })
    if (socket.destroyed) finish(undefined)
    else socket.write(`${line}\r\n`)
    return await answer.finally(() => clearTimeout(timer))
  }
  socket.on('data', chunk => {
    for (const line of reader.push(chunk) ?? []) {
      lines.push(line)
      if (line.startsWith('READY')) finish(readAnswer(lines))
    }
  })
  socket.on('error', () => socket.destroy())
  socket.on('close', () => finish(lines.length > 0 ? readAnswer(lines) : undefined))
  ask(startLine, connectTimeoutMs).then(answer => {
    if (answer !== undefined && answer.error === '' && !socket.destroyed) {
      return resolve({ ask, close: () => socket.destroy(), isOpen: () => !socket.destroyed })
    }
    socket.destroy()
    resolve(undefined)
  })
})

const outcomeOf = (answer: Answer | undefined): CallerOutcome => {
  if (answer === undefined) return 'unknown'
  if (answer.error === '') return 'done'
  return promises.has(answer.error) ? 'nothingKept' : 'unknown'
}

/** Starts a caller. */
export const startSoakCaller = (options: SoakCallerOptions): SoakCaller => {
  const { name, route, workspace, key, choosePort, random, record } = options
  const counts = { done: 0, refused: 0, unknown: 0 }
  let isStopping = false
  let requests = 0
  let values = new Map<string, string>()
  /** Request ids of the session's own last confirmed write. */
  let ownWrite: readonly string[] = []

  const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))
  const item = () => `item-${random.integer(1, itemCount)}`
  const valuesText = () => [...values].sort().map(pair => pair.join('=')).join()

  const mustSee = (): readonly string[] => {
    const nowMs = performance.now()
    if (route === 'slots') return lastConfirmed(record, nowMs)
    const old = lastConfirmed(record, nowMs - maxStalenessMs)
    return route === 'ledger' ? [...old, ...ownWrite] : old
  }

  /** Sends a statement that a database runs; the text is the one that the database is to see. */
  const sendData = async (
    connection: Connection, text: string, transaction: string, seen = mustSee(), textAtDatabase = text
  ) => {
    const requestId = `${name}-${++requests}`
    record.sent.set(requestId, {
      text: textAtDatabase, workspace, sentMs: performance.now(), values: valuesText(), transaction, mustSee: seen
    })
    const answer = await connection.ask(`QUERY ${requestId} ${text}`)
    checkAnswer(requestId, text, answer)
    return { requestId, answer }
  }

  /** An answer has to be the one that a database gave to this statement. */
  const checkAnswer = (requestId: string, text: string, answer: Answer | undefined) => {
    if (answer === undefined || answer.error !== '') return
    if (!answer.signature.endsWith(`.${requestId}`)) record.breach('mixed', `${requestId} got ${answer.signature}`)
    const isRead = text.startsWith('READ')
    if (isRead && answer.rows.join() !== `of ${requestId}`) record.breach('mixed', `${requestId} got ${answer.rows}`)
  }

  const count = (outcome: CallerOutcome) => {
    if (outcome === 'done') counts.done++
    else if (outcome === 'nothingKept') counts.refused++
    else counts.unknown++
  }

  const noteWrite = (requestIds: string[], outcome: CallerOutcome) => {
    count(outcome)
    if (requestIds.length === 0) return
    record.writes.push({ requestIds, outcome, answeredMs: performance.now() })
    if (outcome === 'done') ownWrite = requestIds
  }

  /** Writes whose commit was never asked for may not be kept, whatever became of the last statement. */
  const endUncommitted = (requestIds: string[], outcome: CallerOutcome) => {
    record.writes.push({ requestIds, outcome: 'nothingKept', answeredMs: performance.now() })
    count(outcome)
  }

  const runSingle = async (connection: Connection) => {
    if (random.chance(0.6)) return count(outcomeOf((await sendData(connection, `READ ${item()}`, '')).answer))
    const { requestId, answer } = await sendData(connection, `WRITE ${item()} ${name}`, '')
    noteWrite([requestId], outcomeOf(answer))
  }

  const runPrepared = async (connection: Connection) => {
    const shape = `shape-${random.integer(0, 2)}`
    const local = `mine-${random.integer(0, 1)}`
    const prepared = await connection.ask(`QUERY - PREPARE ${local} READ ${shape}`)
    if (outcomeOf(prepared) !== 'done') return
    const operands = item()
    const textAtDatabase = `EXECUTE ${shape} ${operands}`
    const { answer } = await sendData(connection, `EXECUTE ${local} ${operands}`, '', mustSee(), textAtDatabase)
    count(outcomeOf(answer))
  }

  const setValue = async (connection: Connection) => {
    const value = `${random.integer(0, 2)}`
    if (outcomeOf(await connection.ask(`QUERY - SET zone ${value}`)) === 'done') values.set('zone', value)
  }

  const runTransaction = async (connection: Connection) => {
    const transaction = `${name}-t${requests}`
    const seen = mustSee()
    if (outcomeOf(await connection.ask('QUERY - BEGIN')) !== 'done') return
    const written: string[] = []
    for (let left = random.integer(1, 3); left > 0; left--) {
      const isWrite = random.chance(0.5)
      const text = isWrite ? `WRITE ${item()} ${name}` : `READ ${item()}`
      const { requestId, answer } = await sendData(connection, text, transaction, seen)
      const outcome = outcomeOf(answer)
      if (isWrite) written.push(requestId)
      if (outcome !== 'done') {
        endUncommitted(written, outcome)
        return connection.close()
      }
      await pause(random.integer(0, maxPauseMs))
    }
    if (random.chance(0.2)) {
      const answer = await connection.ask('QUERY - ROLLBACK')
      return endUncommitted(written, outcomeOf(answer))
    }
    // A commit is no statement of its own at the database's log: the writes carry the ids.
    const commit = await connection.ask(`QUERY ${name}-${++requests} COMMIT`)
    noteWrite(written, outcomeOf(commit))
  }

  const runOperation = async (connection: Connection) => {
    const kind = random.fraction()
    if (kind < 0.1) return await setValue(connection)
    if (kind < 0.2) return await runPrepared(connection)
    if (kind < 0.45) return await runTransaction(connection)
    await runSingle(connection)
  }

  const run = async () => {
    while (!isStopping) {
      const port = choosePort()
      const connection = port === undefined ? undefined : await openConnection(port, `START ${route} ${key}`)
      values = new Map()
      ownWrite = []
      if (connection === undefined) {
        await pause(100)
        continue
      }
      while (!isStopping && connection.isOpen()) {
        await runOperation(connection)
        await pause(random.integer(0, maxPauseMs))
      }
      connection.close()
    }
  }

  const running = run()
  return {
    counts: () => ({ ...counts }),
    stop: async () => {
      isStopping = true
      await running
    }
  }
}
