/**
 * Client of a group member's published gRPC protocol.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import type { Result } from '@egretyoke/common'
import { callUnary, connectGrpc, endpointProto } from '@egretyoke/protocol'
import type { CallFailure, ChannelSettings, EndpointMessages } from '@egretyoke/protocol'
import type { ControlResponse, GroupMember, MemberError, MemberState } from './member.js'

type ControlReply = EndpointMessages.ControlReply__Output

const noAnswerError = (failure: CallFailure): MemberError => typedError('noAnswer', failure.message, failure.metadata)

const toControlResponse = (result: Result<ControlReply, CallFailure>): Result<ControlResponse, MemberError> => {
  if (!result.ok) return Err(noAnswerError(result.val))
  const { accepted, reason, status } = result.val
  if (!status) return Err(typedError('noAnswer', 'the reply contains no status'))
  return Ok({ accepted, reason, state: status })
}

/** Connects to the member at HOST:PORT. */
export const connectMember = (address: string, channels: ChannelSettings): GroupMember => {
  const client = connectGrpc(endpointProto.Member, address, channels)
  return {
    getStatus: async timeoutMs => {
      const status = await callUnary(client, client.GetStatus, {}, timeoutMs)
      return status.ok ? Ok<MemberState>(status.val) : Err(noAnswerError(status.val))
    },
    fence: async (term, timeoutMs) =>
      toControlResponse(await callUnary(client, client.Fence, { term }, timeoutMs)),
    promote: async (term, timeoutMs) =>
      toControlResponse(await callUnary(client, client.Promote, { term }, timeoutMs)),
    follow: async (term, primary, timeoutMs) => {
      const request = { term, primaryName: primary.name, primaryAddress: primary.address }
      return toControlResponse(await callUnary(client, client.Follow, request, timeoutMs))
    },
    close: () => client.close()
  }
}
