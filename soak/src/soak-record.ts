/**
 * Record of the statements that callers sent and databases ran during a soak, and the checks of egretyoke's guarantees
 * against it.
 */

/** Outcome of a statement as its caller saw it. `unknown`: no reply, or an error that does not exclude an effect. */
export type CallerOutcome = 'done' | 'nothingKept' | 'unknown'

/** One write of a caller: a single statement, or the writes of one transaction. */
export type CallerWrite = {
  /** Request ids of the writes; unique within a run. */
  requestIds: string[]
  outcome: CallerOutcome
  receivedMs: number
}

/** A statement that a database ran. */
export type ExecutedStatement = {
  database: string
  connection: number
  workspace: string
  requestId: string
  text: string
  values: string
  /** Number of the transaction, unique within the group; 0 outside a transaction. */
  transaction: number
  /** Request id of a write that the statement had to see but the database's log lacked; empty if there is none. */
  missing: string
}

/** A statement that a caller sent. */
export type SentStatement = {
  text: string
  workspace: string
  sentMs: number
  values: string
  /** Name of the caller's transaction; empty outside a transaction. */
  transaction: string
  /** Request ids of confirmed writes that the statement has to see. */
  mustSee: readonly string[]
}

/** Violation of a guarantee: the name of the guarantee and what happened. */
export type Breach = { promise: string, detail: string }

/** Record of a run. */
export type SoakRecord = {
  sent: Map<string, SentStatement>
  executed: ExecutedStatement[]
  writes: CallerWrite[]
  /** Times at which keys were withdrawn, by workspace, on the monotonic clock. */
  keyWithdrawnAtMs: Map<string, number>
  breaches: Breach[]
  report: (promise: string, detail: string) => void
}

/** Maximum number of recorded breaches; later ones usually follow from the first and are dropped. */
const maxBreaches = 50

/** Creates an empty record. */
export const createSoakRecord = (): SoakRecord => {
  const breaches: Breach[] = []
  return {
    sent: new Map(),
    executed: [],
    writes: [],
    keyWithdrawnAtMs: new Map(),
    breaches,
    report: (promise, detail) => { if (breaches.length < maxBreaches) breaches.push({ promise, detail }) }
  }
}

/** State of the databases at the end: request ids in the surviving log, and those that promotions dropped. */
export type FinalLogs = { kept: readonly string[], dropped: ReadonlySet<string> }

const checkWrites = ({ writes, report }: SoakRecord, { kept, dropped }: FinalLogs) => {
  const counts = new Map<string, number>()
  for (const requestId of kept) counts.set(requestId, (counts.get(requestId) ?? 0) + 1)
  for (const [requestId, count] of counts) if (count > 1) report('twice', `${requestId} took effect ${count} times`)
  for (const { requestIds, outcome } of writes) {
    const found = requestIds.filter(requestId => counts.has(requestId))
    if (outcome === 'nothingKept' && found.length > 0) report('refused', `${found.join()} is kept`)
    const missing = requestIds.filter(requestId => !counts.has(requestId) && !dropped.has(requestId))
    if (outcome === 'done' && missing.length > 0) report('lost', `${missing.join()} was confirmed and is gone`)
  }
}

/** Request ids of the last write of any caller that was confirmed no later than the given time. */
export const lastConfirmedWrite = ({ writes }: SoakRecord, beforeMs: number): readonly string[] =>
  writes.findLast(({ outcome, receivedMs }) => outcome === 'done' && receivedMs <= beforeMs)?.requestIds ?? []

const checkReads = ({ executed, report }: SoakRecord, { dropped }: FinalLogs) => {
  for (const { requestId, missing, database } of executed) {
    if (missing !== '' && !dropped.has(missing)) report('stale', `${requestId} ran on ${database} without ${missing}`)
  }
}

const checkExecutedStatements = (
  { sent, executed, keyWithdrawnAtMs, report }: SoakRecord, keyWithdrawalMs: number
) => {
  const connectionByTransaction = new Map<string, string>()
  for (const statement of executed) {
    const { requestId, text, workspace, values, database, connection, transaction } = statement
    const query = sent.get(requestId)
    if (query === undefined || query.text !== text || query.workspace !== workspace) {
      report('unasked', `${database} ran ${requestId} "${text}" for ${workspace}`)
      continue
    }
    if (query.values !== values) report('pinned', `${requestId} ran with values "${values}"`)
    if ((query.transaction !== '') !== (transaction !== 0)) report('pinned', `${requestId}: transaction ${transaction}`)
    const connectionKey = `${database} ${connection} ${transaction}`
    if (query.transaction !== '' &&
      (connectionByTransaction.get(query.transaction) ?? connectionKey) !== connectionKey) {
      report('pinned', `${requestId} ran on another connection than its transaction`)
    }
    connectionByTransaction.set(query.transaction, connectionKey)
    const withdrawnAtMs = keyWithdrawnAtMs.get(workspace) ?? Infinity
    if (query.sentMs > withdrawnAtMs + keyWithdrawalMs) report('withdrawn key', `${requestId} ran for ${workspace}`)
  }
}

/** Checks the record of a finished run and adds the breaches that it finds. */
export const checkSoakRecord = (record: SoakRecord, logs: FinalLogs, keyWithdrawalMs: number): void => {
  checkWrites(record, logs)
  checkReads(record, logs)
  checkExecutedStatements(record, keyWithdrawalMs)
}
