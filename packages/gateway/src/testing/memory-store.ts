/**
 * An in-memory shared store with faults, for tests.
 */
import { Err, Ok, sleepMs, typedError } from '@egretyoke/common'
import type { Result, TypedError } from '@egretyoke/common'
import { createPlatformStore } from '@egretyoke/standins'
import type { StoreEntry } from '@egretyoke/standins'
import type { EpochAnswer, PlatformStore } from '../coordination/store/shared-store.js'

/** How the store handles calls: `silent` neither runs nor answers them, `lost` runs them without answering. */
export type StoreMode = 'serving' | 'silent' | 'refusing' | 'lost'

/** One gateway's client of the store. */
export type MemoryClient = PlatformStore & {
  setMode: (mode: StoreMode) => void, watchCalls: () => number, calls: () => number
}

/** Entries of a store at a moment, without those that are bound to leases. */
export type StoreCopy = { entries: readonly StoreEntry[] }

/** A store that all gateways of a test share. */
export type MemoryStore = {
  /** Creates a client with a fault mode of its own. */
  client: () => MemoryClient
  put: (key: string, value: unknown) => number
  remove: (key: string) => void
  read: (key: string) => unknown
  /** Discards all changes up to now: watches from an earlier revision fail with `historyGone`. */
  compact: () => void
  copy: () => StoreCopy
  /** Continues from the copy in a new epoch: revisions and leases since are gone, and are given out again. */
  restore: (copy: StoreCopy) => void
}

type NoAnswer = TypedError<'noAnswer'>

const noAnswer = () => Err(typedError('noAnswer' as const, 'no answer'))

/** Creates an empty store; without an epoch it names none before it is restored. */
export const createMemoryStore = (firstEpoch: number | undefined = 1): MemoryStore => {
  let store = createPlatformStore()
  let epoch = firstEpoch
  let compactedRevision = 0

  const put = (key: string, value: unknown) => {
    const expectedRevision = store.get(key)?.revision ?? 0
    const bytes = Buffer.from(JSON.stringify(value))
    return store.compareAndSwap({
      key, expectedRevision, value: bytes, delete: false, leaseId: 0
    }).current?.revision ?? 0
  }

  const remove = (key: string) => {
    const expectedRevision = store.get(key)?.revision ?? 0
    store.compareAndSwap({ key, expectedRevision, value: Buffer.alloc(0), delete: true, leaseId: 0 })
  }

  const client = () => {
    let mode: StoreMode = 'serving'
    let watchCalls = 0
    let calls = 0

    const call = async <T>(run: () => T, timeoutMs: number): Promise<Result<EpochAnswer<T>, NoAnswer>> => {
      calls++
      await sleepMs(1)
      if (mode === 'refusing') return noAnswer()
      if (mode === 'silent') await sleepMs(timeoutMs)
      if (mode === 'silent') return noAnswer()
      const result = run()
      if (mode === 'lost') await sleepMs(timeoutMs)
      return mode === 'lost' ? noAnswer() : Ok({ value: result, epoch })
    }

    const waitForChange = (afterRevision: number, waitMs: number) => new Promise<void>(resolve => {
      if (store.range('', afterRevision).length > 0) return resolve()
      const finish = () => {
        clearTimeout(timer)
        stopListening()
        resolve()
      }
      const timer = setTimeout(finish, waitMs)
      const stopListening = store.subscribe(finish)
    })

    const changes: PlatformStore['changes'] = async (prefix, afterRevision, waitMs, timeoutMs) => {
      watchCalls++
      if (mode === 'serving') await waitForChange(afterRevision, waitMs)
      if (afterRevision < compactedRevision) calls++
      if (afterRevision < compactedRevision) return Err(typedError('historyGone' as const, 'history is gone'))
      const read = () => ({ entries: store.range(prefix, afterRevision) as StoreEntry[], revision: store.revision() })
      return await call(read, timeoutMs)
    }

    return {
      setMode: (next: StoreMode) => { mode = next },
      watchCalls: () => watchCalls,
      calls: () => calls,
      list: async (prefix: string, timeoutMs: number) => await call(() => {
        const entries = store.range(prefix, 0).filter(entry => !entry.deleted)
        return { entries, revision: store.revision() }
      }, timeoutMs),
      changes,
      get: async (key: string, timeoutMs: number) => await call(() => store.get(key), timeoutMs),
      compareAndSwap: async (
        swap: Parameters<PlatformStore['compareAndSwap']>[0], timeoutMs: number
      ) => await call(() => {
        const { key, expectedRevision, value, delete: isDelete = false, leaseId = 0 } = swap
        const outcome = store.compareAndSwap({ key, expectedRevision, value, delete: isDelete, leaseId })
        return { ...outcome, storeRevision: store.revision() }
      }, timeoutMs),
      grantLease: async (ttlMs: number, timeoutMs: number) => await call(() => store.grantLease(ttlMs), timeoutMs),
      keepAlive: async (id: number, timeoutMs: number) => await call(() => store.keepAlive(id), timeoutMs),
      revokeLease: async (id: number, timeoutMs: number) => await call(() => {
        store.revokeLease(id)
        return true
      }, timeoutMs),
      close: () => {}
    }
  }

  return {
    client,
    put,
    remove,
    read: key => {
      const entry = store.get(key)
      return entry === undefined ? undefined : JSON.parse(entry.value.toString('utf8'))
    },
    compact: () => { compactedRevision = store.revision() },
    copy: () => ({ entries: store.range('', 0).filter(({ deleted, leaseId }) => !deleted && leaseId === 0) }),
    restore: ({ entries }) => {
      store = createPlatformStore()
      epoch = (epoch ?? 0) + 1
      compactedRevision = 0
      for (const { key, value } of entries) {
        store.compareAndSwap({ key, expectedRevision: 0, value, delete: false, leaseId: 0 })
      }
    }
  }
}
