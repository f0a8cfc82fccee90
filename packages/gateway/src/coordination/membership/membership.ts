/**
 * This gateway's membership of the fleet: a stored record, bound to a lease that is renewed while the process runs.
 */
import { monotonicMs, sleepUntilTick } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import { events } from '../../events.js'
import type { AgeClock, ClockReading } from '../../state/contact.js'
import { recordPrefixes, encodeRecord } from '../../state/stored-records.js'
import type { Member } from '../../state/stored-records.js'
import { replaceAny } from '../store/replace-any.js'
import type { SharedStore } from '../store/shared-store.js'
import { createStoreBackoff, sleepUntilDue } from '../store/store-backoff.js'

/** A VM that does not renew its lease for this long is removed from the fleet. */
export const leaseTtlMs = 3000
const renewIntervalMs = 1000
const storeTimeoutMs = 900
/** This process stops all work that depends on its lease this long before the lease can expire. */
const leaseMarginMs = 400

/** This gateway's membership of the fleet. */
export type Membership = {
  /** Lease that records of this process are bound to; undefined while none is held. */
  leaseId: () => number | undefined
  /** True if the lease cannot expire within `forMs`, so that no other process claims records bound to it by then. */
  isLeaseHeld: (forMs?: number) => boolean
  /** Marks this gateway's record as draining, so that other gateways send it no new work. */
  startDraining: () => Promise<void>
  /** Joins the fleet and renews the lease until the signal aborts. */
  run: (signal: AbortSignal) => Promise<void>
  /** Revokes the lease. */
  leave: () => Promise<void>
}

/** Creates the membership; the record is not stored before `run`. */
export const createMembership = (
  self: Member, store: SharedStore, clock: AgeClock, log: Logger, backoff = createStoreBackoff()
): Membership => {
  const key = recordPrefixes.vms + self.name
  let member = self
  let storedRevision = 0
  let lease: { id: number, heldFrom: ClockReading } | undefined

  /** Stores the record, in place of that of an earlier process of this VM or of an earlier lease if there is one. */
  const announce = async (leaseId: number): Promise<boolean> => {
    const value = encodeRecord(member)
    const swap = await replaceAny(store, { key, value, leaseId }, storedRevision, storeTimeoutMs)
    if (swap.err || !swap.val.swapped) return false
    storedRevision = swap.val.current?.revision ?? 0
    return true
  }

  const join = async (): Promise<boolean> => {
    const heldFrom = clock.now()
    const granted = await store.grantLease(leaseTtlMs, storeTimeoutMs)
    if (granted.err || !await announce(granted.val)) return false
    lease = { id: granted.val, heldFrom }
    log(events.joined, { lease: lease.id, incarnation: member.incarnation })
    return true
  }

  /** Renews the lease; false if it failed and must be retried soon. */
  const renew = async (id: number): Promise<boolean> => {
    const heldFrom = clock.now()
    const renewal = await store.keepAlive(id, storeTimeoutMs)
    if (renewal.err) return false
    if (renewal.val) {
      lease = { id, heldFrom }
      return true
    }
    log(events.membershipLost, { lease: id })
    lease = undefined
    return false
  }

  return {
    leaseId: () => lease?.id,
    isLeaseHeld: (forMs = 0) => lease !== undefined &&
      clock.ageMs(lease.heldFrom) + forMs < leaseTtlMs - leaseMarginMs,
    startDraining: async () => {
      member = { ...member, draining: true }
      if (lease !== undefined) await announce(lease.id)
    },
    run: async signal => {
      while (!signal.aborted) {
        const startedAtMs = monotonicMs()
        const hadLease = lease !== undefined
        const isHeld = lease === undefined ? await join() : await renew(lease.id)
        // The store answers when it reports that the lease has ended, so the gateway joins again at once.
        const hasEnded = hadLease && lease === undefined
        if (isHeld || hasEnded) backoff.recordSuccess('membership')
        else backoff.recordFailure('membership', startedAtMs)
        await (isHeld ? sleepUntilTick(renewIntervalMs, signal) : sleepUntilDue(backoff, 'membership', signal))
      }
    },
    leave: async () => {
      if (lease !== undefined) await store.revokeLease(lease.id, storeTimeoutMs)
      lease = undefined
    }
  }
}
