/**
 * Which gateways hold the connections to a database: a few of its own data centre, ranked alike by everybody. Others
 * pass their statements on to the first that answers, so that few connections serve all workspaces.
 */
import { rankByRendezvous } from '@egretyoke/limits'
import type { Database } from '../state/configuration.js'
import type { FleetView } from '../state/fleet-view.js'
import type { Member } from '../state/stored-records.js'

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

/** Creates the choice. `regionOf` maps data centres to regions. */
export const createHolderChoice = (
  self: Place,
  view: FleetView,
  regionOf: (dataCentre: string) => string,
  isUsable: (member: Member) => boolean
): HolderChoice => {
  const ranked = new Map<string, { members: string, order: string[] }>()

  const rank = (database: Database): string[] => {
    const names = [...view.members().keys()].sort()
    const members = names.join()
    const known = ranked.get(database.id)
    if (known?.members === members) return known.order
    const order = rankByRendezvous(database.id, names)
    ranked.set(database.id, { members, order })
    return order
  }

  const distance = (member: Member, database: Database) => {
    if (member.dataCentre === database.dataCentre) return 0
    return member.region === regionOf(database.dataCentre) ? 1 : 2
  }

  const candidates = (database: Database, regions: readonly string[]): Member[] => {
    const isAllowed = (member: Member) =>
      member.name === self.name || regions.length === 0 || regions.includes(member.region)
    const known = view.members()
    const members = rank(database).flatMap(name => known.get(name) ?? []).filter(isAllowed)
    const near = members
      .filter(member => !member.draining && isUsable(member))
      .sort((one, other) => distance(one, database) - distance(other, database))
    const own = members.filter(({ name }) => name === self.name)
    return [...new Set([...near.slice(0, maxCandidates - 1), ...own])]
  }

  return { candidates }
}
