/**
 * Looks after the groups' primaries: of all gateways the one that ranks first for a group watches its primary and has
 * it replaced when it has failed or is leaving.
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
/** Failed probes after which the others are asked. Refused connections say more than silence. */
const refusalsBeforeDoubt = 2
const silencesBeforeDoubt = 2
/** Gateways that are asked whether they reach the primary, and how long they have. */
const witnesses = 4
const witnessTimeoutMs = 900
/** A change that another gateway began and did not finish is taken over after this time. */
const takeOverMs = 3000
/** A primary without an entry is not replaced before this time: its entry may be on its way. */
const goneGraceMs = 1000

/** Looks after the groups until the signal aborts. */
export type GroupKeeper = { run: (signal: AbortSignal) => Promise<void> }

/** What the keeper works with. */
export type GroupKeeperOptions = PrimaryChangeOptions & {
  name: string
  election: Election
  /** Whether the database has answered a statement here just now. */
  hasAnsweredLately: (database: string) => boolean
}

/** Creates the keeper. */
export const createGroupKeeper = (options: GroupKeeperOptions): GroupKeeper => {
  const { name, self, view, records, contact, orders, relay, hasAnsweredLately, log } = options
  const failures = new Map<string, { refused: number, silent: number }>()
  const seenChangingMs = new Map<number, number>()
  const missingSinceMs = new Map<string, number>()
  const busy = new Set<string>()

  const isKeeperOf = (group: string): boolean => options.election.first(`group ${group}`) === name

  /** Puts the database in force that says it leads, when nothing was ever recorded. */
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

  /** Whether a gateway that uses the primary has had an answer of it just now; spares the primary a probe. */
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

  /** One gateway of each data centre first, then any. */
  const chooseWitnesses = (): Member[] => {
    const others = [...view.members().values()].filter(member => member.name !== name)
    const firstOfEach = others.filter((member, index) =>
      others.findIndex(({ dataCentre }) => dataCentre === member.dataCentre) === index)
    return [...new Set([...firstOfEach, ...others])].slice(0, witnesses)
  }

  /** True when another gateway still reaches the database. */
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

  /** Tells databases that still take themselves for the primary, after they come back, that they are not. */
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
