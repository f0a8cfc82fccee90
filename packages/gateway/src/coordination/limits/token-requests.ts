/**
 * Requests tokens of a workspace's rate limit from the gateway that allocates them.
 */
import type { FleetState } from '../../state/fleet-state.js'
import { splitProcessName } from '../../state/stored-records.js'
import type { Member } from '../../state/stored-records.js'
import type { RelayCalls } from '../routing/relay-calls.js'
import type { RequestTokens } from './admission.js'
import { shardOf } from './token-allocator.js'
import type { TokenAllocator } from './token-allocator.js'

const tokenTimeoutMs = 250

/** Dependencies of the requests. */
export type TokenRequestsOptions = {
  name: string
  /** NAME/INCARNATION of this process. */
  self: string
  fleetState: Pick<FleetState, 'limitRecord' | 'members'>
  allocator: Pick<TokenAllocator, 'allocate'>
  relay: Pick<RelayCalls, 'call'>
  isAnswering: (member: Member) => boolean
}

/**
 * Creates the requests. They do not wait for an allocator that does not answer: admission uses the last known share of
 * the rate meanwhile.
 */
export const createTokenRequests = (options: TokenRequestsOptions): RequestTokens => {
  const { name, self, fleetState, allocator, relay, isAnswering } = options
  return async (workspace, wanted) => {
    const allocatorName = fleetState.limitRecord(shardOf(workspace))?.keeper
    if (allocatorName === undefined) return undefined
    const request = { workspace, wanted, asker: name }
    if (allocatorName === self) return allocator.allocate(request)
    const member = fleetState.members().get(splitProcessName(allocatorName).name)
    if (member === undefined || !isAnswering(member)) return undefined
    const reply = await relay.call(member, { takeTokens: request }, tokenTimeoutMs)
    return reply.ok ? reply.val.tokens ?? undefined : undefined
  }
}
