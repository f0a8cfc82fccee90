/**
 * Ranks gateways by rendezvous hashing, weighted by their capacity: gateways with the same member list compute the same
 * order for a key, so that no consensus round is needed. Orders are cached until the member list changes.
 *
 * A duty that two gateways of different versions each expect of the other would not be performed. Duties are therefore
 * ranked without weights while a member of a version without them is in the fleet.
 */
import { rankByRendezvous } from '@egretyoke/limits'
import type { RendezvousWeights } from '@egretyoke/limits'
import type { FleetState } from '../../state/fleet-state.js'
import type { Member } from '../../state/stored-records.js'
import { capacityWeights, hasUnweightedMember } from './capacity-weights.js'

/** Rank of the members of one fleet state, by key. */
export type Election = {
  /** All members, including draining ones, in rank order for the key; in an order that earlier versions share. */
  ranked: (key: string) => readonly Member[]
  /** The same by capacity in any fleet, for choices on which gateways need not agree. */
  rankedByCapacity: (key: string) => readonly Member[]
  /** Name of the highest-ranked member for the duty that is not draining; undefined if there is none. */
  first: (key: string) => string | undefined
}

/** Maximum number of keys with a cached order. */
const maxKeys = 4096

/** Creates an election over the members of the fleet state. */
export const createElection = (fleetState: Pick<FleetState, 'members' | 'membersVersion'>): Election => {
  const weighted = new Map<string, readonly Member[]>()
  const unweighted = new Map<string, readonly Member[]>()
  let weights: RendezvousWeights = new Map()
  let isWeightedForDuties = true
  let version = -1

  const update = () => {
    if (version === fleetState.membersVersion()) return
    version = fleetState.membersVersion()
    weighted.clear()
    unweighted.clear()
    const members = [...fleetState.members().values()]
    weights = capacityWeights(members)
    isWeightedForDuties = !hasUnweightedMember(members)
  }

  const orderOf = (key: string, isWeighted: boolean): readonly Member[] => {
    const cache = isWeighted ? weighted : unweighted
    const cached = cache.get(key)
    if (cached !== undefined) return cached
    if (cache.size > maxKeys) cache.clear()
    const members = fleetState.members()
    const names = rankByRendezvous(key, [...members.keys()], isWeighted ? weights : undefined)
    const order = names.flatMap(name => members.get(name) ?? [])
    cache.set(key, order)
    return order
  }

  const ranked = (key: string) => {
    update()
    return orderOf(key, isWeightedForDuties)
  }

  const rankedByCapacity = (key: string) => {
    update()
    return orderOf(key, true)
  }

  return { ranked, rankedByCapacity, first: key => ranked(key).find(member => !member.draining)?.name }
}
