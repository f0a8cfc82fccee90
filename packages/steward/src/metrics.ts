/**
 * Prometheus metrics of the steward.
 */
import { Counter, Gauge, Histogram } from 'prom-client'
import type { Registry } from 'prom-client'

const gapBucketsSeconds = [0.5, 1, 2, 4, 8, 19, 60]

/** Functions that update the steward's metrics. */
export type StewardMetrics = {
  /** `gapMs`: time since the steward first observed that the group had no leading primary. */
  recordPromotion: (group: string, cause: string, gapMs: number) => void
  recordFailedPromotion: (group: string, reason: string) => void
  setLeaseHeld: (name: string, isHeld: boolean) => void
  setRosterSize: (members: number) => void
}

/** Creates the metrics and registers them in the registry. */
export const createStewardMetrics = (registry: Registry): StewardMetrics => {
  const registers = [registry]
  const promotions = new Counter({
    name: 'egretyoke_steward_promotions_total',
    help: 'Promotion attempts by outcome: the cause of a completed one, or the reason of a failure',
    labelNames: ['group', 'outcome'],
    registers
  })
  const gaps = new Histogram({
    name: 'egretyoke_steward_promotion_gap_seconds',
    help: 'Time from the first detected failure of the primary until the next term is active',
    labelNames: ['group'],
    buckets: gapBucketsSeconds,
    registers
  })
  const leases = new Gauge({
    name: 'egretyoke_steward_lease_held', help: '1 while this steward holds the lease', labelNames: ['lease'], registers
  })
  const roster = new Gauge({ name: 'egretyoke_steward_roster_members', help: 'Number of VMs in the roster', registers })
  return {
    recordPromotion: (group, cause, gapMs) => {
      promotions.inc({ group, outcome: cause })
      gaps.observe({ group }, gapMs / 1000)
    },
    recordFailedPromotion: (group, reason) => promotions.inc({ group, outcome: reason }),
    setLeaseHeld: (name, isHeld) => leases.set({ lease: name }, isHeld ? 1 : 0),
    setRosterSize: members => roster.set(members)
  }
}
