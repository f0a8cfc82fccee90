/**
 * Reads the log position of a group's primary at a gateway that may use it.
 */
import type { AgeClock } from '../../state/contact.js'
import type { FleetState } from '../../state/fleet-state.js'
import type { ControlCommands } from '../connections/control-commands.js'
import type { GroupPositions, PositionSample } from './group-positions.js'
import type { GroupRecords } from './group-records.js'
import { createSharedReads } from './shared-reads.js'

/** Shorter than the requester waits for a position. An older one that is known must still reach it in time. */
const statusTimeoutMs = { unknown: 300, known: 150 } as const

/**
 * The newest position of a group's primary, at most `maxAgeMs` old if this gateway can use and query the primary. An
 * older one is returned otherwise: the requester decides whether its age is permitted. Undefined if none is known.
 */
export type ReadPrimaryPosition = (group: string, maxAgeMs: number) => Promise<PositionSample | undefined>

/** Dependencies of the reader. */
export type PrimaryPositionOptions = {
  fleetState: Pick<FleetState, 'group' | 'databases'>
  records: Pick<GroupRecords, 'becomeUser' | 'canUse'>
  positions: Pick<GroupPositions, 'newest' | 'record'>
  control: Pick<ControlCommands, 'run'>
  clock: AgeClock
}

/** Creates the reader of one gateway. Those that ask at the same time share a status request to the primary. */
export const createPrimaryPositionReader = (
  { fleetState, records, positions, control, clock }: PrimaryPositionOptions
): ReadPrimaryPosition => {
  const newestKnown = (group: string): PositionSample | undefined => {
    const sample = positions.newest(group)
    return sample === undefined || clock.ageMs(sample.coversUntil) === Infinity ? undefined : sample
  }

  const readStatus = async (group: string): Promise<PositionSample | undefined> => {
    const primary = fleetState.group(group)?.record.primary ?? ''
    const database = fleetState.databases().get(primary)
    if (database === undefined || !await records.becomeUser(group, primary)) return newestKnown(group)
    const timeoutMs = newestKnown(group) === undefined ? statusTimeoutMs.unknown : statusTimeoutMs.known
    const coversUntil = clock.now()
    const status = await control.run(database, { kind: 'status' }, timeoutMs)
    if (status.err || !records.canUse(group, primary)) return newestKnown(group)
    const sample = { position: status.val.appliedPosition, coversUntil }
    positions.record(group, sample)
    return sample
  }
  const shareStatus = createSharedReads(readStatus, () => clock.now().monotonicMs)

  return async (group, maxAgeMs) => {
    const known = newestKnown(group)
    if (known !== undefined && clock.ageMs(known.coversUntil) <= maxAgeMs) return known
    return await shareStatus(group, { acceptedMs: maxAgeMs, requestedMs: 0 })
  }
}
