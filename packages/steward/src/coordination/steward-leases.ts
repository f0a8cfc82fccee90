/**
 * Acquires and renews the platform leases that decide which steward is active for a group or for the roster. A lease
 * only avoids duplicate work: it can expire while its holder is paused and unaware of it, so safety does not depend on
 * leases.
 */
import { randomUUID } from 'node:crypto'
import { monotonicMs, sleepMs, ticks } from '@egretyoke/common'
import { storeKeys } from '@egretyoke/config'
import type { Platform } from '@egretyoke/fleet'
import type { FollowedRecords } from './follow-records.js'
import { preferenceRank } from './lease-preference.js'

const checkIntervalMs = 100
/** Added delay before an attempt to acquire a lease, for each rank in the group's order of preference. */
const delayPerRankMs = 250
const maxRankDelayMs = 2_500
/** Delay before an attempt to acquire a group's lease while the roster, and so the order of preference, is unknown. */
const unknownRosterDelayMs = 1_000
/** Number of renewals within the TTL of a lease. */
const renewalsPerTtl = 3

/** Options of the steward's leases. */
export type StewardLeaseOptions = {
  vm: string
  platform: Platform
  /** Local copy of the store's records, which include the stewards' leases. */
  followed: FollowedRecords
  /** Names of the leases to compete for: the groups and the roster. */
  leaseNames: () => string[]
  rosterNames: () => string[]
  ttlMs: number
  timeoutMs: number
  onChange: (name: string, isHeld: boolean) => void
}

/** Leases of one steward. */
export type StewardLeases = {
  holds: (name: string) => boolean
  /** Stops renewing and releases all leases. */
  close: () => Promise<void>
}

/** Starts to acquire and renew leases. */
export const startStewardLeases = (options: StewardLeaseOptions): StewardLeases => {
  const { vm, platform, followed, ttlMs, timeoutMs, onChange } = options
  const stopping = new AbortController()
  const holder = `${vm}/${randomUUID()}`
  const freeSinceMs = new Map<string, number>()
  const held = new Set<string>()
  let leaseId = 0
  let validUntilMs = -Infinity
  let renewing: Promise<void> | undefined

  const holderOf = (name: string): string | undefined => {
    const entry = followed.get(storeKeys.stewardLease(name))
    return entry && !entry.deleted ? entry.value.toString('utf8') : undefined
  }
  const holds = (name: string) => monotonicMs() < validUntilMs && holderOf(name) === holder

  const renew = async () => {
    const sentMs = monotonicMs()
    if (leaseId !== 0) {
      const renewal = await platform.keepAlive(leaseId, timeoutMs)
      if (!renewal.ok) return
      if (renewal.val) {
        validUntilMs = sentMs + ttlMs
        return
      }
    }
    const granted = await platform.grantLease(ttlMs, timeoutMs)
    if (!granted.ok) return
    leaseId = granted.val
    validUntilMs = sentMs + ttlMs
  }

  /** Renews the lease; concurrent callers share one renewal. */
  const renewOnce = async () => {
    renewing ??= renew().finally(() => { renewing = undefined })
    await renewing
  }

  // Renews only while the steward is active for a group or the roster, which saves calls to the platform.
  const renewContinuously = async () => {
    for await (const _ of ticks(Math.floor(ttlMs / renewalsPerTtl), stopping.signal)) {
      if (held.size > 0) await renewOnce()
    }
  }

  const acquireDelayMs = (name: string): number => {
    const names = options.rosterNames()
    if (names.length === 0) return name === 'roster' ? 0 : unknownRosterDelayMs
    return Math.min(maxRankDelayMs, preferenceRank(vm, names, name) * delayPerRankMs)
  }

  const tryAcquire = async (name: string) => {
    const key = storeKeys.stewardLease(name)
    const swap = { key, expectedRevision: 0, value: Buffer.from(holder), leaseId }
    const result = await platform.compareAndSwap(swap, timeoutMs)
    if (result.ok && result.val.current) followed.updateCopy(result.val.current)
  }

  const updateHeld = (name: string) => {
    const isHeld = holds(name)
    if (isHeld === held.has(name)) return
    if (isHeld) held.add(name)
    else held.delete(name)
    onChange(name, isHeld)
  }

  const checkLease = async (name: string) => {
    updateHeld(name)
    if (holderOf(name) !== undefined) {
      freeSinceMs.delete(name)
      return
    }
    const sinceMs = freeSinceMs.get(name) ?? monotonicMs()
    freeSinceMs.set(name, sinceMs)
    if (monotonicMs() - sinceMs < acquireDelayMs(name)) return
    if (monotonicMs() >= validUntilMs) await renewOnce()
    if (monotonicMs() < validUntilMs) await tryAcquire(name)
    updateHeld(name)
  }

  const checkContinuously = async () => {
    for await (const _ of ticks(checkIntervalMs, stopping.signal)) {
      if (!followed.isSynced()) continue
      await Promise.all(options.leaseNames().map(checkLease))
    }
  }

  const running = [renewContinuously(), checkContinuously()]
  const close = async () => {
    stopping.abort()
    await Promise.all(running)
    if (leaseId !== 0) await Promise.race([platform.revokeLease(leaseId, timeoutMs), sleepMs(timeoutMs)])
    validUntilMs = -Infinity
  }
  return { holds, close }
}
