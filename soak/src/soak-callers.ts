/**
 * Simulated callers of a soak: sessions over the wire protocol that read, write and run transactions, reconnect when
 * their connection closes, and record the statements that they sent and the outcomes.
 */
import type { Random } from '@egretyoke/common'
import { openCallerConnection } from './caller-connection.js'
import type { StatementReply, CallerConnection } from './caller-connection.js'
import { lastConfirmedWrite } from './soak-record.js'
import type { CallerOutcome, SoakRecord } from './soak-record.js'

/** Error codes that guarantee that the statement had no effect. */
const noEffectCodes = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'CONNLIMIT'])
const maxPauseMs = 60
const itemCount = 50
/** Texts of prepared statements. Those with blanks must not be taken for other fields of a line. */
const preparedTexts = ['shape-0', 'shape-1 READ shape-0', 'shape-0 READ shape-1 '] as const
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

const outcomeOf = (reply: StatementReply | undefined): CallerOutcome => {
  if (reply === undefined) return 'unknown'
  if (reply.error === '') return 'done'
  return noEffectCodes.has(reply.error) ? 'nothingKept' : 'unknown'
}

/** Starts a caller; it connects and sends statements at random until it is stopped. */
export const startSoakCaller = (options: SoakCallerOptions): SoakCaller => {
  const { name, route, workspace, key, choosePort, random, record } = options
  const counts = { done: 0, refused: 0, unknown: 0 }
  let isStopping = false
  let requestCount = 0
  let sessionValues = new Map<string, string>()
  /** Request ids of the session's last confirmed write. */
  let lastOwnWrite: readonly string[] = []

  const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))
  const randomItem = () => `item-${random.integer(1, itemCount)}`
  const formatSessionValues = () => [...sessionValues].sort().map(pair => pair.join('=')).join()

  const requiredWrites = (): readonly string[] => {
    const nowMs = performance.now()
    if (route === 'slots') return lastConfirmedWrite(record, nowMs)
    const staleWrite = lastConfirmedWrite(record, nowMs - maxStalenessMs)
    return route === 'ledger' ? [...staleWrite, ...lastOwnWrite] : staleWrite
  }

  /** Sends and records a data statement. `textAtDatabase` is the text that the database has to receive. */
  const sendData = async (
    connection: CallerConnection, text: string, transaction: string, required = requiredWrites(), textAtDatabase = text
  ) => {
    const requestId = `${name}-${++requestCount}`
    record.sent.set(requestId, {
      text: textAtDatabase,
      workspace,
      sentMs: performance.now(),
      values: formatSessionValues(),
      transaction,
      mustSee: required
    })
    const reply = await connection.send(`QUERY ${requestId} ${text}`)
    checkReply(requestId, text, reply)
    return { requestId, reply }
  }

  /** Reports a breach when a successful reply belongs to another statement. */
  const checkReply = (requestId: string, text: string, reply: StatementReply | undefined) => {
    if (reply === undefined || reply.error !== '') return
    if (!reply.signature.endsWith(`.${requestId}`)) record.report('mixed', `${requestId} got ${reply.signature}`)
    const isRead = text.startsWith('READ')
    if (isRead && reply.rows.join() !== `of ${requestId}`) record.report('mixed', `${requestId} got ${reply.rows}`)
  }

  const count = (outcome: CallerOutcome) => {
    if (outcome === 'done') counts.done++
    else if (outcome === 'nothingKept') counts.refused++
    else counts.unknown++
  }

  const recordWrite = (requestIds: string[], outcome: CallerOutcome) => {
    count(outcome)
    if (requestIds.length === 0) return
    record.writes.push({ requestIds, outcome, receivedMs: performance.now() })
    if (outcome === 'done') lastOwnWrite = requestIds
  }

  /** Records that no write of a transaction without COMMIT may take effect, whatever its last statement's outcome. */
  const recordUncommitted = (requestIds: string[], outcome: CallerOutcome) => {
    record.writes.push({ requestIds, outcome: 'nothingKept', receivedMs: performance.now() })
    count(outcome)
  }

  const runSingle = async (connection: CallerConnection) => {
    if (random.chance(0.6)) return count(outcomeOf((await sendData(connection, `READ ${randomItem()}`, '')).reply))
    const { requestId, reply } = await sendData(connection, `WRITE ${randomItem()} ${name}`, '')
    recordWrite([requestId], outcomeOf(reply))
  }

  const runPrepared = async (connection: CallerConnection) => {
    const statement = preparedTexts[random.integer(0, preparedTexts.length - 1)]
    const localName = `mine-${random.integer(0, 1)}`
    const prepared = await connection.send(`QUERY - PREPARE ${localName} READ ${statement}`)
    if (outcomeOf(prepared) !== 'done') return
    const argument = randomItem()
    const textAtDatabase = `EXECUTE ${statement} ${argument}`
    const { reply } = await sendData(
      connection, `EXECUTE ${localName} ${argument}`, '', requiredWrites(), textAtDatabase
    )
    count(outcomeOf(reply))
  }

  const setSessionValue = async (connection: CallerConnection) => {
    const value = `${random.integer(0, 2)}`
    if (outcomeOf(await connection.send(`QUERY - SET zone ${value}`)) === 'done') sessionValues.set('zone', value)
  }

  const runTransaction = async (connection: CallerConnection) => {
    const transaction = `${name}-t${requestCount}`
    const required = requiredWrites()
    if (outcomeOf(await connection.send('QUERY - BEGIN')) !== 'done') return
    const written: string[] = []
    for (let remaining = random.integer(1, 3); remaining > 0; remaining--) {
      const isWrite = random.chance(0.5)
      const text = isWrite ? `WRITE ${randomItem()} ${name}` : `READ ${randomItem()}`
      const { requestId, reply } = await sendData(connection, text, transaction, required)
      const outcome = outcomeOf(reply)
      if (isWrite) written.push(requestId)
      if (outcome !== 'done') {
        recordUncommitted(written, outcome)
        return connection.close()
      }
      await pause(random.integer(0, maxPauseMs))
    }
    if (random.chance(0.2)) {
      const reply = await connection.send('QUERY - ROLLBACK')
      return recordUncommitted(written, outcomeOf(reply))
    }
    // COMMIT has no entry of its own in the database's log; the entries carry the request ids of the writes.
    const commit = await connection.send(`QUERY ${name}-${++requestCount} COMMIT`)
    recordWrite(written, outcomeOf(commit))
  }

  const runOperation = async (connection: CallerConnection) => {
    const kind = random.fraction()
    if (kind < 0.1) return await setSessionValue(connection)
    if (kind < 0.2) return await runPrepared(connection)
    if (kind < 0.45) return await runTransaction(connection)
    await runSingle(connection)
  }

  const run = async () => {
    while (!isStopping) {
      const port = choosePort()
      const connection = port === undefined ? undefined : await openCallerConnection(port, route, key)
      sessionValues = new Map()
      lastOwnWrite = []
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
