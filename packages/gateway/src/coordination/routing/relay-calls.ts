/**
 * Interface for requests to other gateways, implemented by the transport.
 */
import type { Result, TypedError } from '@egretyoke/common'
import type { RelayMessages } from '@egretyoke/protocol'
import type { Member } from '../../state/stored-records.js'

/** Request to another gateway and its reply, without the message number. */
export type RelayRequest = Omit<RelayMessages.RelayRequest, 'number'>
export type RelayReply = RelayMessages.RelayReply__Output

/**
 * Why a request failed. `unsent`: the peer did not receive it. `tooLarge`: it was not sent, because it exceeds the
 * message limit of every peer. `lost`: the peer may have received it.
 */
export type RelayFailure = TypedError<'unsent' | 'tooLarge' | 'lost'>

/** Requests to other gateways. */
export type RelayCalls = {
  call: (peer: Member, request: RelayRequest, timeoutMs: number) => Promise<Result<RelayReply, RelayFailure>>
  /** False during the backoff after the peer did not reply or could not be reached. */
  isUsable: (peer: Member) => boolean
  /** True if the peer has replied on the current connection; opens a connection if there is none. */
  isConnected: (peer: Member) => boolean
}
