/**
 * The store as the gateway calls it: counts the calls, and does not make those that come too soon after a failure.
 */
import { Err, monotonicMs, typedError } from '@egretyoke/common'
import type { Clock, Result, TypedError } from '@egretyoke/common'
import { recordPrefixes, usageKey } from '../../state/stored-records.js'
import type { SharedStore } from './shared-store.js'
import type { StoreBackoff, StoreCallKind } from './store-backoff.js'

/** A call as it is counted. A listing of several pages is one call. */
export type StoreCall =
  'list' | 'listStale' | 'changes' | 'get' | 'compareAndSwap' | 'grantLease' | 'keepAlive' | 'revokeLease'

/** Result of a call as it is counted. `conflict`: the condition of a write did not hold. */
export type StoreCallResult = 'ok' | 'conflict' | 'noAnswer' | 'refused' | 'historyGone'

/** Dependencies of the observed store. */
export type ObservedStoreOptions = {
  backoff: StoreBackoff
  count: (call: StoreCall, result: StoreCallResult) => void
  nowMs?: Clock
}

/** Kind of a write by its key; undefined for the VM's own record, whose writes the membership itself spaces. */
const kindOfWrite = (key: string): StoreCallKind | undefined => {
  if (key.startsWith(recordPrefixes.vms)) return undefined
  if (key === usageKey) return 'usage'
  return key.startsWith(recordPrefixes.groups) ? 'group' : 'other'
}

/** Wraps a store. A call that is not made fails with `noAnswer`; it is not counted. */
export const createObservedStore = (
  store: SharedStore, { backoff, count, nowMs = monotonicMs }: ObservedStoreOptions
): SharedStore => {
  const counted = async <T, R extends StoreCallResult>(
    call: StoreCall, run: () => Promise<Result<T, TypedError<R>>>, resultOf: (value: T) => StoreCallResult = () => 'ok'
  ): Promise<Result<T, TypedError<R>>> => {
    const result = await run()
    count(call, result.ok ? resultOf(result.val) : result.val.reason)
    return result
  }

  const spaced = async <T, R extends StoreCallResult>(
    kind: StoreCallKind | undefined, run: () => Promise<Result<T, TypedError<R>>>
  ): Promise<Result<T, TypedError<R | 'noAnswer'>>> => {
    if (kind === undefined) return await run()
    if (backoff.delayMs(kind) > 0) return Err(typedError('noAnswer', 'not called, the store failed recently'))
    const startedAtMs = nowMs()
    const result = await run()
    if (result.ok || result.val.reason === 'historyGone') backoff.recordSuccess(kind)
    else backoff.recordFailure(kind, startedAtMs)
    return result
  }

  return {
    list: (prefix, timeoutMs, options) => spaced('contact', () => counted(
      options?.staleOk ? 'listStale' : 'list', () => store.list(prefix, timeoutMs, options))),
    changes: (...args) => spaced('contact', () => counted('changes', () => store.changes(...args))),
    get: (...args) => spaced('value', () => counted('get', () => store.get(...args))),
    compareAndSwap: (swap, timeoutMs) => spaced(kindOfWrite(swap.key), () => counted(
      'compareAndSwap', () => store.compareAndSwap(swap, timeoutMs), ({ swapped }) => swapped ? 'ok' : 'conflict')),
    grantLease: (...args) => counted('grantLease', () => store.grantLease(...args)),
    keepAlive: (...args) => counted('keepAlive', () => store.keepAlive(...args)),
    revokeLease: (...args) => counted('revokeLease', () => store.revokeLease(...args)),
    close: store.close
  }
}
