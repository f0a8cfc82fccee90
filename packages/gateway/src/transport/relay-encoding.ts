/**
 * Encodes messages between gateways before they are written to a stream: a message over the receiver's limit would end
 * the stream and fail the requests of all callers on it, so it is found while it still concerns one request only.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import type { Result, TypedError } from '@egretyoke/common'
import { connectGrpc, defaultMaxMessageBytes, relayProto } from '@egretyoke/protocol'
import type { ChannelSettings, RelayMessages } from '@egretyoke/protocol'
import type { ClientDuplexStream } from '@grpc/grpc-js'

/** Largest message that a gateway accepts from another one. */
export const maxRelayMessageBytes = defaultMaxMessageBytes

/** The link itself decides on retries; gRPC's retries and statistics would cost processor time for each message. */
const channelOptions = {
  'grpc.enable_retries': 0, 'grpc.enable_channelz': 0, 'grpc.max_receive_message_length': maxRelayMessageBytes
}

/** A message that the receiver accepts. */
export type EncodedMessage = Buffer & { readonly isEncoded: true }

/** A message is too large to be sent; the metadata has its size and the limit. */
export type EncodingFailure = TypedError<'tooLarge'>

const fitting = (encoded: Buffer): Result<EncodedMessage, EncodingFailure> =>
  encoded.length > maxRelayMessageBytes
    ? Err(typedError('tooLarge', 'The message is too large.', {
      bytes: encoded.length, maxBytes: maxRelayMessageBytes
    }))
    : Ok(encoded as EncodedMessage)

/** Encodes a request. */
export const encodeRequest = (request: RelayMessages.RelayRequest): Result<EncodedMessage, EncodingFailure> =>
  fitting(relayProto.Relay.service.Exchange.requestSerialize(request))

/** Encodes a reply. */
export const encodeReply = (reply: RelayMessages.RelayReply): Result<EncodedMessage, EncodingFailure> =>
  fitting(relayProto.Relay.service.Exchange.responseSerialize(reply))

const passOn = (encoded: EncodedMessage): Buffer => encoded

/** Stream of encoded requests to another gateway. */
export type RequestStream = ClientDuplexStream<EncodedMessage, RelayMessages.RelayReply__Output>

/** Opens a connection to another gateway, with one stream. */
export const openRequestStream = (
  address: string, channels: ChannelSettings
): { stream: RequestStream, closeConnection: () => void } => {
  const { path, responseDeserialize } = relayProto.Relay.service.Exchange
  const client = connectGrpc(relayProto.Relay, address, channels, channelOptions)
  return {
    stream: client.makeBidiStreamRequest(path, passOn, responseDeserialize),
    closeConnection: () => client.close()
  }
}

/** The relay service, whose handler writes encoded replies. */
export const relayService = () => ({
  Exchange: { ...relayProto.Relay.service.Exchange, responseSerialize: passOn }
})
