/**
 * Keeps the list of databases that may hold confirmed commits in a group's record, while its primary serves. A database
 * that is gone for good is dropped from the list once enough others have all that it may have received: otherwise every
 * later change of the primary would have to wait for it.
 */
import type { Clock } from '@egretyoke/common'
import type { FleetState, Versioned } from '../../state/fleet-state.js'
import type { GroupRecord, LogCopy } from '../../state/stored-records.js'
import type { ControlCommands } from '../connections/control-commands.js'
import { comparePositions } from '../../state/position.js'
import type { GroupRecords } from './group-records.js'
import { areSameCopies, copiesWithoutEntry, mergeCopies } from './log-copies.js'

const statusTimeoutMs = 500
/** Time without an entry after which a database may be gone. Entries that only lapsed return within seconds. */
const goneAfterMs = 10_000

/** Keeps the copies of the groups that this gateway monitors. */
export type CopyRecorder = { check: (group: string, versioned: Versioned<GroupRecord>) => Promise<void> }

/** Dependencies of the copy recorder. */
export type CopyRecorderOptions = {
  fleetState: FleetState
  records: Pick<GroupRecords, 'store'>
  control: Pick<ControlCommands, 'run'>
  nowMs: Clock
}

/** Creates a recorder without observations. */
export const createCopyRecorder = ({ fleetState, records, control, nowMs }: CopyRecorderOptions): CopyRecorder => {
  /** When each copy was first seen without an entry, by group and address. */
  const missingSinceMs = new Map<string, number>()

  /** Copies that have had no entry for a while. */
  const longMissing = (group: string, recorded: readonly LogCopy[]): LogCopy[] => {
    const missing = copiesWithoutEntry(recorded, fleetState.databasesOf(group))
    const keyOf = ({ address }: LogCopy) => `${group} ${address}`
    for (const copy of recorded) if (!missing.includes(copy)) missingSinceMs.delete(keyOf(copy))
    return missing.filter(copy => {
      const sinceMs = missingSinceMs.get(keyOf(copy)) ?? nowMs()
      missingSinceMs.set(keyOf(copy), sinceMs)
      if (nowMs() - sinceMs < goneAfterMs) return false
      // Checked again after as long, if it cannot be dropped now.
      missingSinceMs.set(keyOf(copy), nowMs())
      return true
    })
  }

  const statusOf = async (group: string, copy: LogCopy) => {
    const status = await control.run({ ...copy, group }, { kind: 'status' }, statusTimeoutMs)
    return status.ok ? status.val : undefined
  }

  /** True if the database does not answer, and enough others have every commit that it may have received. */
  const canDrop = async (group: string, record: GroupRecord, dropped: LogCopy, others: readonly LogCopy[]) => {
    const syncReplicas = fleetState.configuration()?.groups.get(group)?.syncReplicas ?? 0
    const primaryCopy = others.find(({ id }) => id === record.primary)
    if (primaryCopy === undefined || await statusOf(group, dropped) !== undefined) return false
    const primary = await statusOf(group, primaryCopy)
    if (primary?.role !== 'primary' || primary.term !== record.term) return false
    const replicas = others.filter(copy => copy !== primaryCopy)
    const statuses = await Promise.all(replicas.map(async copy => await statusOf(group, copy)))
    const current = statuses.filter(status =>
      status !== undefined && comparePositions(status.receivedPosition, primary.receivedPosition) >= 0)
    return current.length >= syncReplicas
  }

  const check = async (group: string, { record, revision }: Versioned<GroupRecord>) => {
    const syncReplicas = fleetState.configuration()?.groups.get(group)?.syncReplicas ?? 0
    if (syncReplicas === 0 || record.phase !== 'serving') return
    let copies = mergeCopies(record.copies, fleetState.databasesOf(group))
    for (const copy of longMissing(group, record.copies)) {
      const others = copies.filter(({ address }) => address !== copy.address)
      if (await canDrop(group, record, copy, others)) copies = others
    }
    if (areSameCopies(record.copies, copies)) return
    await records.store(group, { ...record, copies }, revision)
  }

  return { check }
}
