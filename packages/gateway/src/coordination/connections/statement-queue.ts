/**
 * Order of the statements that wait for one database.
 *
 * Load pattern: a database with too little room, while one workspace sends many times its usual and reads fill a
 * primary. Statements that only this database can run are served before reads that a replica could serve, each by
 * priority; of the statements taken while others wait, a fixed part goes to the others, so that none is starved.
 * Within a priority, workspaces are served by deficit round robin, and the statements of a workspace by time left.
 * Statements whose workspace has an idle connection are preferred within their priority, but not always: opening a
 * connection takes a slot for as long as a short statement. While others wait, a workspace runs on at most half of the
 * slots: otherwise its long statements would keep them all.
 */
import { createFairQueue } from '@egretyoke/limits'
import type { DropReason, FairQueue, QueueRefusal } from '@egretyoke/limits'
import type { Result, TypedError } from '@egretyoke/common'
import { createSlotUse } from './slot-use.js'
import type { StatementRequest } from '../sessions/statement.js'

const maxQueuedPerBand = 256
/** Number of priorities with their own order; those beyond the last one share it. */
export const priorityCount = 3
/** One in this many statements is taken from a band that is not the first one in which statements wait. */
const otherBandsEvery = 8

/** Statements that may be preferred in succession because their workspace has an idle connection. */
const maxPreferred = 4

/** A statement that waits, with its request. */
export type WaitingStatement = { request: StatementRequest }

/** Statements that wait for one database. */
export type StatementQueue<Statement extends WaitingStatement> = {
  /** Adds a statement, which is dropped at the deadline. */
  push: (statement: Statement, deadlineMs: number) => Result<void, TypedError<QueueRefusal>>
  /** Removes and returns the statement that is served next. */
  pop: () => Statement | undefined
  /** Charges the difference between a statement's actual and estimated slot time to its workspace. */
  charge: (request: StatementRequest, deltaMs: number) => void
  /**
   * Slot time of the statements that are served before a new one: of the waiting ones, and of more urgent ones that are
   * expected to arrive meanwhile.
   */
  aheadMs: (request: StatementRequest, deadlineMs: number) => number
  size: () => number
  /** Number of waiting statements by priority. */
  sizes: () => number[]
  dropExpired: () => void
  close: () => void
}

/** Dependencies of a statement queue. */
export type StatementQueueOptions<Statement> = {
  onDropped: (statement: Statement, reason: DropReason) => void
  /** Slot time of a statement, as estimated now. */
  serviceMs: (request: StatementRequest) => number
  /** Number of statements of a workspace that run now. */
  runningOf: (workspace: string) => number
  /** False while no connection can be had for the workspace. */
  canStart?: (workspace: string) => boolean
  /** True if the workspace has an idle connection. */
  isReady?: (workspace: string) => boolean
  /** Number of statements that may run at once. */
  limit: () => number
  nowMs: () => number
}

/** True if no other database of the group could run the statement: it writes, or its data must be the primary's. */
export const needsThisDatabase = ({ needsPrimary, access, transaction, maxStalenessMs }: StatementRequest): boolean =>
  needsPrimary && (access === 'WRITE' || transaction === 'OPEN_READ_WRITE' || maxStalenessMs === 0)

/** Index of the statement's band; lower ones are served first. */
const bandOf = (request: StatementRequest) =>
  (needsThisDatabase(request) ? 0 : priorityCount) + Math.min(request.priority, priorityCount - 1)

/** Creates an empty queue. */
export const createStatementQueue = <Statement extends WaitingStatement>(
  options: StatementQueueOptions<Statement>
): StatementQueue<Statement> => {
  const { onDropped, serviceMs, runningOf, limit, nowMs, canStart = () => true, isReady = () => true } = options
  const bands: Array<FairQueue<Statement>> = Array.from({ length: 2 * priorityCount }, () =>
    createFairQueue<Statement>({
      maxQueued: maxQueuedPerBand, maxQueuedPerWorkspace: maxQueuedPerBand, order: 'deadline', onDropped, clock: nowMs
    }))
  /** Number of the latest statement that was taken from each band. */
  const lastTaken = bands.map(() => 0)
  const slotUse = createSlotUse(bands.length, nowMs)
  let taken = 0
  let takenFromFirst = 0
  let preferred = 0

  const hasRoom = (workspace: string) =>
    canStart(workspace) && runningOf(workspace) < Math.max(1, Math.ceil(limit() / 2))

  const popReady = (band: FairQueue<Statement>) => {
    if (preferred >= maxPreferred) return undefined
    return band.pop(workspace => isReady(workspace) && hasRoom(workspace))
  }

  /** Slots are not left free for a bound: if all waiting workspaces have reached it, it does not apply. */
  const popFrom = (band: FairQueue<Statement>) => {
    const ready = popReady(band)
    preferred = ready === undefined ? 0 : preferred + 1
    return ready ?? band.pop(hasRoom) ?? band.pop(canStart)
  }

  const waitingBands = () => bands.flatMap((band, index) => band.size() > 0 ? [index] : [])

  /** Among the bands that are not the first, the one from which a statement was taken longest ago has the turn. */
  const isTurnBefore = (one: number, other: number) =>
    lastTaken[one] < lastTaken[other] || (lastTaken[one] === lastTaken[other] && one < other)

  const nextBand = ([first, ...others]: readonly number[]) => {
    const isTurnOfOthers = others.length > 0 && takenFromFirst >= otherBandsEvery - 1
    return isTurnOfOthers ? others.reduce((one, other) => isTurnBefore(other, one) ? other : one) : first
  }

  const pop = () => {
    const waiting = waitingBands()
    if (waiting.length === 0) return undefined
    const next = nextBand(waiting)!
    // The other bands follow for the case that no statement of the next one can start.
    for (const index of [next, ...waiting.filter(other => other !== next)]) {
      const statement = popFrom(bands[index])
      if (statement === undefined) continue
      lastTaken[index] = ++taken
      slotUse.record(index, serviceMs(statement.request))
      takenFromFirst = waiting.length > 1 && index === waiting[0] ? takenFromFirst + 1 : 0
      return statement
    }
    return undefined
  }

  const costOf = ({ request }: Statement) => serviceMs(request)

  const aheadMs = (request: StatementRequest, deadlineMs: number) => {
    const index = bandOf(request)
    const cost = serviceMs(request)
    const { workspace } = request
    const ownMs = bands[index].costAhead({ workspace, cost, deadlineMs }, costOf)
    const waitingBefore = bands.slice(0, index).filter(band => band.size() > 0)
    if (waitingBefore.length + ownMs === 0) return 0
    const beforeMs = waitingBefore.reduce((sum, band) => sum + band.costAhead(endOfBand, costOf), 0)
    // The band gets its turn among those that are not the first, however much waits in these.
    const rivals = waitingBands().filter(other => other !== index).slice(1)
    const turnsBefore = rivals.filter(other => isTurnBefore(other, index)).length
    const byTurnsMs = otherBandsEvery * (ownMs * (rivals.length + 1) + cost * (turnsBefore + 1))
    const partLeft = 1 - slotUse.slotsBefore(index) / limit()
    return Math.min((beforeMs + ownMs) / Math.max(1 / otherBandsEvery, partLeft), byTurnsMs)
  }

  const sizes = () => Array.from({ length: priorityCount }, (_, priority) =>
    bands[priority].size() + bands[priority + priorityCount].size())

  return {
    push: (statement, deadlineMs) => {
      const { request } = statement
      const options = { workspace: request.workspace, weight: 1, cost: serviceMs(request), deadlineMs }
      return bands[bandOf(request)].push(statement, options)
    },
    pop,
    charge: (request, deltaMs) => bands[bandOf(request)].charge(request.workspace, deltaMs),
    aheadMs,
    size: () => bands.reduce((sum, band) => sum + band.size(), 0),
    sizes,
    dropExpired: () => { for (const band of bands) band.dropExpired() },
    close: () => { for (const band of bands) band.close() }
  }
}

/** Stands for an item behind all others of a band. */
const endOfBand = { workspace: '', cost: Infinity, deadlineMs: Infinity }
