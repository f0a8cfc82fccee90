/**
 * Ranks of gateways: everybody who knows the same members ranks them alike for a key, so that no agreement is needed.
 * A rank is worked out again only when the members have changed.
 */
import { rankByRendezvous } from '@egretyoke/limits'
import type { FleetView } from '../state/fleet-view.js'
import type { Member } from '../state/stored-records.js'

/** The ranks in one view. */
export type Election = {
  /** All members, draining ones included, in their order for the key. */
  ranked: (key: string) => readonly Member[]
  /** The name of the first member for the key that is not draining; undefined when there is none. */
  first: (key: string) => string | undefined
}

/** Keys whose ranks are kept. */
const maxKeys = 4096

/** Creates the ranks of the view's members. */
export const createElection = (view: Pick<FleetView, 'members' | 'membersVersion'>): Election => {
  const known = new Map<string, readonly Member[]>()
  let version = -1

  const ranked = (key: string): readonly Member[] => {
    if (version !== view.membersVersion() || known.size > maxKeys) known.clear()
    version = view.membersVersion()
    const kept = known.get(key)
    if (kept !== undefined) return kept
    const members = view.members()
    const order = rankByRendezvous(key, [...members.keys()]).flatMap(name => members.get(name) ?? [])
    known.set(key, order)
    return order
  }

  return { ranked, first: key => ranked(key).find(member => !member.draining)?.name }
}
