/**
 * Monitors the groups' primaries: the gateway that ranks first for a group probes its primary, and replaces it after a
 * failure, or when it is draining or evacuated.
 */
import { sleepMs } from '@egretyoke/common'
import { events } from '../events.js'
import type { Database } from '../state/configuration.js'
import type { Versioned } from '../state/fleet-view.js'
import { processName } from '../state/stored-records.js'
import type { GroupRecord, Member } from '../state/stored-records.js'
import type { Election } from './election.js'
import { livingUsers } from './group-records.js'
import { changePrimary } from './primary-change.js'
import type { ChangeReason, PrimaryChangeOptions } from './primary-change.js'

const probeIntervalMs = 250
const probeTimeoutMs = 500
/** Failed probes after which other gateways are asked. A refused connection is stronger evidence than a time-out. */
const refusalsBeforeDoubt = 2
const silencesBeforeDoubt = 2
/** Number of gateways that are asked whether they can reach the primary, and the time-out of the request. */
const witnesses = 4
const witnessTimeoutMs = 900
/** A primary change that another gateway started but did not finish is taken over after this time. */
const takeOverMs = 3000
/** A primary without an entry in the store is not replaced before this time, because the entry may still arrive. */
const goneGraceMs = 1000

/** Monitors the groups until the signal aborts. */
export type GroupKeeper = { run: (signal: AbortSignal) => Promise<void> }

/** Dependencies of the group monitor. */
export type GroupKeeperOptions = PrimaryChangeOptions & {
  name: string
  election: Election
  /** True if the database has replied to a statement of this gateway recently. */
  hasAnsweredLately: (database: string) => boolean
}

/** Creates the group monitor. */
export const createGroupKeeper = (options: GroupKeeperOptions): GroupKeeper => {
  const { name, self, view, records, contact, orders, relay, hasAnsweredLately, log } = options
  const failures = new Map<string, { refused: number, silent: number }>()
  const seenChangingMs = new Map<number, number>()
  const missingSinceMs = new Map<string, number>()
  const busy = new Set<string>()

  const isKeeperOf = (group: string): boolean => options.election.first(`group ${group}`) === name

  /** Stores the first record of a group: the database that reports the primary role with the highest term. */
  const begin = async (group: string) => {
    const asked = await Promise.all(view.databasesOf(group).map(async database => {
      const status = await orders.give(database, { kind: 'status' }, probeTimeoutMs)
      return status.ok ? [{ database, status: status.val }] : []
    }))
    const leading = asked.flat().filter(({ status }) => status.role === 'primary')
      .sort((one, other) => other.status.term - one.status.term)[0]
    if (leading === undefined) return
    const { database, status } = leading
    await records.store(group, {
      primary: database.id, term: status.term, phase: 'serving', users: [], keeper: self
    }, 0)
  }

  /** True if a gateway that uses the primary has had a reply from it recently, so that no probe is needed. */
  const isUsedWell = async (database: Database, users: readonly string[]): Promise<boolean> => {
    const user = livingUsers(users, view).at(-1)?.split('/')[0] ?? ''
    if (user === name) return hasAnsweredLately(database.id)
    const member = view.members().get(user)
    if (member === undefined) return false
    const answer = await relay.ask(member, {
      probeDatabase: { database: database.id, onlyByUse: true }
    }, probeTimeoutMs)
    return answer.ok && answer.val.databaseProbe?.reachable === true
  }

  const probe = async (database: Database, users: readonly string[]): Promise<boolean> => {
    if (await isUsedWell(database, users)) {
      failures.delete(database.id)
      return true
    }
    const status = await orders.give(database, { kind: 'status' }, probeTimeoutMs)
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
    return failure.refused < refusalsBeforeDoubt && failure.silent < silencesBeforeDoubt
  }

  /** Selects the gateways to ask: first one of each data centre, then any others. */
  const chooseWitnesses = (): Member[] => {
    const others = [...view.members().values()].filter(member => member.name !== name)
    const firstOfEach = others.filter((member, index) =>
      others.findIndex(({ dataCentre }) => dataCentre === member.dataCentre) === index)
    return [...new Set([...firstOfEach, ...others])].slice(0, witnesses)
  }

  /** True if another gateway can reach the database. */
  const isSeenByOthers = async (database: Database): Promise<boolean> => {
    const answers = await Promise.all(chooseWitnesses().map(async member => {
      const answer = await relay.ask(member, { probeDatabase: { database: database.id } }, witnessTimeoutMs)
      return answer.ok && answer.val.databaseProbe?.reachable === true
    }))
    return answers.includes(true)
  }

  const reasonToChange = async (group: string, record: GroupRecord): Promise<ChangeReason | undefined> => {
    const database = view.databases().get(record.primary)
    if (database === undefined) {
      const sinceMs = missingSinceMs.get(group) ?? performance.now()
      missingSinceMs.set(group, sinceMs)
      return performance.now() - sinceMs > goneGraceMs ? 'gone' : undefined
    }
    missingSinceMs.delete(group)
    if (view.evacuated().has(database.dataCentre)) return 'evacuated'
    if (database.draining) return 'draining'
    if (await probe(database, record.users)) return undefined
    return await isSeenByOthers(database) ? undefined : 'failed'
  }

  const isAbandoned = ({ record, revision }: Versioned<GroupRecord>): boolean => {
    if (record.keeper === self) return true
    const sinceMs = seenChangingMs.get(revision) ?? performance.now()
    seenChangingMs.set(revision, sinceMs)
    const [keeperName = ''] = record.keeper.split('/')
    const keeper = view.members().get(keeperName)
    const hasEnded = keeper !== undefined && processName(keeper) !== record.keeper
    return hasEnded || performance.now() - sinceMs > takeOverMs
  }

  const keep = async (group: string) => {
    const versioned = view.group(group)
    if (versioned === undefined) return await begin(group)
    if (versioned.record.phase === 'changing') {
      if (isAbandoned(versioned)) await changePrimary(options, group, versioned, 'unfinished')
      return
    }
    seenChangingMs.clear()
    const reason = await reasonToChange(group, versioned.record)
    if (reason === undefined || !isKeeperOf(group)) return
    const latest = view.group(group)
    if (latest !== undefined && latest.record.primary === versioned.record.primary) {
      await changePrimary(options, group, latest, reason)
    }
  }

  /** Demotes databases that come back and still report the primary role. */
  const demoteFormer = async (group: string) => {
    const record = view.group(group)?.record
    if (record?.phase !== 'serving') return
    const former = view.databasesOf(group).filter(({ id, role }) => role === 'primary' && id !== record.primary)
    for (const database of former) await orders.give(database, { kind: 'demote', term: record.term }, probeTimeoutMs)
  }

  const keepOnce = async (group: string) => {
    if (busy.has(group) || !isKeeperOf(group) || contact.ageMs() > probeTimeoutMs * 4) return
    busy.add(group)
    await keep(group)
    await demoteFormer(group)
    busy.delete(group)
  }

  return {
    run: async signal => {
      while (!signal.aborted) {
        for (const group of view.configuration()?.groups.keys() ?? []) keepOnce(group)
        await sleepMs(probeIntervalMs, signal)
      }
    }
  }
}
