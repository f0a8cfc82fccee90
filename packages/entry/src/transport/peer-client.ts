/**
 * gRPC clients for peers: one channel for each address, opened on first use.
 */
import { callUnary, connectGrpc, createStreamCaller, peerProto } from '@egretyoke/protocol'
import type { ChannelSettings, PeerMessages, StreamCaller } from '@egretyoke/protocol'
import type { PeerCalls } from '../coordination/peer-calls.js'
import { maxPeers } from '../state/peer-table.js'

type HeartbeatCaller = StreamCaller<PeerMessages.HeartbeatMessage, PeerMessages.HeartbeatMessage__Output>

/** Channel and heartbeat stream to one peer. */
type PeerClient = { service: InstanceType<typeof peerProto.Peer>, heartbeats: HeartbeatCaller }

/** Calls to peers, with management of their channels. */
export type PeerClients = PeerCalls & {
  /** Closes channels to addresses that are not in the list. */
  retain: (addresses: readonly string[]) => void
  close: () => void
}

/** Creates the clients. */
export const createPeerClients = (channels: ChannelSettings): PeerClients => {
  const clients = new Map<string, PeerClient>()

  const retain = (addresses: readonly string[]) => {
    for (const [address, client] of clients) {
      if (addresses.includes(address)) continue
      client.heartbeats.close()
      client.service.close()
      clients.delete(address)
    }
  }

  const clientOf = (address: string): PeerClient => {
    const existing = clients.get(address)
    if (existing) return existing
    if (clients.size >= maxPeers) retain([])
    const service = connectGrpc(peerProto.Peer, address, channels)
    const client = { service, heartbeats: createStreamCaller(() => service.Heartbeats()) }
    clients.set(address, client)
    return client
  }

  return {
    heartbeat: (address, message, timeoutMs) => clientOf(address).heartbeats.call(message, timeoutMs),
    fetchState: async (address, afterRevision, timeoutMs) => {
      const { service } = clientOf(address)
      const reply = await callUnary(service, service.FetchState, { afterRevision }, timeoutMs)
      return reply.ok ? reply.val : undefined
    },
    borrow: async (address, request, timeoutMs) => {
      const { service } = clientOf(address)
      const reply = await callUnary(service, service.Borrow, request, timeoutMs)
      return reply.ok ? reply.val : undefined
    },
    retain,
    close: () => retain([])
  }
}
