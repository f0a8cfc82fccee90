/**
 * Subject of the platform adapter's contract tests, and helpers shared by the cases.
 */
import assert from 'node:assert/strict'
import type { Platform, StoreChanges, VmListing } from './platform.js'

/** Faults to inject; omitted faults are off. */
export type PlatformFaults = {
  down?: boolean
  delayMs?: number
  /** Fraction of swaps, 0 to 1, that take effect but whose reply is lost. */
  loseSwapAnswers?: number
  /** Fraction of watch messages, 0 to 1, that are not sent. */
  skipWatchMessages?: number
  vmListLagMs?: number
}

/** An implementation under test with an empty store. */
export type PlatformSubject = {
  platform: Platform
  setFaults: (faults: PlatformFaults) => Promise<void>
  setVms: (vms: VmListing[]) => Promise<void>
  close: () => Promise<void>
}

/** One contract case. */
export type PlatformContractCase = {
  title: string
  run: (subject: PlatformSubject) => Promise<void>
}

/** Timeout of each call in the contract tests, in milliseconds. Injected delays are far below or above it. */
export const contractTimeoutMs = 5000

/** Stores a value, replacing any existing one, and returns its revision. */
export const put = async (platform: Platform, key: string, value: string, leaseId = 0): Promise<number> => {
  const current = (await platform.get(key, contractTimeoutMs)).unwrap()
  const swap = { key, expectedRevision: current?.revision ?? 0, value: Buffer.from(value), leaseId }
  const outcome = (await platform.compareAndSwap(swap, contractTimeoutMs)).unwrap()
  assert.equal(outcome.swapped, true)
  return outcome.current!.revision
}

/** Reads a value as text; undefined when the entry does not exist. */
export const read = async (platform: Platform, key: string): Promise<string | undefined> =>
  (await platform.get(key, contractTimeoutMs)).unwrap()?.value.toString()

/** Collects watch messages until one satisfies the predicate. Fails when none does within twice the call timeout. */
export const watchUntil = async (
  platform: Platform,
  prefix: string,
  afterRevision: number,
  predicate: (changes: StoreChanges) => boolean
): Promise<StoreChanges[]> => {
  const signal = AbortSignal.timeout(contractTimeoutMs * 2)
  const received: StoreChanges[] = []
  for await (const changes of platform.watch(prefix, afterRevision, signal)) {
    received.push(changes)
    if (predicate(changes)) return received
  }
  throw new assert.AssertionError({ message: 'the watch did not report the change in time' })
}
