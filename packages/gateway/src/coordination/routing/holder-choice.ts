/**
 * Selects the gateways that hold the connections to a database: a few in the database's data centre, in an order that
 * all gateways compute alike. Other gateways forward their statements to the first one that replies, so that few
 * connections serve all workspaces.
 *
 * Load pattern: the first gateways in rank run but have lost the store or the database, for which all others would
 * send them the statements of the database in vain. A gateway that did not run a statement is avoided for a time.
 */
import type { Database } from '../../state/configuration.js'
import type { Member } from '../../state/stored-records.js'
import type { Election } from '../membership/election.js'

/** Maximum number of gateways that are tried for one statement, including this one. */
const maxCandidates = 3

/** Name and location of a gateway. */
export type GatewayLocation = { name: string, dataCentre: string, region: string }

/** Selects holders for databases. */
export type HolderChoice = {
  /**
   * Gateways to try, best first. Gateways outside `regions` are excluded, except this one; an empty list permits all
   * regions. Gateways that `isAvoided` names come last, after the next ones in rank; those that `isExcluded` names are
   * left out.
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
}

/** Creates the holder choice of one gateway. */
export const createHolderChoice = ({ self, election, regionOf, isUsable }: HolderChoiceOptions): HolderChoice => {
  const cache = new WeakMap<readonly Member[], readonly Member[]>()

  const distance = (member: Member, database: Database) => {
    if (member.dataCentre === database.dataCentre) return 0
    return member.region === regionOf(database.dataCentre) ? 1 : 2
  }

  /** The ranked members, sorted by distance from the database. */
  const rankedByDistance = (database: Database): readonly Member[] => {
    const ranked = election.ranked(`${database.id} ${database.dataCentre}`)
    const cached = cache.get(ranked)
    if (cached !== undefined) return cached
    const sorted = [...ranked].sort((one, other) => distance(one, database) - distance(other, database))
    cache.set(ranked, sorted)
    return sorted
  }

  const candidates = (
    database: Database, regions: readonly string[], isAvoided: (member: Member) => boolean = () => false,
    isExcluded: (member: Member) => boolean = () => false
  ): Member[] => {
    const ranked = rankedByDistance(database)
    const isPermitted = (member: Member) => !isExcluded(member) && (member.name === self.name ||
      ((regions.length === 0 || regions.includes(member.region)) && isUsable(member)))
    const chosen: Member[] = []
    const choose = (wanted: number, isWanted: (member: Member) => boolean) => {
      for (const member of ranked) {
        if (chosen.length >= wanted) return
        if (!chosen.includes(member) && isPermitted(member) && isWanted(member)) chosen.push(member)
      }
    }
    choose(maxCandidates - 1, member => !member.draining && !isAvoided(member))
    choose(maxCandidates, member => member.name === self.name)
    choose(maxCandidates, member => !member.draining && !isAvoided(member))
    choose(maxCandidates, member => !member.draining)
    return chosen
  }

  return { candidates }
}
