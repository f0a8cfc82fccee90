/**
 * Simulated callers of a soak: sessions over the wire protocol that read, write and run transactions, reconnect when
 * their connection closes, and record the statements that they sent and the outcomes.
 */
import type { Random } from '@egretyoke/common'
import { openCallerConnection } from './caller-connection.js'
import type { CallerAnswer, CallerConnection } from './caller-connection.js'
import { lastConfirmed } from './soak-record.js'
import type { CallerOutcome, SoakRecord } from './soak-record.js'

/** Error codes that guarantee that the statement had no effect. */
const promises = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'CONNLIMIT'])
const maxPauseMs = 60
const itemCount = 50
/** Maximum replica staleness that the soak's non-primary routes allow. */
export const maxStalenessMs = 1500

/** Options of a caller. */
export type SoakCallerOptions = {
  name: string
  route: string
  workspace: string
  key: string
  /** Loopback port of a gateway in rotation; undefined when there is none. */
  choosePort: () => number | undefined
  random: Random
  record: SoakRecord
}

/** A caller that runs until it is stopped. Counts are of statements and transactions. */
export type SoakCaller = { stop: () => Promise<void>, counts: () => { done: number, refused: number, unknown: number } }

const outcomeOf = (answer: CallerAnswer | undefined): CallerOutcome => {
  if (answer === undefined) return 'unknown'
  if (answer.error === '') return 'done'
  return promises.has(answer.error) ? 'nothingKept' : 'unknown'
}

/** Starts a caller; it connects and sends statements at random until it is stopped. */
export const startSoakCaller = (options: SoakCallerOptions): SoakCaller => {
  const { name, route, workspace, key, choosePort, random, record } = options
  const counts = { done: 0, refused: 0, unknown: 0 }
  let isStopping = false
  let requests = 0
  let values = new Map<string, string>()
  /** Request ids of the session's last confirmed write. */
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

  /** Sends and records a data statement. `textAtDatabase` is the text that the database has to receive. */
  const sendData = async (
    connection: CallerConnection, text: string, transaction: string, seen = mustSee(), textAtDatabase = text
  ) => {
    const requestId = `${name}-${++requests}`
    record.sent.set(requestId, {
      text: textAtDatabase, workspace, sentMs: performance.now(), values: valuesText(), transaction, mustSee: seen
    })
    const answer = await connection.ask(`QUERY ${requestId} ${text}`)
    checkAnswer(requestId, text, answer)
    return { requestId, answer }
  }

  /** Reports a breach when a successful reply belongs to another statement. */
  const checkAnswer = (requestId: string, text: string, answer: CallerAnswer | undefined) => {
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

  /** Without a COMMIT no write of the transaction may take effect, whatever the outcome of the last statement. */
  const endUncommitted = (requestIds: string[], outcome: CallerOutcome) => {
    record.writes.push({ requestIds, outcome: 'nothingKept', answeredMs: performance.now() })
    count(outcome)
  }

  const runSingle = async (connection: CallerConnection) => {
    if (random.chance(0.6)) return count(outcomeOf((await sendData(connection, `READ ${item()}`, '')).answer))
    const { requestId, answer } = await sendData(connection, `WRITE ${item()} ${name}`, '')
    noteWrite([requestId], outcomeOf(answer))
  }

  const runPrepared = async (connection: CallerConnection) => {
    const shape = `shape-${random.integer(0, 2)}`
    const local = `mine-${random.integer(0, 1)}`
    const prepared = await connection.ask(`QUERY - PREPARE ${local} READ ${shape}`)
    if (outcomeOf(prepared) !== 'done') return
    const operands = item()
    const textAtDatabase = `EXECUTE ${shape} ${operands}`
    const { answer } = await sendData(connection, `EXECUTE ${local} ${operands}`, '', mustSee(), textAtDatabase)
    count(outcomeOf(answer))
  }

  const setValue = async (connection: CallerConnection) => {
    const value = `${random.integer(0, 2)}`
    if (outcomeOf(await connection.ask(`QUERY - SET zone ${value}`)) === 'done') values.set('zone', value)
  }

  const runTransaction = async (connection: CallerConnection) => {
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
    // COMMIT has no entry of its own in the database's log; the entries carry the request ids of the writes.
    const commit = await connection.ask(`QUERY ${name}-${++requests} COMMIT`)
    noteWrite(written, outcomeOf(commit))
  }

  const runOperation = async (connection: CallerConnection) => {
    const kind = random.fraction()
    if (kind < 0.1) return await setValue(connection)
    if (kind < 0.2) return await runPrepared(connection)
    if (kind < 0.45) return await runTransaction(connection)
    await runSingle(connection)
  }

  const run = async () => {
    while (!isStopping) {
      const port = choosePort()
      const connection = port === undefined ? undefined : await openCallerConnection(port, route, key)
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
