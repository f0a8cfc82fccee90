/**
 * gRPC service for peers and stewards.
 */
import type { sendUnaryData, Server, ServerDuplexStream, ServerUnaryCall } from '@grpc/grpc-js'
import { peerProto } from '@egretyoke/protocol'
import type { PeerMessages } from '@egretyoke/protocol'

type HeartbeatStream = ServerDuplexStream<PeerMessages.HeartbeatMessage__Output, PeerMessages.HeartbeatMessage>

/** Handlers of the calls that peers and stewards may make. */
export type PeerHandlers = {
  heartbeat: (message: PeerMessages.HeartbeatMessage__Output) => PeerMessages.HeartbeatMessage
  fetchState: (request: PeerMessages.FetchStateRequest__Output) => PeerMessages.FetchStateReply
  stopConfirming: (request: PeerMessages.StopConfirmingRequest__Output) => PeerMessages.StopConfirmingReply
  borrow: (request: PeerMessages.BorrowRequest__Output) => PeerMessages.BorrowReply
}

const unary = <Request, Reply>(handle: (request: Request) => Reply) =>
  (call: ServerUnaryCall<Request, Reply>, callback: sendUnaryData<Reply>) => callback(null, handle(call.request))

/** Adds the peers' service to a listener. */
export const addPeerService = (server: Server, handlers: PeerHandlers): void => {
  server.addService(peerProto.Peer.service, {
    Heartbeat: unary(handlers.heartbeat),
    Heartbeats: (call: HeartbeatStream) => {
      call.on('data', (message: PeerMessages.HeartbeatMessage__Output) => call.write(handlers.heartbeat(message)))
      call.on('end', () => call.end())
      call.on('error', () => {})
    },
    FetchState: unary(handlers.fetchState),
    StopConfirming: unary(handlers.stopConfirming),
    Borrow: unary(handlers.borrow)
  })
}
