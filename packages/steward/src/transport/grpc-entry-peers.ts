/**
 * Calls to entries over gRPC, with one channel per address.
 */
import type { StoreChanges } from '@egretyoke/fleet'
import { callUnary, connectGrpc, peerProto } from '@egretyoke/protocol'
import type { ChannelSettings } from '@egretyoke/protocol'
import type { EntryPeers } from '../coordination/entry-peers.js'
import { createClientCache } from './client-cache.js'

/** Empty VM name in the steward's heartbeats, so that entries do not count the steward as a peer. */
const observerVm = ''

/** Calls to entries over cached gRPC channels. */
export type GrpcEntryPeers = EntryPeers & {
  /** Fetches an entry's records that changed after a revision; undefined if it does not reply or is starting. */
  fetchState: (address: string, afterRevision: number) => Promise<StoreChanges | undefined>
  close: () => void
}

/** Creates the calls; `timeoutMs` is the timeout of each call. */
export const createGrpcEntryPeers = (channels: ChannelSettings, timeoutMs: number): GrpcEntryPeers => {
  const clients = createClientCache(address => connectGrpc(peerProto.Peer, address, channels))
  return {
    observe: async entry => {
      const client = clients.get(entry.address)
      const reply = await callUnary(client, client.Heartbeat, { vm: observerVm }, timeoutMs)
      return reply.ok ? reply.val : undefined
    },
    stopConfirming: async (entry, request) => {
      const client = clients.get(entry.address)
      const reply = await callUnary(client, client.StopConfirming, request, timeoutMs)
      return reply.ok && reply.val.acknowledged && reply.val.vm === entry.name
    },
    fetchState: async (address, afterRevision) => {
      const client = clients.get(address)
      const reply = await callUnary(client, client.FetchState, { afterRevision }, timeoutMs)
      if (!reply.ok || reply.val.starting) return undefined
      return { entries: reply.val.entries, storeRevision: reply.val.knownRevision }
    },
    close: clients.close
  }
}
