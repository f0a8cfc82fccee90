/**
 * One member of a database group: its term, its role, and the replication of its log. The member takes no part in
 * elections: it obeys fence, promote and follow requests, and refuses those of older terms.
 */
import { monotonicMs } from '@egretyoke/common'
import type { MemberState } from '@egretyoke/fleet'
import { createDatabaseLog } from './database-log.js'
import type { LogEntry, TermStart } from './database-log.js'

/** Primary from which a replica pulls its log. */
export type Upstream = { name: string, address: string }

/** Log entries for a replica, which first removes its own entries after `truncateAfter`; -1 removes none. */
export type LogBatch = {
  term: number
  truncateAfter: number
  entries: LogEntry[]
  lineage: TermStart[]
}

/** Options of a member. */
export type MemberOptions = {
  name: string
  group: string
  memberCount: number
  firstPrimary: Upstream
}

/** Result of a control request; `reason` is empty when it was accepted. */
export type ControlResult = { accepted: boolean, reason: string }

type MajorityWaiter = { position: number, settle: (confirmed: boolean) => void }
type PendingApply = { position: number, dueMs: number }

const accepted: ControlResult = { accepted: true, reason: '' }
const refused = (reason: string): ControlResult => ({ accepted: false, reason })

/** A group member. */
export type DatabaseMember = ReturnType<typeof createDatabaseMember>

/** Creates a member in term 1, with an empty log. */
export const createDatabaseMember = (options: MemberOptions) => {
  const log = createDatabaseLog()
  const appendListeners = new Set<() => void>()
  const roleListeners = new Set<() => void>()
  const replicaPositions = new Map<string, number>()
  let term = 1
  /** Latest term whose lineage the log is known to match. */
  let dataTerm = 1
  let fencedTerm = 0
  let isPrimary = options.firstPrimary.name === options.name
  let upstream = options.firstPrimary
  let lineage: TermStart[] = [{ term: 1, startPosition: 0 }]
  let majorityWaiters: MajorityWaiter[] = []
  let pendingApplies: PendingApply[] = []
  let replicationLagMs = 0

  const notifyRoleListeners = () => {
    for (const listener of roleListeners) listener()
  }

  const canWrite = () => isPrimary && fencedTerm <= term

  const failMajorityWaiters = () => {
    const waiters = majorityWaiters
    majorityWaiters = []
    for (const waiter of waiters) waiter.settle(false)
  }

  const settleMajorityWaiters = () => {
    if (!canWrite()) return failMajorityWaiters()
    const positions = [log.receivedPosition(), ...replicaPositions.values()].sort((a, b) => b - a)
    const majorityCount = Math.floor(options.memberCount / 2) + 1
    const majorityPosition = positions[majorityCount - 1] ?? 0
    const settled = majorityWaiters.filter(waiter => waiter.position <= majorityPosition)
    majorityWaiters = majorityWaiters.filter(waiter => waiter.position > majorityPosition)
    for (const waiter of settled) waiter.settle(true)
  }

  /** Appends statements as one entry and applies it. Returns the entry's position. */
  const write = (statements: Buffer[]): number => {
    const position = log.receivedPosition() + 1
    log.append({ term, position, statements })
    log.applyUpTo(position)
    for (const listener of appendListeners) listener()
    settleMajorityWaiters()
    return position
  }

  /** Resolves to true once a majority has received the position; false on time-out or when the member cannot write. */
  const waitForMajority = (position: number, timeoutMs: number): Promise<boolean> => new Promise(resolve => {
    const timer = setTimeout(() => settle(false), timeoutMs)
    const waiter: MajorityWaiter = { position, settle: confirmed => settle(confirmed) }
    const settle = (confirmed: boolean) => {
      clearTimeout(timer)
      majorityWaiters = majorityWaiters.filter(other => other !== waiter)
      resolve(confirmed)
    }
    majorityWaiters.push(waiter)
    settleMajorityWaiters()
  })

  const fence = (fenceTerm: number): ControlResult => {
    if (fenceTerm < fencedTerm) return refused(`fenced at term ${fencedTerm}`)
    fencedTerm = fenceTerm
    if (fenceTerm > term) failMajorityWaiters()
    notifyRoleListeners()
    return accepted
  }

  const promote = (newTerm: number): ControlResult => {
    if (isPrimary && term === newTerm) return accepted
    if (newTerm < fencedTerm || newTerm <= term) return refused(`term ${term}, fenced at ${fencedTerm}`)
    log.applyUpTo(log.receivedPosition())
    pendingApplies = []
    term = newTerm
    dataTerm = newTerm
    fencedTerm = newTerm
    isPrimary = true
    replicaPositions.clear()
    const ownStart = { term: newTerm, startPosition: log.receivedPosition() }
    lineage = [...lineage.filter(start => start.term < newTerm), ownStart]
    notifyRoleListeners()
    return accepted
  }

  const follow = (newTerm: number, primary: Upstream): ControlResult => {
    if (newTerm < fencedTerm || newTerm < term) return refused(`term ${term}, fenced at ${fencedTerm}`)
    if (isPrimary && newTerm === term) return refused('primary of this term')
    const isUnchanged = !isPrimary && newTerm === term && upstream.name === primary.name
    term = newTerm
    isPrimary = false
    upstream = primary
    failMajorityWaiters()
    if (!isUnchanged) notifyRoleListeners()
    return accepted
  }

  /** Returns the position after which a replica has to truncate its log, given the log's last entry. */
  const findTruncationPosition = (receivedPosition: number, lastEntryTerm: number): number => {
    const nextStart = lineage.find(start => start.term > lastEntryTerm)
    const sharedEnd = nextStart ? nextStart.startPosition : log.receivedPosition()
    return Math.min(receivedPosition, sharedEnd)
  }

  /** Records the position that a replica has received. Ignores replicas of another term. */
  const recordReplica = (name: string, replicaTerm: number, position: number) => {
    if (replicaTerm !== term || !canWrite()) return
    replicaPositions.set(name, position)
    settleMajorityWaiters()
  }

  /** Appends a batch from the primary. Returns false on a primary, and when the batch's term is another or fenced. */
  const appendBatch = (batch: LogBatch): boolean => {
    if (isPrimary || batch.term !== term || batch.term < fencedTerm) return false
    if (batch.truncateAfter >= 0) log.truncateAfter(batch.truncateAfter)
    for (const entry of batch.entries) {
      if (entry.position === log.receivedPosition() + 1) log.append(entry)
    }
    lineage = batch.lineage
    dataTerm = batch.term
    pendingApplies.push({ position: log.receivedPosition(), dueMs: monotonicMs() + replicationLagMs })
    applyDueEntries()
    return true
  }

  const applyDueEntries = () => {
    const nowMs = monotonicMs()
    while (pendingApplies.length > 0 && pendingApplies[0].dueMs <= nowMs) {
      log.applyUpTo(pendingApplies.shift()!.position)
    }
  }

  const setReplicationLag = (lagMs: number) => {
    replicationLagMs = lagMs
  }

  const state = (): MemberState => ({
    name: options.name,
    group: options.group,
    term,
    isPrimary: canWrite(),
    fencedTerm,
    receivedPosition: log.receivedPosition(),
    appliedPosition: log.appliedPosition(),
    lastEntryTerm: log.lastEntryTerm(),
    primaryName: isPrimary ? options.name : upstream.name,
    lineage,
    leaving: false
  })

  return {
    log,
    state,
    write,
    waitForMajority,
    fence,
    promote,
    follow,
    findTruncationPosition,
    recordReplica,
    appendBatch,
    applyDueEntries,
    setReplicationLag,
    canWrite,
    /** Term and applied position of the data that reads currently see. */
    dataPosition: () => ({ term: dataTerm, position: log.appliedPosition() }),
    term: () => term,
    upstream: () => upstream,
    canFollow: () => !isPrimary && fencedTerm <= term,
    onAppend: (listener: () => void) => {
      appendListeners.add(listener)
      return () => appendListeners.delete(listener)
    },
    onRoleChange: (listener: () => void) => {
      roleListeners.add(listener)
      return () => roleListeners.delete(listener)
    }
  }
}
