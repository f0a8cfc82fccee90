/**
 * Handles requests from other gateways.
 */
import type { RelayMessages } from '@egretyoke/protocol'
import type { AgeClock } from '../../state/contact.js'
import { isPosition } from '../../state/position.js'
import type { FleetState } from '../../state/fleet-state.js'
import type { ControlCommands } from '../connections/control-commands.js'
import type { GroupPositions } from '../primaries/group-positions.js'
import type { GroupRecords } from '../primaries/group-records.js'
import type { Holders } from '../connections/holders.js'
import type { Usage } from '../usage/usage.js'
import type { TokenAllocator } from '../limits/token-allocator.js'
import { notRun, replyOf } from '../sessions/statement.js'
import type { StatementOutcome, StatementRequest } from '../sessions/statement.js'
import { replyToFollower } from '../store/follower-replies.js'
import type { FollowerRepliesOptions } from '../store/follower-replies.js'

/** Dependencies of the relay handler. */
export type RelayHandlerOptions = FollowerRepliesOptions & {
  fleetState: FleetState
  records: GroupRecords
  holders: Holders
  positions: GroupPositions
  allocator: TokenAllocator
  control: ControlCommands
  clock: AgeClock
  /** Absent where no usage is reported. */
  usage?: Pick<Usage, 'answer'> | undefined
  isReady: () => boolean
}

/** A position younger than this is returned without a status request to the primary. */
const freshPositionMs = 150
/** Shorter than the requester waits for a position. An older one that is known must still reach it in time. */
const statusTimeoutMs = { unknown: 300, known: 150 } as const
const probeTimeoutMs = 500
/** How long a primary's new work is paused for a handover; the group record is changed within this time. */
const handoverPauseMs = 2000
const drainTimeoutMs = 900

type Reply = Omit<RelayMessages.RelayReply, 'number'>

/**
 * Newest position of a group's primary and its age, as of now if this gateway can use and query the primary. An older
 * position is returned otherwise: the requester decides whether its age is permitted. Undefined if none is known.
 */
export const readPrimaryPosition = async (
  {
    fleetState, records, positions, control, clock
  }: Pick<RelayHandlerOptions, 'fleetState' | 'records' | 'positions' | 'control' | 'clock'>,
  group: string
): Promise<{ position: string, ageMs: number } | undefined> => {
  const newestKnown = () => {
    const sample = positions.newest(group)
    const ageMs = sample === undefined ? Infinity : clock.ageMs(sample.coversUntil)
    return sample === undefined || ageMs === Infinity ? undefined : { position: sample.position, ageMs }
  }
  const primary = fleetState.group(group)?.record.primary ?? ''
  const database = fleetState.databases().get(primary)
  if (database === undefined || !await records.becomeUser(group, primary)) return newestKnown()
  const known = newestKnown()
  if (known !== undefined && known.ageMs < freshPositionMs) return known
  const coversUntil = clock.now()
  const status = await control.run(
    database, { kind: 'status' }, known === undefined ? statusTimeoutMs.unknown : statusTimeoutMs.known
  )
  if (status.err || !records.canUse(group, primary)) return newestKnown()
  const position = status.val.appliedPosition
  positions.record(group, { position, coversUntil })
  return { position, ageMs: clock.ageMs(coversUntil) }
}

/** Creates the handler. It returns undefined for requests that get no reply. */
export const createRelayHandler = (options: RelayHandlerOptions) => {
  const { fleetState, records, holders, allocator, control, isReady } = options

  /** A position that cannot be compared would be lost among others, and a read could miss its session's writes. */
  const run = async (request: StatementRequest): Promise<StatementOutcome> => {
    const { ownPosition } = request
    const isComparable = ownPosition === '' || isPosition(ownPosition)
    return isComparable ? await holders.run(request) : notRun('lagging')
  }

  const positionOf = async ({ group }: RelayMessages.AskPosition__Output): Promise<Reply> => {
    const read = await readPrimaryPosition(options, group)
    const { position, ageMs } = read ?? { position: '', ageMs: 0 }
    return { position: { position, ageMs: Math.ceil(ageMs) } }
  }

  const stopPrimary = async ({ group, revision, finish }: RelayMessages.StopPrimary__Output): Promise<Reply> => {
    const holder = holders.get(fleetState.group(group)?.record.primary ?? '')
    if (finish) {
      holder?.pause(handoverPauseMs)
      const stopped = await holder?.waitUntilIdle(drainTimeoutMs) ?? true
      return { primaryStopped: { stopped, position: '' } }
    }
    records.stopUse(group, revision)
    return { primaryStopped: { stopped: true, position: options.positions.newest(group)?.position ?? '' } }
  }

  const probe = async ({ database: id, onlyByUse }: RelayMessages.ProbeDatabase__Output): Promise<Reply> => {
    const database = fleetState.databases().get(id)
    if (onlyByUse) return { databaseProbe: { reachable: holders.hasRepliedRecently(id) } }
    if (database === undefined) return { databaseProbe: { reachable: false } }
    const status = await control.run(database, { kind: 'status' }, probeTimeoutMs)
    return { databaseProbe: { reachable: status.ok || status.val.reason === 'declined' } }
  }

  return async (request: RelayMessages.RelayRequest__Output): Promise<Reply | undefined> => {
    if (request.run) return { statement: replyOf(await run(request.run)) }
    if (request.takeTokens) return { tokens: allocator.allocate(request.takeTokens) }
    if (request.askPosition) return await positionOf(request.askPosition)
    if (request.stopPrimary) return await stopPrimary(request.stopPrimary)
    if (request.probeDatabase) return await probe(request.probeDatabase)
    if (request.followStore) return { storeNews: await replyToFollower(options, request.followStore) }
    if (request.readUsage && options.usage) return { usageCounts: options.usage.answer(request.readUsage) }
    if (request.abandon) {
      holders.abandon(request.abandon.database, request.abandon.transactionId)
      return undefined
    }
    return { pong: { ready: isReady() } }
  }
}
