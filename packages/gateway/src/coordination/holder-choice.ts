/**
 * Which gateways hold the connections to a database: a few of its own data centre, ranked alike by everybody. Others
 * pass their statements on to the first that answers, so that few connections serve all workspaces.
 */
import type { Database } from '../state/configuration.js'
import type { Member } from '../state/stored-records.js'
import type { Election } from './election.js'

/** Gateways that are tried for one statement, this one included. */
const maxCandidates = 3

/** Where this gateway stands. */
export type Place = { name: string, dataCentre: string, region: string }

/** Ranks the gateways for databases. */
export type HolderChoice = {
  /**
   * Gateways to try, best first. Those outside `regions` are left out, but for this one; no regions: all are
   * allowed.
   */
  candidates: (database: Database, regions: readonly string[]) => Member[]
}

/** What the choice is made from. */
export type HolderChoiceOptions = {
  self: Member
  election: Election
  /** The region of a data centre. */
  regionOf: (dataCentre: string) => string
  isUsable: (member: Member) => boolean
}

/** Creates the choice. */
export const createHolderChoice = ({ self, election, regionOf, isUsable }: HolderChoiceOptions): HolderChoice => {
  const byDistance = new WeakMap<readonly Member[], readonly Member[]>()

  const distance = (member: Member, database: Database) => {
    if (member.dataCentre === database.dataCentre) return 0
    return member.region === regionOf(database.dataCentre) ? 1 : 2
  }

  /** The ranked members, those near the database first. */
  const near = (database: Database): readonly Member[] => {
    const ranked = election.ranked(`${database.id} ${database.dataCentre}`)
    const known = byDistance.get(ranked)
    if (known !== undefined) return known
    const sorted = [...ranked].sort((one, other) => distance(one, database) - distance(other, database))
    byDistance.set(ranked, sorted)
    return sorted
  }

  const candidates = (database: Database, regions: readonly string[]): Member[] => {
    const chosen: Member[] = []
    for (const member of near(database)) {
      if (chosen.length === maxCandidates - 1) break
      const isSelf = member.name === self.name
      const isAllowed = isSelf || regions.length === 0 || regions.includes(member.region)
      if (isAllowed && !member.draining && (isSelf || isUsable(member))) chosen.push(member)
    }
    const own = near(database).filter(({ name }) => name === self.name)
    return [...new Set([...chosen, ...own])]
  }

  return { candidates }
}
