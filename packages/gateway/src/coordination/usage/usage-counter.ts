/**
 * Counts the operations of each workspace that this gateway ran at databases as their holder, and those that other
 * holders ran for it. Counts are kept by monotonic time in short spans and assigned to windows when they are read, so
 * that a correction of the clock also applies to what was counted before it.
 */
import type { RelayMessages } from '@egretyoke/protocol'
import type { DatabaseReply } from '../connections/database-connection.js'
import type { StatementOutcome, StatementRequest } from '../sessions/statement.js'
import type { FleetClock } from './fleet-clock.js'
import { countedWorkspace, hasBegun, hasBegunAtHolder } from './operation.js'

/** Spans of a window; operations of the span at the edge of a window count in one of both. */
const spansPerWindow = 100
/** Windows for which counts are kept, so that a reporter can still collect them after an outage of the store. */
export const keptWindows = 18
/** Workspaces in one set of counts; further ones are not counted. */
const maxWorkspaces = 20_000

/** Counts by workspace. */
export type WorkspaceCounts = Map<string, number>
/** Operations of one window, as one gateway counted them. */
export type WindowCounts = { held: WorkspaceCounts, sent: Map<string, WorkspaceCounts> }

/** Counter of one gateway. */
export type UsageCounter = {
  /** Counts a statement that is being sent to a database. Returns a function that takes the database's reply. */
  countHeld: (request: StatementRequest) => ((reply: Pick<DatabaseReply, 'outcome'>) => void) | undefined
  /** Counts a statement that was forwarded at `forwardedAtMs` (monotonic) to the holder process, which replied. */
  countSent: (holder: string, request: StatementRequest, outcome: StatementOutcome, forwardedAtMs: number) => void
  read: (window: number) => WindowCounts
}

/** Adds a number to the count of a workspace. */
export const addCount = (counts: WorkspaceCounts, workspace: string, count: number): void => {
  if (!counts.has(workspace) && counts.size >= maxWorkspaces) return
  counts.set(workspace, (counts.get(workspace) ?? 0) + count)
}

const countsOf = (sent: Map<string, WorkspaceCounts>, holder: string): WorkspaceCounts => {
  const counts = sent.get(holder) ?? new Map<string, number>()
  sent.set(holder, counts)
  return counts
}

/** Creates an empty counter. */
export const createUsageCounter = (
  windowMs: number, clock: Pick<FleetClock, 'toMonotonicMs'>, monotonic: () => number
): UsageCounter => {
  const spanMs = windowMs / spansPerWindow
  const spans = new Map<number, WindowCounts>()

  const dropOld = () => {
    const oldest = Math.floor(monotonic() / spanMs) - keptWindows * spansPerWindow
    for (const span of spans.keys()) {
      if (span >= oldest) return
      spans.delete(span)
    }
  }

  const spanAt = (monotonicMs: number): WindowCounts => {
    const span = Math.floor(monotonicMs / spanMs)
    const existing = spans.get(span)
    if (existing !== undefined) return existing
    dropOld()
    const counts: WindowCounts = { held: new Map(), sent: new Map() }
    spans.set(span, counts)
    return counts
  }

  return {
    countHeld: request => {
      const workspace = countedWorkspace(request)
      if (workspace === undefined) return undefined
      const { held } = spanAt(monotonic())
      addCount(held, workspace, 1)
      return reply => { if (!hasBegun(reply)) addCount(held, workspace, -1) }
    },
    countSent: (holder, request, outcome, forwardedAtMs) => {
      const workspace = countedWorkspace(request)
      if (workspace === undefined || !hasBegunAtHolder(outcome)) return
      const sentAtMs = Math.min(monotonic(), forwardedAtMs + outcome.queuedMs)
      addCount(countsOf(spanAt(sentAtMs).sent, holder), workspace, 1)
    },
    read: window => {
      const first = Math.round(clock.toMonotonicMs(window * windowMs) / spanMs)
      const total: WindowCounts = { held: new Map(), sent: new Map() }
      for (let span = first; span < first + spansPerWindow; span++) {
        const counts = spans.get(span)
        for (const [workspace, count] of counts?.held ?? []) addCount(total.held, workspace, count)
        for (const [holder, sent] of counts?.sent ?? []) {
          for (const [workspace, count] of sent) addCount(countsOf(total.sent, holder), workspace, count)
        }
      }
      return total
    }
  }
}

const toWire = (counts: WorkspaceCounts): RelayMessages.WorkspaceCount[] =>
  [...counts].flatMap(([workspace, count]) => count > 0 ? [{ workspace, count }] : [])

/** Encodes the counts of a window for the reporter. */
export const encodeCounts = (
  window: number, { held, sent }: WindowCounts, wallMs: number
): RelayMessages.UsageCounts => ({
  window,
  held: toWire(held),
  sent: [...sent].map(([holder, counts]) => ({ holder, counts: toWire(counts) })),
  wallMs
})

const fromWire = (counts: readonly RelayMessages.WorkspaceCount__Output[]): WorkspaceCounts => {
  const decoded: WorkspaceCounts = new Map()
  for (const { workspace, count } of counts) addCount(decoded, workspace, count)
  return decoded
}

/** Decodes the counts of a window from another gateway. */
export const decodeCounts = ({ held, sent }: RelayMessages.UsageCounts__Output): WindowCounts => ({
  held: fromWire(held),
  sent: new Map(sent.map(({ holder, counts }) => [holder, fromWire(counts)]))
})
