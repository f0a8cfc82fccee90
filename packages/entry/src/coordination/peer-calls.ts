/**
 * Calls to peers, provided by the transport layer. They resolve to undefined if there is no reply in time.
 */
import type { PeerMessages } from '@egretyoke/protocol'

/** Calls to a peer by its address, with a timeout in milliseconds. */
export type PeerCalls = {
  heartbeat: (
    address: string,
    message: PeerMessages.HeartbeatMessage,
    timeoutMs: number
  ) => Promise<PeerMessages.HeartbeatMessage__Output | undefined>
  fetchState: (
    address: string,
    afterRevision: number,
    timeoutMs: number
  ) => Promise<PeerMessages.FetchStateReply__Output | undefined>
  borrow: (
    address: string,
    request: PeerMessages.BorrowRequest,
    timeoutMs: number
  ) => Promise<PeerMessages.BorrowReply__Output | undefined>
}
