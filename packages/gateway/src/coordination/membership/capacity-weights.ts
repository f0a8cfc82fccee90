/**
 * Weights of the members in rank orders, from the capacity that they publish.
 *
 * Load pattern: VMs of 0.3 to 1.4 cores, of which the small ones become holders of databases as often as the large
 * ones. All VMs serve their own callers, whom the balancer spreads without regard to capacity. What is left for work on
 * behalf of others therefore grows faster than the capacity, and the delay falls with what is left. So the weight is
 * the square of the capacity: a VM with a quarter of the capacity ranks first for a sixteenth as many keys.
 */
import { medianOf } from '@egretyoke/common'
import type { Capacity, Member } from '../../state/stored-records.js'

const capacityExponent = 2
/** Link that a core uses up when it forwards statements; with less, the link is the limit. */
const linkMbpsPerCore = 16
/** Memory of the process without work, and memory for the statements and connections that a core can serve. */
const baseMemoryMb = 128
const memoryMbPerCore = 128
/** Keeps the weight of a VM positive, whatever it publishes. */
const minCores = 0.05

/** The cores that a VM can use for its work; undefined if it does not publish them. */
const usableCores = ({ processorCores, linkMbps = Infinity, memoryMb = Infinity }: Capacity): number | undefined => {
  if (processorCores === undefined) return undefined
  const byLink = linkMbps / linkMbpsPerCore
  const byMemory = (memoryMb - baseMemoryMb) / memoryMbPerCore
  return Math.max(minCores, Math.min(processorCores, byLink, byMemory))
}

/** Usable cores by name; a member that does not publish them counts as the median of the others. */
export const usableCoresByName = (members: readonly Pick<Member, 'name' | 'capacity'>[]): Map<string, number> => {
  const published = members.map(({ name, capacity = {} }) => ({ name, cores: usableCores(capacity) }))
  const known = published.flatMap(({ cores }) => cores ?? [])
  const median = known.length === 0 ? 1 : medianOf(known)
  return new Map(published.map(({ name, cores = median }) => [name, cores]))
}

/** Weights by name, from the usable cores. */
export const capacityWeights = (members: readonly Pick<Member, 'name' | 'capacity'>[]): Map<string, number> =>
  new Map([...usableCoresByName(members)].map(([name, cores]) => [name, cores ** capacityExponent]))

/**
 * Whether a member of an earlier version is in the fleet, which does not publish a capacity and ranks without weights.
 */
export const hasUnweightedMember = (members: readonly Pick<Member, 'capacity'>[]): boolean =>
  members.some(({ capacity }) => capacity === undefined)
