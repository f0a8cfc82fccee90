/**
 * The timeline of one request, from the log lines of several processes: the lines of the request in order of time, and
 * state changes of the processes involved at that time.
 */
import type { LogLine } from './log-files.js'

/** Timeline of a request: its own lines, related lines, and the reason of its last line as a sentence (`cause`). */
export type RequestTimeline = { own: LogLine[], around: LogLine[], leftOut: number, cause: string }

/** Time before the first line of the request in which state changes count as related to it. */
const contextBeforeMs = 4000
const contextAfterMs = 500
/** Maximum number of related lines that are shown for one event of one VM. */
const maxLinesPerEvent = 4

/** Events that change a process's state or permissions. */
const stateEvents: ReadonlySet<string> = new Set([
  'gatewayStarted', 'gatewayReady', 'gatewayDraining', 'storeLost', 'storeRegained', 'storeSourceChanged',
  'historyMissed', 'configurationInForce', 'configurationUnreadable', 'databaseKnown', 'evacuationKnown',
  'membershipLost', 'peerLost',
  'limitsClaimed', 'tokensShort', 'limitReached', 'groupRecordStored', 'primaryProbeFailed', 'noSuccessor',
  'primaryChangeBegun', 'primaryUsersStopped', 'promotionAsked', 'primaryInForce', 'primaryChangeLeft',
  'programStarted', 'programStopping', 'platformSilent', 'platformRefused', 'taskFailed'
])

/** Events about a request's connection, which name no outcome. */
const connectionEvents: ReadonlySet<string> = new Set(['statementPrepared', 'commandDeclined', 'connectionShared'])

/** Fields that name the subject of a line. */
const subjectFields = ['database', 'group', 'workspace'] as const

const causeByReason: Readonly<Record<string, string>> = {
  busy: 'too many statements were queued at the database',
  queuedTooLong: 'it was queued at the database for as long as its route allows',
  lagging: 'the replica had not reached the log position that the read requires',
  readOnly: 'the database is not the primary of its group',
  moved: 'the primary was not confirmed to be in force here: contact, lease or group record had changed',
  unreachable: 'no connection to the database could be opened',
  transactionGone: 'the transaction had ended on its connection',
  failed: 'the database reported an error',
  silent: 'the database did not answer within the timeout of the route',
  holderSilent: 'the link to the gateway that holds the connections was lost',
  answerLost: 'the reply was lost, and the statement must not be retried in a second transaction',
  keyUnknown: 'the key was not in the configuration in force',
  noSuchDatabase: 'no route in the configuration in force has this name',
  refused: 'the gateway had not been in contact with the store recently enough'
}

const causeOf = (own: readonly LogLine[]): string => {
  // Clocks of VMs differ: a line about the connection may be the last one.
  const last = own.findLast(({ name }) => !connectionEvents.has(name))
  if (last === undefined) return ''
  if (last.name === 'limitRefused') return `the workspace ${last.workspace} had exhausted its limit`
  if (last.status === 'DONE') return 'the request succeeded'
  return causeByReason[String(last.reason)] ?? `reason ${last.reason}`
}

/** Builds the timeline of a request; it is empty when no line belongs to the request. */
export const requestTimeline = (lines: readonly LogLine[], request: string): RequestTimeline => {
  const sorted = [...lines].sort((one, other) => one.timeMs - other.timeMs)
  const own = sorted.filter(line => line.request === request)
  const first = own[0]
  const last = own.at(-1)
  if (first === undefined || last === undefined) return { own, around: [], leftOut: 0, cause: '' }
  const vms = new Set(own.flatMap(line => [line.vm, ...(typeof line.holder === 'string' ? [line.holder] : [])]))
  const subjectValues = new Set<unknown>(own.flatMap(line => subjectFields.map(subject => line[subject])))
  subjectValues.delete(undefined)
  const isInContext = ({ timeMs }: LogLine) =>
    timeMs >= first.timeMs - contextBeforeMs && timeMs <= last.timeMs + contextAfterMs
  const isRelated = (line: LogLine) => subjectFields.some(subject => subjectValues.has(line[subject])) ||
    (vms.has(line.vm) && subjectFields.every(subject => line[subject] === undefined))
  const related = sorted.filter(line => stateEvents.has(line.name) && isInContext(line) && isRelated(line))
  const counts = new Map<string, number>()
  const around = related.filter(({ vm, name }) => {
    const count = (counts.get(`${vm} ${name}`) ?? 0) + 1
    counts.set(`${vm} ${name}`, count)
    return count <= maxLinesPerEvent
  })
  return { own, around, leftOut: related.length - around.length, cause: causeOf(own) }
}
