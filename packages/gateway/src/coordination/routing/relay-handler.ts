/**
 * Handles requests from other gateways.
 */
import type { RelayMessages } from '@egretyoke/protocol'
import { msBetween } from '../../state/contact.js'
import type { AgeClock } from '../../state/contact.js'
import { isPosition } from '../../state/position.js'
import type { FleetState } from '../../state/fleet-state.js'
import type { ControlCommands } from '../connections/control-commands.js'
import { maxSharedAgeMs } from '../primaries/group-positions.js'
import type { GroupPositions } from '../primaries/group-positions.js'
import type { GroupRecords } from '../primaries/group-records.js'
import type { ReadPrimaryPosition } from '../primaries/primary-position.js'
import type { Holders } from '../connections/holders.js'
import type { Usage } from '../usage/usage.js'
import type { TokenAllocator } from '../limits/token-allocator.js'
import { notRun, replyOf, requestIn } from '../sessions/statement.js'
import type { StatementOutcome, StatementRequest } from '../sessions/statement.js'
import { replyToFollower } from '../store/follower-replies.js'
import type { FollowerRepliesOptions } from '../store/follower-replies.js'

/** Dependencies of the relay handler. */
export type RelayHandlerOptions = FollowerRepliesOptions & {
  fleetState: FleetState
  records: GroupRecords
  holders: Holders
  positions: Pick<GroupPositions, 'newest'>
  readPosition: ReadPrimaryPosition
  allocator: TokenAllocator
  control: ControlCommands
  clock: AgeClock
  /** Absent where no usage is reported. */
  usage?: Pick<Usage, 'answer'> | undefined
  isReady: () => boolean
}

const probeTimeoutMs = 500
/** How long a primary's new work is paused for a handover; the group record is changed within this time. */
const handoverPauseMs = 2000
const drainTimeoutMs = 900

type Reply = Omit<RelayMessages.RelayReply, 'number'>

/** Creates the handler. It returns undefined for requests that get no reply. */
export const createRelayHandler = (options: RelayHandlerOptions) => {
  const { fleetState, records, holders, allocator, control, clock, isReady } = options

  /** A position that cannot be compared would be lost among others, and a read could miss its session's writes. */
  const run = async (request: StatementRequest): Promise<StatementOutcome> => {
    const { ownPosition } = request
    const isComparable = ownPosition === '' || isPosition(ownPosition)
    return isComparable ? await holders.run(request) : notRun('lagging')
  }

  const positionOf = async (
    { group, maxAgeMs = maxSharedAgeMs }: RelayMessages.AskPosition__Output
  ): Promise<Reply> => {
    const arrivedAt = clock.now()
    const sample = await options.readPosition(group, maxAgeMs)
    // Counted back from the arrival, so that a position that was read for the request covers the time of the request.
    const ageMs = sample === undefined ? Infinity : Math.max(0, msBetween(sample.coversUntil, arrivedAt))
    if (sample === undefined || ageMs === Infinity) return { position: { position: '', ageMs: 0 } }
    return { position: { position: sample.position, ageMs: Math.ceil(ageMs) } }
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
    if (request.run) return { statement: replyOf(await run(requestIn(request.run))) }
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
