/**
 * Runs the platform's contract against the gRPC adapter connected to the stand-in, and against an in-memory
 * implementation that uses neither the protocol nor another process.
 */
import test from 'ava'
import { Err, monotonicMs, Ok, sleepMs, typedError } from '@egretyoke/common'
import type { Result } from '@egretyoke/common'
import { connectPlatform } from '@egretyoke/fleet'
import type { Platform, PlatformError, StoreChanges, StoredEntry, VmListing } from '@egretyoke/fleet'
import { platformContractCases } from '@egretyoke/fleet/platform-contract'
import type { PlatformFaults, PlatformSubject } from '@egretyoke/fleet/platform-contract'
import { callUnary, connectGrpc, loopbackChannels, standinProto } from '@egretyoke/protocol'
import { createPlatformStore } from './platform-store.js'
import type { StoreEntry } from './platform-store.js'
import { startStandinPlatform } from './platform-server.js'

const controlTimeoutMs = 5000

const startOverGrpc = async (): Promise<PlatformSubject> => {
  const listener = await startStandinPlatform({ address: '127.0.0.1:0', channels: loopbackChannels, seed: 1 })
  const platform = connectPlatform(listener.address, loopbackChannels)
  const control = connectGrpc(standinProto.PlatformControl, listener.address, loopbackChannels)
  return {
    platform,
    setFaults: async faults => {
      (await callUnary(control, control.SetPlatformFault, faults, controlTimeoutMs)).unwrap()
    },
    setVms: async vms => {
      (await callUnary(control, control.SetVms, { vms }, controlTimeoutMs)).unwrap()
    },
    close: async () => {
      platform.close()
      control.close()
      await listener.close()
    }
  }
}

const toStored = ({ key, value, revision, deleted }: StoreEntry): StoredEntry => ({ key, value, revision, deleted })

const startInMemory = async (): Promise<PlatformSubject> => {
  const store = createPlatformStore()
  let faults: PlatformFaults = {}
  let vmLists: Array<{ vms: VmListing[], sinceMs: number }> = []

  const respond = async <T>(
    operation: () => T,
    timeoutMs: number,
    isReplyLost = () => false
  ): Promise<Result<T, PlatformError>> => {
    const delayMs = faults.delayMs ?? 0
    const isTimedOut = faults.down === true || delayMs > timeoutMs
    await sleepMs(isTimedOut ? timeoutMs : delayMs)
    // A call that times out still takes effect, unless the platform is down.
    const value = faults.down ? undefined : operation()
    if (isTimedOut || isReplyLost()) return Err(typedError('noAnswer', 'lost'))
    return Ok(value as T)
  }

  async function * watch (prefix: string, afterRevision: number, signal: AbortSignal): AsyncGenerator<StoreChanges> {
    const pending: StoredEntry[] = store.range(prefix, afterRevision).map(toStored)
    const unsubscribe = store.subscribe(entry => {
      if (entry.key.startsWith(prefix) && !faults.skipWatchMessages) pending.push(toStored(entry))
    })
    do {
      const entries = pending.splice(0)
      if (entries.length > 0 && !faults.down) yield { entries, storeRevision: store.revision() }
    } while (await sleepMs(5, signal))
    unsubscribe()
  }

  const listVms = () => {
    const visibleBeforeMs = monotonicMs() - (faults.vmListLagMs ?? 0)
    return vmLists.filter(list => list.sinceMs <= visibleBeforeMs).at(-1)?.vms ?? []
  }

  const platform: Platform = {
    get: (key, timeoutMs) => respond(() => {
      const entry = store.get(key)
      return entry && toStored(entry)
    }, timeoutMs),
    range: (prefix, afterRevision, timeoutMs) => respond(() =>
      ({ entries: store.range(prefix, afterRevision).map(toStored), storeRevision: store.revision() }), timeoutMs),
    compareAndSwap: (swap, timeoutMs) => respond(() => {
      const { swapped, current } = store.compareAndSwap({ delete: false, leaseId: 0, ...swap })
      return { swapped, current: current && toStored(current), storeRevision: store.revision() }
    }, timeoutMs, () => faults.loseSwapAnswers === 1),
    watch,
    grantLease: (ttlMs, timeoutMs) => respond(() => store.grantLease(ttlMs), timeoutMs),
    keepAlive: (leaseId, timeoutMs) => respond(() => store.keepAlive(leaseId), timeoutMs),
    revokeLease: (leaseId, timeoutMs) => respond(() => {
      store.revokeLease(leaseId)
      return false
    }, timeoutMs),
    listVms: timeoutMs => respond(listVms, timeoutMs),
    close: () => {}
  }
  const timer = setInterval(store.expireLeases, 20)
  return {
    platform,
    setFaults: async next => {
      faults = next
    },
    setVms: async vms => {
      vmLists = [...vmLists, { vms, sinceMs: monotonicMs() }]
    },
    close: async () => clearInterval(timer)
  }
}

for (const [name, start] of Object.entries({ 'over gRPC': startOverGrpc, 'in memory': startInMemory })) {
  for (const { title, run } of platformContractCases) {
    test(`${name}: ${title}`, async t => {
      const subject = await start()
      t.teardown(subject.close)
      await t.notThrowsAsync(run(subject))
    })
  }
}
