/**
 * Selects the gateways that hold the connections to a database: a few in the database's data centre, in an order that
 * all gateways compute alike. Other gateways forward their statements to the first one that replies, so that few
 * connections serve all workspaces.
 *
 * Load pattern: the first gateways in rank run but have lost the store or the database, for which all others would
 * send them the statements of the database in vain. A gateway that did not run a statement is avoided for a time.
 * A better-ranked gateway that joins is used after a time (see `sticky-holders.ts`).
 */
import type { Database } from '../../state/configuration.js'
import type { Member } from '../../state/stored-records.js'
import { usableCoresByName } from '../membership/capacity-weights.js'
import type { Election } from '../membership/election.js'
import { assignHolders } from './holder-assignment.js'
import { createStickyHolders } from './sticky-holders.js'
import type { StickyHoldersOptions } from './sticky-holders.js'

/** Maximum number of gateways that are tried for one statement, including this one. */
const maxCandidates = 3

/** Name and location of a gateway. */
export type GatewayLocation = { name: string, dataCentre: string, region: string }

/** How long the division of the databases among the gateways of a data centre is kept. */
const assignIntervalMs = 200

/** Selects holders for databases. */
export type HolderChoice = {
  /**
   * Gateways to try, best first. Gateways outside `regions` are excluded, except this one; an empty list permits all
   * regions. Gateways that `isAvoided` names, and suspected ones, come last, after the next ones in rank; those that
   * `isExcluded` names are left out.
   */
  candidates: (
    database: Database, regions: readonly string[], isAvoided?: (member: Member) => boolean,
    isExcluded?: (member: Member) => boolean
  ) => Member[]
}

/** Dependencies of the holder choice. */
export type HolderChoiceOptions = {
  self: Member
  election: Election
  /** The region of a data centre. */
  regionOf: (dataCentre: string) => string
  isUsable: (member: Member) => boolean
  /** Whether the member is slow to reply, so that others are preferred. */
  isSuspected?: (member: Member) => boolean
  /** All databases; if given, no gateway of unequal ones ranks first for more of them than its capacity bears. */
  databases?: () => ReadonlyMap<string, Database>
} & Partial<StickyHoldersOptions>

/** Creates the holder choice of one gateway. */
export const createHolderChoice = (options: HolderChoiceOptions): HolderChoice => {
  const { self, election, regionOf, isUsable, isSuspected = () => false } = options
  const { nowMs = () => performance.now(), fraction = Math.random, onMove = () => {} } = options
  const sticky = createStickyHolders({ nowMs, fraction, onMove })
  const cache = new WeakMap<readonly Member[], readonly Member[]>()

  const distance = (member: Member, database: Database) => {
    if (member.dataCentre === database.dataCentre) return 0
    return member.region === regionOf(database.dataCentre) ? 1 : 2
  }

  const rankedFor = ({ id, dataCentre }: Pick<Database, 'id' | 'dataCentre'>) =>
    election.rankedByCapacity(`${id} ${dataCentre}`)

  /** Holders by database within one data centre; empty if all its gateways have the same capacity. */
  const assignIn = (dataCentre: string): Map<string, string> => {
    const local = [...options.databases?.().values() ?? []].filter(database => database.dataCentre === dataCentre)
    const members = local.length === 0
      ? []
      : rankedFor(local[0]).filter(member => member.dataCentre === dataCentre && !member.draining)
    const coresByName = usableCoresByName(members)
    if (new Set(coresByName.values()).size < 2) return new Map()
    return assignHolders(local.map(database =>
      ({ id: database.id, ranked: rankedFor(database).map(({ name }) => name) })), coresByName)
  }

  const assignments = new Map<string, { atMs: number, holders: Map<string, string> }>()

  const assignedHolder = ({ id, dataCentre }: Database): string | undefined => {
    const current = assignments.get(dataCentre)
    if (current !== undefined && nowMs() - current.atMs < assignIntervalMs) return current.holders.get(id)
    const holders = assignIn(dataCentre)
    assignments.set(dataCentre, { atMs: nowMs(), holders })
    return holders.get(id)
  }

  const withAssignedFirst = (database: Database, ranked: readonly Member[]): readonly Member[] => {
    const holder = assignedHolder(database)
    if (holder === undefined || ranked[0]?.name === holder) return ranked
    return [...ranked.filter(({ name }) => name === holder), ...ranked.filter(({ name }) => name !== holder)]
  }

  /** The ranked members, sorted by distance from the database. */
  const rankedByDistance = (database: Database): readonly Member[] => {
    const ranked = rankedFor(database)
    const cached = cache.get(ranked)
    if (cached !== undefined) return cached
    const sorted = [...ranked].sort((one, other) => distance(one, database) - distance(other, database))
    cache.set(ranked, sorted)
    return sorted
  }

  /** The ranked members; if the holder in use is another than the first working one, it comes before all. */
  const withCurrentFirst = (
    key: string, ranked: readonly Member[], isWorking: (member: Member) => boolean
  ): readonly Member[] => {
    const best = ranked.find(isWorking)
    if (best === undefined) return ranked
    const current = sticky.choose(key, best.name, name => ranked.some(each => each.name === name && isWorking(each)))
    return current === best.name ? ranked : [...ranked.filter(({ name }) => name === current), ...ranked]
  }

  const candidates = (
    database: Database, regions: readonly string[], isAvoided: (member: Member) => boolean = () => false,
    isExcluded: (member: Member) => boolean = () => false
  ): Member[] => {
    const byRank = withAssignedFirst(database, rankedByDistance(database))
    const isReachable = (member: Member) => member.name === self.name ||
      ((regions.length === 0 || regions.includes(member.region)) && isUsable(member))
    const isPermitted = (member: Member) => !isExcluded(member) && isReachable(member)
    const isWorking = (member: Member) => !member.draining && isReachable(member)
    const ranked = withCurrentFirst([database.id, ...regions].join(' '), byRank, isWorking)
    const chosen: Member[] = []
    const choose = (wanted: number, isWanted: (member: Member) => boolean) => {
      for (const member of ranked) {
        if (chosen.length >= wanted) return
        if (!chosen.includes(member) && isPermitted(member) && isWanted(member)) chosen.push(member)
      }
    }
    choose(maxCandidates - 1, member => !member.draining && !isAvoided(member) && !isSuspected(member))
    choose(maxCandidates, member => member.name === self.name)
    choose(maxCandidates, member => !member.draining && !isAvoided(member))
    choose(maxCandidates, member => !member.draining)
    return chosen
  }

  return { candidates }
}
