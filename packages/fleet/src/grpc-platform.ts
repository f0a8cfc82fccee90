/**
 * Client of the platform's published gRPC protocol.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import type { Result } from '@egretyoke/common'
import { callUnary, connectGrpc, platformProto } from '@egretyoke/protocol'
import type { CallFailure, ChannelSettings, PlatformMessages } from '@egretyoke/protocol'
import type { Platform, PlatformError, StoreChanges, StoredEntry } from './platform.js'

const fromWire = (entry: PlatformMessages.Entry__Output): StoredEntry =>
  ({ key: entry.key, value: entry.value, revision: entry.revision, deleted: entry.deleted })

const existingEntry = (entry: PlatformMessages.Entry__Output | null): StoredEntry | undefined => {
  if (!entry || entry.revision === 0 || entry.deleted) return undefined
  return fromWire(entry)
}

const changesFromWire = (reply: PlatformMessages.RangeReply__Output): StoreChanges =>
  ({ entries: reply.entries.map(fromWire), storeRevision: reply.storeRevision })

const noAnswerError = (failure: CallFailure): PlatformError => typedError('noAnswer', failure.message, failure.metadata)

const mapResult = <Reply, T>(result: Result<Reply, CallFailure>, map: (reply: Reply) => T): Result<T, PlatformError> =>
  result.ok ? Ok(map(result.val)) : Err(noAnswerError(result.val))

/** Connects to the platform at HOST:PORT. */
export const connectPlatform = (address: string, channels: ChannelSettings): Platform => {
  const store = connectGrpc(platformProto.KeyValue, address, channels)
  const vmList = connectGrpc(platformProto.VmList, address, channels)

  async function * watch (prefix: string, afterRevision: number, signal: AbortSignal): AsyncGenerator<StoreChanges> {
    const call = store.Watch({ prefix, afterRevision })
    const cancel = () => call.cancel()
    signal.addEventListener('abort', cancel, { once: true })
    try {
      for await (const reply of call) yield changesFromWire(reply as PlatformMessages.RangeReply__Output)
    } catch {
      // A broken stream ends the generator like a completed one; the caller starts a new watch.
    } finally {
      signal.removeEventListener('abort', cancel)
      call.cancel()
    }
  }

  return {
    get: async (key, timeoutMs) =>
      mapResult(await callUnary(store, store.Get, { key }, timeoutMs), reply => existingEntry(reply.entry)),
    range: async (prefix, afterRevision, timeoutMs) =>
      mapResult(await callUnary(store, store.Range, { prefix, afterRevision }, timeoutMs), changesFromWire),
    compareAndSwap: async (swap, timeoutMs) =>
      mapResult(await callUnary(store, store.CompareAndSwap, swap, timeoutMs), reply => ({
        swapped: reply.swapped,
        current: existingEntry(reply.current),
        storeRevision: reply.storeRevision
      })),
    watch,
    grantLease: async (ttlMs, timeoutMs) =>
      mapResult(await callUnary(store, store.GrantLease, { ttlMs }, timeoutMs), reply => reply.leaseId),
    keepAlive: async (leaseId, timeoutMs) =>
      mapResult(await callUnary(store, store.KeepAlive, { leaseId }, timeoutMs), reply => reply.alive),
    revokeLease: async (leaseId, timeoutMs) =>
      mapResult(await callUnary(store, store.RevokeLease, { leaseId }, timeoutMs), reply => reply.alive),
    listVms: async timeoutMs =>
      mapResult(await callUnary(vmList, vmList.List, {}, timeoutMs), reply => reply.vms),
    close: () => {
      store.close()
      vmList.close()
    }
  }
}
