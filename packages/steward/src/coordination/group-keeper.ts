/**
 * Monitors one group while this steward holds the group's lease: creates the first record, detects failures of the
 * primary, runs promotions and planned handovers, and repairs members that follow the wrong primary.
 */
import { monotonicMs, ticks } from '@egretyoke/common'
import type { Clock, Logger } from '@egretyoke/common'
import type { Group, GroupRecord, Roster } from '@egretyoke/config'
import type { StewardMetrics } from '../metrics.js'
import type { StewardSettings } from '../settings.js'
import { events } from '../events.js'
import { pollEntries, createConditionTimer, isActivePrimary } from './detection.js'
import { majorityOf } from './promotion-calls.js'
import type { PromotionCalls, PromotionMember, PromotionTask, StoredGroup } from './promotion-calls.js'
import { promote } from './promotion.js'
import { repairMembers } from './repair.js'
import { maxSuccessorLagEntries, readMemberStates, readySuccessors } from './successor.js'
import type { MemberStates } from './successor.js'

/** Delay before a planned handover is tried again when the outgoing primary was promoted once more. */
const handoverRetryDelayMs = 1_000

/** Dependencies of the monitor of a group. */
export type GroupMonitorOptions = {
  group: string
  /** The group's configuration; undefined after the group has been removed from it. */
  config: () => Group | undefined
  /** The group's record in this steward's local copy, which may lag behind the store. */
  storedGroup: () => StoredGroup
  roster: () => Roster | undefined
  members: () => PromotionMember[]
  calls: PromotionCalls
  holdsLease: () => boolean
  settings: StewardSettings
  afterStep?: PromotionTask['afterStep']
  metrics: StewardMetrics
  log: Logger
  clock?: Clock
  signal: AbortSignal
}

const attemptTimeoutMs = 10_000

/** Checks the group periodically until the signal aborts. */
export const monitorGroup = async (options: GroupMonitorOptions): Promise<void> => {
  const { group, calls, settings, metrics, log, signal, clock = monotonicMs } = options
  const unled = createConditionTimer(clock)
  let nextHandoverMs = 0
  let unledSinceMs: number | undefined

  const createRecord = async (config: Group, seen: StoredGroup) => {
    const record: GroupRecord = {
      term: 1, primary: config.firstPrimary, phase: 'active', lineage: [{ term: 1, startPosition: 0 }]
    }
    const swap = await calls.swapGroup(seen.revision, record)
    if (swap.ok && swap.val.swapped) log(events.groupCreated, { group, primary: record.primary })
  }

  const runPromotion = async (seen: StoredGroup, cause: string, relieved?: string) => {
    const begunMs = unledSinceMs ?? clock()
    log(events.promotionBegun, { group, cause, term: seen.value!.term + 1, replaced: seen.value!.primary })
    const promotion = await promote({
      group,
      members: options.members(),
      calls,
      timeouts: {
        contactExpiryMs: settings.contactTtlMs + settings.clockMarginMs,
        memberTimeoutMs: settings.probeTimeoutMs,
        attemptTimeoutMs
      },
      outgoingPrimary: relieved,
      afterStep: async (step, term) => {
        log(events.promotionStep, { group, term, step, sinceMs: Math.round(clock() - begunMs) })
        await options.afterStep?.(step, term)
      },
      onCandidateChosen: choice => log(events.candidateChosen, { group, ...choice }),
      signal
    }, seen)
    if (!promotion.ok) {
      metrics.recordFailedPromotion(group, promotion.val.reason)
      log(events.promotionFailed, { group, reason: promotion.val.reason, message: promotion.val.message })
      // Refreshes the local copy, which may not have the record that this attempt or another steward has stored.
      await calls.readGroup()
      return
    }
    const gapMs = clock() - begunMs
    unledSinceMs = undefined
    metrics.recordPromotion(group, cause, gapMs)
    log(events.promotionDone, { group, ...promotion.val, gapMs: Math.round(gapMs) })
  }

  const checkFailure = async (seen: StoredGroup, record: GroupRecord, roster: Roster, states: MemberStates) => {
    const unledMs = unled.update(!isActivePrimary(states.get(record.primary), record))
    if (unledMs === 0) {
      unledSinceMs = undefined
      return
    }
    unledSinceMs ??= clock()
    log(events.primarySuspected, { group, primary: record.primary, sinceMs: Math.round(unledMs) })
    if (unledMs < settings.detectMs) return
    if (states.size < majorityOf(options.members().length)) {
      return log(events.primaryKept, { group, reason: 'too few members answer', members: states.size })
    }
    const suspicion = states.has(record.primary) ? 'notLeading' : 'unreachable'
    const verdict = await pollEntries(calls.entries, roster, record, suspicion)
    if (!verdict.isGone) return log(events.primaryKept, { group, reason: 'entries do not agree', ...verdict })
    await runPromotion(seen, suspicion)
  }

  const checkHandover = async (seen: StoredGroup, record: GroupRecord, states: MemberStates) => {
    const members = options.members()
    const primary = members.find(member => member.name === record.primary)
    const state = states.get(record.primary)
    if (!primary || primary.canRemainPrimary || !state || clock() < nextHandoverMs) return
    const ready = readySuccessors(members, states, state, maxSuccessorLagEntries)
    if (ready.length === 0) {
      log(events.handoverDelayed, { group, primary: record.primary })
      return
    }
    log(events.handoverPlanned, { group, primary: record.primary, successors: ready })
    await runPromotion(seen, 'handover', record.primary)
    nextHandoverMs = clock() + handoverRetryDelayMs
  }

  const check = async () => {
    const config = options.config()
    const seen = options.storedGroup()
    if (!config) return
    if (!seen.value) return createRecord(config, seen)
    const roster = options.roster()
    if (!roster) return
    const record = seen.value
    if (record.phase === 'fencing') return runPromotion(seen, 'takeover')
    const states = await readMemberStates(options.members(), settings.probeTimeoutMs)
    await repairMembers(options.members(), states, record, settings.probeTimeoutMs, name =>
      log(events.memberRepaired, { group, member: name, term: record.term, primary: record.primary }))
    await checkFailure(seen, record, roster, states)
    if (isActivePrimary(states.get(record.primary), record)) await checkHandover(seen, record, states)
  }

  for await (const _ of ticks(settings.probeIntervalMs, signal)) {
    if (options.holdsLease()) await check()
    else unled.update(false)
  }
}
