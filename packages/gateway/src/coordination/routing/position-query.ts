/**
 * Asks the holders of a group's primary for the primary's log position.
 */
import type { AgeClock } from '../../state/contact.js'
import type { FleetState } from '../../state/fleet-state.js'
import type { Member } from '../../state/stored-records.js'
import { sampleFromPeer } from '../primaries/group-positions.js'
import type { FetchPosition, PositionSample } from '../primaries/group-positions.js'
import type { ReadPrimaryPosition } from '../primaries/primary-position.js'
import type { HolderChoice } from './holder-choice.js'
import type { RelayCalls } from './relay-calls.js'

/** Time-out of the request to each holder; no further one is asked once this time has passed. */
const positionTimeoutMs = 400

/** Dependencies of the query. */
export type PositionQueryOptions = {
  /** Name of this gateway. */
  self: string
  fleetState: Pick<FleetState, 'databases' | 'group'>
  holders: HolderChoice
  relay: Pick<RelayCalls, 'call'>
  clock: AgeClock
  /** Reads the position through a connection of this gateway. */
  readLocally: ReadPrimaryPosition
}

/** Creates the query. It asks the holders in order, since the first one may have lost the store or the primary. */
export const createPositionQuery = (options: PositionQueryOptions): FetchPosition => {
  const { self, fleetState, holders, relay, clock, readLocally } = options

  const askHolder = async (holder: Member, group: string, maxAgeMs: number): Promise<PositionSample | undefined> => {
    if (holder.name === self) return await readLocally(group, maxAgeMs)
    const requestedAt = clock.now()
    const askPosition = { group, maxAgeMs: Math.floor(maxAgeMs) }
    const reply = await relay.call(holder, { askPosition }, positionTimeoutMs)
    return reply.ok ? sampleFromPeer(reply.val.position, requestedAt) : undefined
  }

  return async (group, maxAgeMs) => {
    const primary = fleetState.databases().get(fleetState.group(group)?.record.primary ?? '')
    if (primary === undefined) return undefined
    const startedAtMs = performance.now()
    for (const holder of holders.candidates(primary, [])) {
      const sample = await askHolder(holder, group, maxAgeMs)
      if (sample !== undefined || performance.now() - startedAtMs >= positionTimeoutMs) return sample
    }
    return undefined
  }
}
