/**
 * Monitors the groups' primaries: the gateway that ranks first for a group probes its primary, and replaces it after a
 * failure, or when it is draining or evacuated.
 */
import { messageOf, monotonicMs, sleepUntilTick } from '@egretyoke/common'
import { events } from '../../events.js'
import type { Database } from '../../state/configuration.js'
import type { Versioned } from '../../state/fleet-state.js'
import { splitProcessName } from '../../state/stored-records.js'
import type { GroupRecord, Member } from '../../state/stored-records.js'
import type { Election } from '../membership/election.js'
import { activeUsers, isConfirmed, maxPrimaryContactAgeMs } from './group-records.js'
import { createCopyRecorder } from './copy-recorder.js'
import { newestPrimary, newestTermOf } from './primary-evidence.js'
import { changePrimary } from './primary-change.js'
import type { ChangeReason, PrimaryChangeOptions } from './primary-change.js'
import { pollDatabases } from './status-poll.js'
import { shouldContinueChange } from './unfinished-change.js'

const probeIntervalMs = 200
const probeTimeoutMs = 500
/** Refused probes in a row after which other gateways probe too; a process that restarts refuses for a moment. */
const maxRefusedProbes = 2
/** Number of other gateways that are requested to probe the primary, and the time-out of each request. */
const witnessCount = 4
const witnessTimeoutMs = 900
/** A primary without an entry in the store is not replaced before this time, because the entry may still arrive. */
const missingEntryGraceMs = 1000

/** Key of the election of a group's monitor. */
const monitorKey = (group: string) => `group ${group}`

type ProbeResult = 'answered' | 'refused' | 'silent'

/** Monitors the groups until the signal aborts. */
export type GroupMonitor = { run: (signal: AbortSignal) => Promise<void> }

/** Dependencies of the group monitor. */
export type GroupMonitorOptions = PrimaryChangeOptions & {
  name: string
  election: Election
  /** True if the database has replied to a statement of this gateway recently. */
  hasRepliedRecently: (database: string) => boolean
}

/** Creates the group monitor. */
export const createGroupMonitor = (options: GroupMonitorOptions): GroupMonitor => {
  const { name, self, fleetState, records, contact, control, relay, hasRepliedRecently, log } = options
  const refusedProbes = new Map<string, number>()
  const missingSinceMs = new Map<string, number>()
  const groupsInCheck = new Set<string>()
  const copyRecorder = createCopyRecorder({ fleetState, records, control, nowMs: monotonicMs })

  const isMonitorOf = (group: string): boolean => options.election.first(monitorKey(group)) === name

  /**
   * Stores the first record of a group, unless its newest primary does not answer. While gateways may still use a
   * primary by a record that a restore has removed, all databases must answer.
   */
  const storeFirstRecord = async (group: string) => {
    const databases = fleetState.databasesOf(group)
    const candidates = await pollDatabases(control, databases, () => probeTimeoutMs)
    if (!hasEarlierUseEnded() && candidates.length < databases.length) return
    const leader = newestPrimary(candidates, newestTermOf(candidates))
    if (leader === undefined) return
    const { database, status } = leader
    await records.store(group, {
      primary: database.id,
      term: status.term,
      phase: 'serving',
      users: [],
      keeper: self,
      copies: [],
      epoch: fleetState.epoch()
    }, 0)
  }

  /** True if each gateway knows the store's current epoch, or has lost its contact and stopped using primaries. */
  const hasEarlierUseEnded = () => fleetState.epochAgeMs() >= maxPrimaryContactAgeMs

  /** True if a gateway that uses the primary has had a reply from it recently, so that no probe is needed. */
  const isConfirmedByUser = async (database: Database, users: readonly string[]): Promise<boolean> => {
    const user = splitProcessName(activeUsers(users, fleetState).at(-1) ?? '').name
    if (user === name) return hasRepliedRecently(database.id)
    const member = fleetState.members().get(user)
    if (member === undefined || !relay.isUsable(member)) return false
    const reply = await relay.call(member, {
      probeDatabase: { database: database.id, onlyByUse: true }
    }, probeTimeoutMs)
    return reply.ok && reply.val.databaseProbe?.reachable === true
  }

  /** Probes the database itself. A database that declines the command is running. */
  const probeDirectly = async (database: Database): Promise<ProbeResult> => {
    const status = await control.run(database, { kind: 'status' }, probeTimeoutMs)
    if (status.ok || status.val.reason === 'declined') return 'answered'
    log(events.primaryProbeFailed, { group: database.group, database: database.id, reason: status.val.reason })
    return status.val.reason === 'unreachable' ? 'refused' : 'silent'
  }

  /** Selects the gateways that are requested to probe: first one of each data centre, then any others. */
  const chooseWitnesses = (): Member[] => {
    const others = [...fleetState.members().values()].filter(member => member.name !== name)
    const firstOfEach = others.filter((member, index) =>
      others.findIndex(({ dataCentre }) => dataCentre === member.dataCentre) === index)
    return [...new Set([...firstOfEach, ...others])].slice(0, witnessCount)
  }

  /** True if another gateway can reach the database. */
  const isReachableByOthers = async (database: Database): Promise<boolean> => {
    const replies = await Promise.all(chooseWitnesses().map(async member => {
      const reply = await relay.call(member, { probeDatabase: { database: database.id } }, witnessTimeoutMs)
      return reply.ok && reply.val.databaseProbe?.reachable === true
    }))
    return replies.includes(true)
  }

  /**
   * True if neither this gateway nor any witness reaches the database. After a silent probe, the second one and those
   * of the witnesses run at the same time, because each takes its whole time-out.
   */
  const hasFailed = async (database: Database, users: readonly string[]): Promise<boolean> => {
    const first = await isConfirmedByUser(database, users) ? 'answered' : await probeDirectly(database)
    const refused = first === 'refused' ? (refusedProbes.get(database.id) ?? 0) + 1 : 0
    refusedProbes.set(database.id, refused)
    if (first === 'answered' || (first === 'refused' && refused < maxRefusedProbes)) return false
    const [second, isReachable] = await Promise.all([
      first === 'silent' ? probeDirectly(database) : first, isReachableByOthers(database)
    ])
    // A slow primary may answer statements while it delays the probes.
    return second !== 'answered' && !isReachable && !await isConfirmedByUser(database, users)
  }

  const reasonToChange = async (group: string, record: GroupRecord): Promise<ChangeReason | undefined> => {
    if (records.isContradicted(group)) return 'superseded'
    const database = fleetState.databases().get(record.primary)
    if (database === undefined) {
      const sinceMs = missingSinceMs.get(group) ?? performance.now()
      missingSinceMs.set(group, sinceMs)
      return performance.now() - sinceMs > missingEntryGraceMs ? 'gone' : undefined
    }
    missingSinceMs.delete(group)
    if (fleetState.evacuated().has(database.dataCentre)) return 'evacuated'
    if (database.draining) return 'draining'
    return await hasFailed(database, record.users) ? 'failed' : undefined
  }

  const shouldContinue = (group: string, { record, knownSinceMs }: Versioned<GroupRecord>): boolean => {
    const ranked = options.election.ranked(monitorKey(group))
    return shouldContinueChange(self, { record, knownForMs: performance.now() - knownSinceMs, ranked })
  }

  /** True if this gateway checks the group: as its monitor, or to continue a change of its primary. */
  const isResponsible = (group: string): boolean => {
    const versioned = fleetState.group(group)
    return isMonitorOf(group) || (versioned?.record.phase === 'changing' && shouldContinue(group, versioned))
  }

  const checkGroup = async (group: string) => {
    const versioned = fleetState.group(group)
    if (versioned === undefined) return await storeFirstRecord(group)
    const isRecordConfirmed = isConfirmed(versioned, fleetState)
    if (!isRecordConfirmed && !hasEarlierUseEnded()) return
    if (versioned.record.phase === 'changing') {
      if (shouldContinue(group, versioned)) await changePrimary(options, group, versioned, 'unfinished')
      return
    }
    if (isMonitorOf(group) && isRecordConfirmed) await copyRecorder.check(group, versioned)
    const reason = isRecordConfirmed ? await reasonToChange(group, versioned.record) : 'unconfirmed'
    if (reason === undefined || !isMonitorOf(group)) return
    const latest = fleetState.group(group)
    if (latest !== undefined && latest.record.primary === versioned.record.primary) {
      await changePrimary(options, group, latest, reason)
    }
  }

  /** Demotes databases that come back and still report the primary role. */
  const demoteFormerPrimaries = async (group: string) => {
    const record = fleetState.group(group)?.record
    if (record?.phase !== 'serving') return
    const former = fleetState.databasesOf(group).filter(({ id, role }) => role === 'primary' && id !== record.primary)
    // All at once: one that does not answer must not delay the others, or the next check.
    await Promise.all(former.map(async database =>
      await control.run(database, { kind: 'demote', term: record.term }, probeTimeoutMs)))
  }

  const checkGroupOnce = async (group: string) => {
    if (groupsInCheck.has(group) || !isResponsible(group) || contact.ageMs() > probeTimeoutMs * 4) return
    groupsInCheck.add(group)
    for (const step of [checkGroup, demoteFormerPrimaries]) await runStep(step, group)
    groupsInCheck.delete(group)
  }

  /** Runs a step of a check; an exception ends this step only. */
  const runStep = async (step: (group: string) => Promise<void>, group: string) => {
    try {
      await step(group)
    } catch (thrown) {
      log(events.groupCheckFailed, { group, message: messageOf(thrown) })
    }
  }

  return {
    run: async signal => {
      while (!signal.aborted) {
        for (const group of fleetState.configuration()?.groups.keys() ?? []) checkGroupOnce(group)
        await sleepUntilTick(probeIntervalMs, signal)
      }
    }
  }
}
