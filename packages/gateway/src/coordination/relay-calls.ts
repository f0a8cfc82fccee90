/**
 * Requests to other gateways, as a record of functions that the transport implements.
 */
import type { Result, TypedError } from '@egretyoke/common'
import type { RelayMessages } from '@egretyoke/protocol'
import type { Member } from '../state/stored-records.js'

/** What is asked, and the answer. */
export type RelayQuestion = Omit<RelayMessages.RelayRequest, 'number'>
export type RelayAnswer = RelayMessages.RelayReply__Output

/** `unsent`: the peer never got it. `lost`: it may have. */
export type RelayFailure = TypedError<'unsent' | 'lost'>

/** Requests to other gateways. */
export type RelayCalls = {
  ask: (peer: Member, question: RelayQuestion, timeoutMs: number) => Promise<Result<RelayAnswer, RelayFailure>>
  /** False for a while after a peer did not answer or could not be reached. */
  isUsable: (peer: Member) => boolean
  /** Whether the peer has answered on the connection that is open to it; one is opened if there is none. */
  isConnected: (peer: Member) => boolean
}
