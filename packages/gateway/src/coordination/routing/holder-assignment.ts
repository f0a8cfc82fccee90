/**
 * Divides the databases of a data centre among its gateways, so that none becomes the holder of more of them than its
 * capacity bears.
 *
 * Load pattern: the gateways with the largest capacity are refused by the store or cut off, and one small gateway
 * happens to rank first for several primaries of the data centre. It has too little processor time for all of them,
 * while its neighbours hold none.
 */

/** A database and the gateways of its data centre in rank order. */
export type RankedDatabase = { id: string, ranked: readonly string[] }

/** Room beyond an exact share, so that most databases stay at the gateway that ranks first for them. */
const shareMargin = 1.25

const sumOf = (values: Iterable<number>) => [...values].reduce((sum, value) => sum + value, 0)

/** Number of databases that a gateway holds at most. */
const bound = (cores: number, totalCores: number, databases: number) =>
  Math.max(1, Math.ceil(shareMargin * databases * cores / totalCores))

/**
 * The holder of each database by id: the first gateway in its rank that holds fewer than its bound. Gateways with the
 * same members and databases compute the same. `coresByName` has the gateways that may hold databases. A database
 * without such a gateway is left out.
 */
export const assignHolders = (
  databases: readonly RankedDatabase[], coresByName: ReadonlyMap<string, number>
): Map<string, string> => {
  const totalCores = sumOf(coresByName.values())
  const held = new Map<string, number>()
  const hasRoom = (name: string) => {
    const cores = coresByName.get(name)
    return cores !== undefined && (held.get(name) ?? 0) < bound(cores, totalCores, databases.length)
  }
  const assigned = new Map<string, string>()
  for (const { id, ranked } of databases.toSorted((one, other) => one.id < other.id ? -1 : 1)) {
    const holder = ranked.find(hasRoom)
    if (holder === undefined) continue
    assigned.set(id, holder)
    held.set(holder, (held.get(holder) ?? 0) + 1)
  }
  return assigned
}
