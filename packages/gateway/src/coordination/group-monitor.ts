/**
 * Monitors the groups' primaries: the gateway that ranks first for a group probes its primary, and replaces it after a
 * failure, or when it is draining or evacuated.
 */
import { sleepUntilTick } from '@egretyoke/common'
import { events } from '../events.js'
import type { Database } from '../state/configuration.js'
import type { Versioned } from '../state/fleet-state.js'
import { processName } from '../state/stored-records.js'
import type { GroupRecord, Member } from '../state/stored-records.js'
import type { Election } from './election.js'
import { activeUsers } from './group-records.js'
import { changePrimary } from './primary-change.js'
import type { ChangeReason, PrimaryChangeOptions } from './primary-change.js'

const probeIntervalMs = 200
const probeTimeoutMs = 500
/** Failed probes after which other gateways probe too. A refused connection is stronger evidence than a time-out. */
const maxRefusedProbes = 2
const maxSilentProbes = 2
/** Number of other gateways that are requested to probe the primary, and the time-out of each request. */
const witnessCount = 4
const witnessTimeoutMs = 900
/** A primary change that another gateway started but did not finish is taken over after this time. */
const takeOverAfterMs = 3000
/** A primary without an entry in the store is not replaced before this time, because the entry may still arrive. */
const missingEntryGraceMs = 1000

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
  const failures = new Map<string, { refused: number, silent: number }>()
  const changingSinceMs = new Map<number, number>()
  const missingSinceMs = new Map<string, number>()
  const groupsInCheck = new Set<string>()

  const isMonitorOf = (group: string): boolean => options.election.first(`group ${group}`) === name

  /** Stores the first record of a group: the database that reports the primary role with the highest term. */
  const storeFirstRecord = async (group: string) => {
    const statuses = await Promise.all(fleetState.databasesOf(group).map(async database => {
      const status = await control.run(database, { kind: 'status' }, probeTimeoutMs)
      return status.ok ? [{ database, status: status.val }] : []
    }))
    const leader = statuses.flat().filter(({ status }) => status.role === 'primary')
      .sort((one, other) => other.status.term - one.status.term)[0]
    if (leader === undefined) return
    const { database, status } = leader
    await records.store(group, {
      primary: database.id, term: status.term, phase: 'serving', users: [], keeper: self
    }, 0)
  }

  /** True if a gateway that uses the primary has had a reply from it recently, so that no probe is needed. */
  const isConfirmedByUser = async (database: Database, users: readonly string[]): Promise<boolean> => {
    const user = activeUsers(users, fleetState).at(-1)?.split('/')[0] ?? ''
    if (user === name) return hasRepliedRecently(database.id)
    const member = fleetState.members().get(user)
    if (member === undefined) return false
    const reply = await relay.call(member, {
      probeDatabase: { database: database.id, onlyByUse: true }
    }, probeTimeoutMs)
    return reply.ok && reply.val.databaseProbe?.reachable === true
  }

  const probe = async (database: Database, users: readonly string[]): Promise<boolean> => {
    if (await isConfirmedByUser(database, users)) {
      failures.delete(database.id)
      return true
    }
    const status = await control.run(database, { kind: 'status' }, probeTimeoutMs)
    if (status.ok || status.val.reason === 'declined') {
      failures.delete(database.id)
      return true
    }
    const failure = failures.get(database.id) ?? { refused: 0, silent: 0 }
    if (status.val.reason === 'unreachable') failure.refused++
    else failure.silent++
    failures.set(database.id, failure)
    log(events.primaryProbeFailed, {
      group: database.group, database: database.id, reason: status.val.reason, ...failure
    })
    return failure.refused < maxRefusedProbes && failure.silent < maxSilentProbes
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

  const reasonToChange = async (group: string, record: GroupRecord): Promise<ChangeReason | undefined> => {
    const database = fleetState.databases().get(record.primary)
    if (database === undefined) {
      const sinceMs = missingSinceMs.get(group) ?? performance.now()
      missingSinceMs.set(group, sinceMs)
      return performance.now() - sinceMs > missingEntryGraceMs ? 'gone' : undefined
    }
    missingSinceMs.delete(group)
    if (fleetState.evacuated().has(database.dataCentre)) return 'evacuated'
    if (database.draining) return 'draining'
    if (await probe(database, record.users)) return undefined
    return await isReachableByOthers(database) ? undefined : 'failed'
  }

  const isAbandoned = ({ record, revision }: Versioned<GroupRecord>): boolean => {
    if (record.keeper === self) return true
    const sinceMs = changingSinceMs.get(revision) ?? performance.now()
    changingSinceMs.set(revision, sinceMs)
    const [monitorName = ''] = record.keeper.split('/')
    const monitor = fleetState.members().get(monitorName)
    const hasEnded = monitor !== undefined && processName(monitor) !== record.keeper
    return hasEnded || performance.now() - sinceMs > takeOverAfterMs
  }

  const checkGroup = async (group: string) => {
    const versioned = fleetState.group(group)
    if (versioned === undefined) return await storeFirstRecord(group)
    if (versioned.record.phase === 'changing') {
      if (isAbandoned(versioned)) await changePrimary(options, group, versioned, 'unfinished')
      return
    }
    changingSinceMs.clear()
    const reason = await reasonToChange(group, versioned.record)
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
    for (const database of former) await control.run(database, { kind: 'demote', term: record.term }, probeTimeoutMs)
  }

  const checkGroupOnce = async (group: string) => {
    if (groupsInCheck.has(group) || !isMonitorOf(group) || contact.ageMs() > probeTimeoutMs * 4) return
    groupsInCheck.add(group)
    try {
      await checkGroup(group)
      await demoteFormerPrimaries(group)
    } finally {
      groupsInCheck.delete(group)
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
