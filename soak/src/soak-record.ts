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
  answeredMs: number
}

/** A statement that a database ran. */
export type RunStatement = {
  database: string
  connection: number
  workspace: string
  requestId: string
  text: string
  values: string
  /** Number of the transaction, unique within the group; 0 outside a transaction. */
  transaction: number
  /** Request id of a write that the statement had to see but the database's log lacked; empty if there is none. */
  lacked: string
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
  ran: RunStatement[]
  writes: CallerWrite[]
  /** Times at which keys were withdrawn, by workspace, on the monotonic clock. */
  withdrawnMs: Map<string, number>
  breaches: Breach[]
  breach: (promise: string, detail: string) => void
}

/** Later breaches are dropped, because they usually follow from the first ones. */
const maxBreaches = 50

/** Creates an empty record. */
export const createSoakRecord = (): SoakRecord => {
  const breaches: Breach[] = []
  return {
    sent: new Map(),
    ran: [],
    writes: [],
    withdrawnMs: new Map(),
    breaches,
    breach: (promise, detail) => { if (breaches.length < maxBreaches) breaches.push({ promise, detail }) }
  }
}

/** State of the databases at the end: request ids in the surviving log, and those that promotions truncated. */
export type FinalLogs = { kept: readonly string[], cutBack: ReadonlySet<string> }

const checkWrites = ({ writes, breach }: SoakRecord, { kept, cutBack }: FinalLogs) => {
  const counts = new Map<string, number>()
  for (const requestId of kept) counts.set(requestId, (counts.get(requestId) ?? 0) + 1)
  for (const [requestId, count] of counts) if (count > 1) breach('twice', `${requestId} took effect ${count} times`)
  for (const { requestIds, outcome } of writes) {
    const found = requestIds.filter(requestId => counts.has(requestId))
    if (outcome === 'nothingKept' && found.length > 0) breach('refused', `${found.join()} is kept`)
    const missing = requestIds.filter(requestId => !counts.has(requestId) && !cutBack.has(requestId))
    if (outcome === 'done' && missing.length > 0) breach('lost', `${missing.join()} was confirmed and is gone`)
  }
}

/** Request ids of the last write of any caller that was confirmed no later than the given time. */
export const lastConfirmed = ({ writes }: SoakRecord, beforeMs: number): readonly string[] =>
  writes.findLast(({ outcome, answeredMs }) => outcome === 'done' && answeredMs <= beforeMs)?.requestIds ?? []

const checkReads = ({ ran, breach }: SoakRecord, { cutBack }: FinalLogs) => {
  for (const { requestId, lacked, database } of ran) {
    if (lacked !== '' && !cutBack.has(lacked)) breach('stale', `${requestId} ran on ${database} without ${lacked}`)
  }
}

const checkRunStatements = ({ sent, ran, withdrawnMs, breach }: SoakRecord, keyWithdrawalMs: number) => {
  const connectionOf = new Map<string, string>()
  for (const statement of ran) {
    const { requestId, text, workspace, values, database, connection, transaction } = statement
    const asked = sent.get(requestId)
    if (asked === undefined || asked.text !== text || asked.workspace !== workspace) {
      breach('unasked', `${database} ran ${requestId} "${text}" for ${workspace}`)
      continue
    }
    if (asked.values !== values) breach('pinned', `${requestId} ran with values "${values}"`)
    if ((asked.transaction !== '') !== (transaction !== 0)) breach('pinned', `${requestId}: transaction ${transaction}`)
    const place = `${database} ${connection} ${transaction}`
    if (asked.transaction !== '' && (connectionOf.get(asked.transaction) ?? place) !== place) {
      breach('pinned', `${requestId} ran on another connection than its transaction`)
    }
    connectionOf.set(asked.transaction, place)
    const withdrawn = withdrawnMs.get(workspace) ?? Infinity
    if (asked.sentMs > withdrawn + keyWithdrawalMs) breach('withdrawn key', `${requestId} ran for ${workspace}`)
  }
}

/** Checks the record of a finished run and adds the breaches that it finds. */
export const checkSoakRecord = (record: SoakRecord, logs: FinalLogs, keyWithdrawalMs: number): void => {
  checkWrites(record, logs)
  checkReads(record, logs)
  checkRunStatements(record, keyWithdrawalMs)
}
