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
import { createConditionTimer, isActivePrimary, pollEntries } from './detection.js'
import { majorityOf } from './promotion-calls.js'
import type { PromotionCalls, PromotionMember, PromotionTask, StoredGroup } from './promotion-calls.js'
import { promote } from './promotion.js'
import { repairMembers } from './repair.js'
import { maxSuccessorLagEntries, readMemberStates, readySuccessors } from './successor.js'
import type { MemberStates } from './successor.js'

/** Minimum delay between planned handovers, because a handover may promote the outgoing primary again. */
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
  const leaderlessTimer = createConditionTimer(clock)
  let nextHandoverAtMs = 0
  let leaderlessSinceMs: number | undefined

  const createRecord = async (config: Group, stored: StoredGroup) => {
    const record: GroupRecord = {
      term: 1, primary: config.firstPrimary, phase: 'active', lineage: [{ term: 1, startPosition: 0 }]
    }
    const swap = await calls.swapGroup(stored.revision, record)
    if (swap.ok && swap.val.swapped) log(events.groupCreated, { group, primary: record.primary })
  }

  const runPromotion = async (stored: StoredGroup, cause: string, outgoingPrimary?: string) => {
    const startedMs = leaderlessSinceMs ?? clock()
    log(events.promotionBegun, { group, cause, term: stored.value!.term + 1, replaced: stored.value!.primary })
    const promotion = await promote({
      group,
      members: options.members(),
      calls,
      timeouts: {
        contactExpiryMs: settings.contactTtlMs + settings.clockMarginMs,
        memberTimeoutMs: settings.probeTimeoutMs,
        attemptTimeoutMs
      },
      outgoingPrimary,
      afterStep: async (step, term) => {
        log(events.promotionStep, { group, term, step, sinceMs: Math.round(clock() - startedMs) })
        await options.afterStep?.(step, term)
      },
      onCandidateChosen: choice => log(events.candidateChosen, { group, ...choice }),
      signal
    }, stored)
    if (!promotion.ok) {
      metrics.recordFailedPromotion(group, promotion.val.reason)
      log(events.promotionFailed, { group, reason: promotion.val.reason, message: promotion.val.message })
      // Refreshes the local copy, which may not have the record that this attempt or another steward has stored.
      await calls.readGroup()
      return
    }
    const gapMs = clock() - startedMs
    leaderlessSinceMs = undefined
    metrics.recordPromotion(group, cause, gapMs)
    log(events.promotionDone, { group, ...promotion.val, gapMs: Math.round(gapMs) })
  }

  const detectFailure = async (stored: StoredGroup, record: GroupRecord, roster: Roster, states: MemberStates) => {
    const leaderlessMs = leaderlessTimer.update(!isActivePrimary(states.get(record.primary), record))
    if (leaderlessMs === 0) {
      leaderlessSinceMs = undefined
      return
    }
    leaderlessSinceMs ??= clock()
    log(events.primarySuspected, { group, primary: record.primary, sinceMs: Math.round(leaderlessMs) })
    if (leaderlessMs < settings.detectMs) return
    if (states.size < majorityOf(options.members().length)) {
      return log(events.primaryKept, { group, reason: 'too few members answer', members: states.size })
    }
    const cause = states.has(record.primary) ? 'notLeading' : 'unreachable'
    const pollResult = await pollEntries(calls.entries, roster, record, cause)
    if (!pollResult.isGone) return log(events.primaryKept, { group, reason: 'entries do not agree', ...pollResult })
    await runPromotion(stored, cause)
  }

  const checkHandover = async (stored: StoredGroup, record: GroupRecord, states: MemberStates) => {
    const members = options.members()
    const primary = members.find(member => member.name === record.primary)
    const state = states.get(record.primary)
    if (!primary || primary.canRemainPrimary || !state || clock() < nextHandoverAtMs) return
    const candidates = readySuccessors(members, states, state, maxSuccessorLagEntries)
    if (candidates.length === 0) {
      log(events.handoverDelayed, { group, primary: record.primary })
      return
    }
    log(events.handoverPlanned, { group, primary: record.primary, successors: candidates })
    await runPromotion(stored, 'handover', record.primary)
    nextHandoverAtMs = clock() + handoverRetryDelayMs
  }

  const checkGroup = async () => {
    const config = options.config()
    const stored = options.storedGroup()
    if (!config) return
    if (!stored.value) return createRecord(config, stored)
    const roster = options.roster()
    if (!roster) return
    const record = stored.value
    if (record.phase === 'fencing') return runPromotion(stored, 'takeover')
    const states = await readMemberStates(options.members(), settings.probeTimeoutMs)
    await repairMembers(options.members(), states, record, settings.probeTimeoutMs, name =>
      log(events.memberRepaired, { group, member: name, term: record.term, primary: record.primary }))
    await detectFailure(stored, record, roster, states)
    if (isActivePrimary(states.get(record.primary), record)) await checkHandover(stored, record, states)
  }

  for await (const _ of ticks(settings.probeIntervalMs, signal)) {
    if (options.holdsLease()) await checkGroup()
    else leaderlessTimer.update(false)
  }
}
