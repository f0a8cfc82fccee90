/**
 * The story of one request, gathered from the log lines of many processes: its own lines in order of time, and around
 * them what the processes that took part learned, lost or decided meanwhile.
 */
import { z } from 'zod'

const lineSchema = z.looseObject({ time: z.string(), vm: z.string(), event: z.number(), name: z.string() })

/** A line that a process of the platform wrote. */
export type LogLine = z.infer<typeof lineSchema> & { timeMs: number }

/** The story; `cause` says in words what the last own line names as the reason. */
export type RequestStory = { own: LogLine[], around: LogLine[], leftOut: number, cause: string }

/** How long before the first own line something may have happened that still decides. */
const beforeMs = 4000
const afterMs = 500
/** Lines of one kind of one VM that are shown around the request. */
const maxAlike = 4

/** Events that change what a process believes or may do. */
const beliefs: ReadonlySet<string> = new Set([
  'gatewayStarted', 'gatewayReady', 'gatewayDraining', 'storeLost', 'storeRegained', 'storeSourceChanged',
  'historyMissed', 'configurationInForce', 'configurationUnreadable', 'databaseKnown', 'evacuationKnown',
  'membershipLost', 'peerLost',
  'limitsClaimed', 'tokensShort', 'limitReached', 'groupRecordStored', 'primaryProbeFailed', 'noSuccessor',
  'primaryChangeBegun', 'primaryUsersStopped', 'promotionAsked', 'primaryInForce', 'primaryChangeLeft',
  'programStarted', 'programStopping', 'platformSilent', 'platformRefused', 'taskFailed'
])

/** Fields that say what a line is about. */
const subjects = ['database', 'group', 'workspace'] as const

const causeByReason: Readonly<Record<string, string>> = {
  busy: 'too many statements waited at the database',
  queuedTooLong: 'it waited for a slot of the database for as long as its route allows',
  lagging: 'the replica lacked a position that the read must see',
  readOnly: 'the database does not lead its group',
  moved: 'the primary was not surely in force here: contact, lease or group record had changed',
  unreachable: 'no connection to the database came about',
  transactionGone: 'the transaction had ended on its connection',
  failed: 'the database reports a failure',
  silent: 'the database did not answer in the time of the route',
  holderSilent: 'the way to the gateway that holds the connections was lost',
  answerLost: 'the answer was lost, and the statement must not run in a second transaction',
  keyUnknown: 'the key was not in the configuration in force',
  noSuchDatabase: 'no route in the configuration in force has the name',
  refused: 'the gateway had no sufficient contact with the store'
}

const parseLine = (text: string): LogLine | undefined => {
  const from = text.indexOf('{')
  if (from < 0) return undefined
  try {
    const parsed = lineSchema.safeParse(JSON.parse(text.slice(from)))
    if (!parsed.success) return undefined
    const timeMs = Date.parse(parsed.data.time)
    return Number.isNaN(timeMs) ? undefined : { ...parsed.data, timeMs }
  } catch {
    return undefined
  }
}

/** Reads the lines of log files; `unreadable` counts those that are none of the program's. */
export const readLogLines = (texts: readonly string[]): { lines: LogLine[], unreadable: number } => {
  const raw = texts.flatMap(text => text.split('\n')).filter(line => line.trim() !== '')
  const lines = raw.flatMap(line => parseLine(line) ?? [])
  return { lines, unreadable: raw.length - lines.length }
}

const causeOf = (own: readonly LogLine[]): string => {
  const last = own.at(-1)
  if (last === undefined) return ''
  if (last.name === 'limitRefused') return `the workspace ${last.workspace} had used up its limit`
  if (last.status === 'DONE') return 'it was done'
  return causeByReason[String(last.reason)] ?? `reason ${last.reason}`
}

/** Gathers the story of a request; without own lines it is empty. */
export const requestStory = (lines: readonly LogLine[], request: string): RequestStory => {
  const sorted = [...lines].sort((one, other) => one.timeMs - other.timeMs)
  const own = sorted.filter(line => line.request === request)
  const first = own[0]
  const last = own.at(-1)
  if (first === undefined || last === undefined) return { own, around: [], leftOut: 0, cause: '' }
  const vms = new Set(own.flatMap(line => [line.vm, ...(typeof line.holder === 'string' ? [line.holder] : [])]))
  const about = new Set<unknown>(own.flatMap(line => subjects.map(subject => line[subject])))
  about.delete(undefined)
  const isNear = ({ timeMs }: LogLine) => timeMs >= first.timeMs - beforeMs && timeMs <= last.timeMs + afterMs
  const concerns = (line: LogLine) => subjects.some(subject => about.has(line[subject])) ||
    (vms.has(line.vm) && subjects.every(subject => line[subject] === undefined))
  const related = sorted.filter(line => beliefs.has(line.name) && isNear(line) && concerns(line))
  const counts = new Map<string, number>()
  const around = related.filter(({ vm, name }) => {
    const count = (counts.get(`${vm} ${name}`) ?? 0) + 1
    counts.set(`${vm} ${name}`, count)
    return count <= maxAlike
  })
  return { own, around, leftOut: related.length - around.length, cause: causeOf(own) }
}
