/**
 * Ranks gateways by rendezvous hashing: gateways with the same member list compute the same order for a key, so that no
 * consensus round is needed. Orders are cached until the member list changes.
 */
import { rankByRendezvous } from '@egretyoke/limits'
import type { FleetState } from '../../state/fleet-state.js'
import type { Member } from '../../state/stored-records.js'

/** Rank of the members of one fleet state, by key. */
export type Election = {
  /** All members, including draining ones, in rank order for the key. */
  ranked: (key: string) => readonly Member[]
  /** Name of the highest-ranked member for the key that is not draining; undefined if there is none. */
  first: (key: string) => string | undefined
}

/** Maximum number of keys with a cached order. */
const maxKeys = 4096

/** Creates an election over the members of the fleet state. */
export const createElection = (fleetState: Pick<FleetState, 'members' | 'membersVersion'>): Election => {
  const cache = new Map<string, readonly Member[]>()
  let version = -1

  const ranked = (key: string): readonly Member[] => {
    if (version !== fleetState.membersVersion() || cache.size > maxKeys) cache.clear()
    version = fleetState.membersVersion()
    const cached = cache.get(key)
    if (cached !== undefined) return cached
    const members = fleetState.members()
    const order = rankByRendezvous(key, [...members.keys()]).flatMap(name => members.get(name) ?? [])
    cache.set(key, order)
    return order
  }

  return { ranked, first: key => ranked(key).find(member => !member.draining)?.name }
}
