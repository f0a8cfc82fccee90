/**
 * The order in which the databases of a group are tried, by network latency and expected time.
 *
 * Load pattern: many gateways whose reports about a group's databases are equally old. If each chose the database with
 * the least expected time, all of them would choose the same one until the next reports, and would then leave it
 * together. The nearest database is used until it is clearly worse than another one, because bytes between regions cost
 * and in calm the differences are noise; beyond that, the choice among those that are close is random.
 */

/** A database with the estimates that decide its place. */
export type CostedDatabase<T> = {
  database: T
  /** Network latency in milliseconds. */
  networkMs: number
  isInOwnRegion: boolean
  /** Expected wait and service time in milliseconds. */
  expectedMs: number
}

/** A database is clearly worse if its time exceeds another one's by this factor and constant. */
const clearlyWorse = { factor: 1.25, ms: 10 } as const
/** Databases up to this factor above the least time take part in the random choice. */
const closeFactor = 1.5

const totalMs = ({ networkMs, expectedMs }: CostedDatabase<unknown>) => networkMs + expectedMs

const isClearlyWorse = (one: CostedDatabase<unknown>, other: CostedDatabase<unknown>) =>
  totalMs(one) > totalMs(other) * clearlyWorse.factor + clearlyWorse.ms

const leastBy = <T>(items: readonly T[], valueOf: (item: T) => number): T | undefined =>
  items.reduce<T | undefined>(
    (least, item) => least === undefined || valueOf(item) < valueOf(least) ? item : least, undefined
  )

/** One of the items, with probabilities in inverse proportion to their times. */
const pickByTime = <T>(
  items: ReadonlyArray<CostedDatabase<T>>, random: () => number
): CostedDatabase<T> | undefined => {
  const weights = items.map(item => 1 / Math.max(1, totalMs(item)))
  let rest = random() * weights.reduce((sum, weight) => sum + weight, 0)
  return items.find((_, index) => {
    rest -= weights[index]!
    return rest <= 0
  }) ?? items.at(-1)
}

/** The database to try first. */
const firstOf = <T>(items: ReadonlyArray<CostedDatabase<T>>, random: () => number): CostedDatabase<T> | undefined => {
  const nearest = leastBy(items, ({ networkMs }) => networkMs)
  if (nearest === undefined || !items.some(item => isClearlyWorse(nearest, item))) return nearest
  const bestInRegion = leastBy(items.filter(({ isInOwnRegion }) => isInOwnRegion), totalMs)
  const worthwhile = items.filter(item =>
    item.isInOwnRegion || bestInRegion === undefined || isClearlyWorse(bestInRegion, item))
  const best = leastBy(worthwhile, totalMs)
  if (best === undefined) return nearest
  return pickByTime(worthwhile.filter(item => totalMs(item) <= totalMs(best) * closeFactor), random)
}

/** The databases, best first; `random` returns numbers from 0 to 1. */
export const orderByTime = <T>(items: ReadonlyArray<CostedDatabase<T>>, random: () => number): T[] => {
  const first = firstOf(items, random)
  if (first === undefined) return []
  const others = items.filter(item => item !== first).sort((one, other) => totalMs(one) - totalMs(other))
  return [first, ...others].map(({ database }) => database)
}
