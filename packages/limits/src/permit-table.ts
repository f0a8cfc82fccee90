/**
 * The VM's shares of all limits on held permits, for instance on connections to endpoints. The whole fleet never holds
 * more than `maxPermits` of a limit, whatever fails, as long as revoked permits are released at once.
 *
 * Permits that do not divide evenly go to the first members in the rendezvous order of the limit. A member about to be
 * added is listed as joining while the VMs adopt the larger slot count, so that the order is known beforehand.
 */
import { isDeepStrictEqual } from 'node:util'
import { monotonicMs } from '@egretyoke/common'
import { events } from './events.js'
import { noLoan } from './borrow-messages.js'
import type { BorrowReply, BorrowRequest } from './borrow-messages.js'
import { createOwnShare } from './own-share.js'
import type { OwnShare } from './own-share.js'
import { createPermitShare } from './permit-share.js'
import type { Permit, PermitLimit, PermitShare, PermitSnapshot } from './permit-share.js'
import { rankByRendezvous } from './rendezvous.js'
import { maintenanceRoundsPerLoan } from './share-table.js'
import type { Roster, ShareTableOptions } from './share-table.js'
import { afterMs } from './timers.js'

/** Dependencies and options of a permit table; permits have a single loan policy. */
export type PermitTableOptions = Omit<ShareTableOptions, 'policy'>

/** The VM's shares of all limits on held permits. */
export type PermitTable = {
  setRoster: (roster: Roster & { joining?: string[] }) => void
  /** Replaces the definitions of all limits; permits held under a removed limit stay valid until they are released. */
  setLimits: (limits: PermitLimit[]) => void
  /** Acquires a permit if one is free. `onRevoked` is called when the permit must be released at once. */
  tryAcquire: (limit: string, onRevoked: () => void) => Permit | undefined
  acquire: (
    limit: string, onRevoked: () => void, maxWaitMs: number, signal?: AbortSignal
  ) => Promise<Permit | undefined>
  lend: (request: BorrowRequest) => BorrowReply
  expireLoans: () => void
  snapshot: () => PermitSnapshot[]
  close: () => void
}

type Entry = { limit: PermitLimit, share: PermitShare, own: OwnShare }

/** Number of permits that one member owns. */
export const ownPermits = (limit: PermitLimit, member: string, slotCount: number, ranked: string[]): number => {
  const slots = Math.max(slotCount, ranked.length, 1)
  const each = Math.floor(limit.maxPermits / slots)
  return ranked.indexOf(member) < limit.maxPermits % slots ? each + 1 : each
}

/** Creates a table without limits, and starts to renew loans in the background. */
export const createPermitTable = (options: PermitTableOptions): PermitTable => {
  const { vm, loanTtlMs, loanMarginMs, maxLimits, log, startupHold } = options
  const { clock = monotonicMs, wallClock = Date.now, after = afterMs } = options
  const growthDelayMs = Math.max(options.growthDelayMs ?? 0, loanTtlMs + loanMarginMs)
  const entries = new Map<string, Entry>()
  // Takes effect once all loans granted under previous divisions have expired; limits added after that start at once.
  const settledShare = createOwnShare({ clock, growthDelayMs, startupHold })
  let roster: Roster & { joining?: string[] } = { members: [], slotCount: 1 }
  let definedNames = new Set<string>()
  let cancelMaintenance = () => {}

  const peers = () => roster.members.filter(member => member !== vm)

  const targetOf = (limit: PermitLimit) => {
    if (!roster.members.includes(vm) || !definedNames.has(limit.name)) return 0
    const ranked = rankByRendezvous(limit.name, [...roster.members, ...roster.joining ?? []])
    return ownPermits(limit, vm, roster.slotCount, ranked)
  }

  const applyRoster = ({ limit, share, own }: Entry) => {
    share.setPeers(peers())
    own.set(targetOf(limit))
    share.setOwn(own.current())
  }

  const setRoster = (next: Roster & { joining?: string[] }) => {
    if (isDeepStrictEqual(next, roster)) return
    roster = structuredClone(next)
    settledShare.set(next.members.includes(vm) ? 1 / next.slotCount : 0)
    for (const entry of entries.values()) applyRoster(entry)
    log(events.shareChanged, { slotCount: next.slotCount, members: next.members })
  }

  const isSettled = () => roster.members.includes(vm) && settledShare.current() === 1 / roster.slotCount

  const addEntry = (limit: PermitLimit) => {
    const share = createPermitShare(limit, { ...options, clock, wallClock, after })
    const own = createOwnShare({ clock, growthDelayMs, startupHold: !isSettled() })
    const entry = { limit, share, own }
    entries.set(limit.name, entry)
    applyRoster(entry)
  }

  const setLimits = (limits: PermitLimit[]) => {
    const accepted = limits.slice(0, maxLimits)
    definedNames = new Set(accepted.map(({ name }) => name))
    for (const limit of accepted) {
      const existing = entries.get(limit.name)
      if (existing === undefined) {
        addEntry(limit)
        continue
      }
      existing.limit = limit
      existing.share.setLimit(limit)
    }
    for (const entry of entries.values()) applyRoster(entry)
    if (limits.length > maxLimits) log(events.limitsRefused, { limits: limits.length, maxLimits })
  }

  const shareOf = (limit: string) => definedNames.has(limit) ? entries.get(limit)?.share : undefined

  const maintain = () => {
    for (const [name, { share, own }] of entries) {
      share.setOwn(own.current())
      share.maintain()
      if (definedNames.has(name) || !share.isIdle()) continue
      share.close()
      entries.delete(name)
    }
    cancelMaintenance = after(loanTtlMs / maintenanceRoundsPerLoan, maintain)
  }

  const lend = (request: BorrowRequest): BorrowReply =>
    shareOf(request.limit)?.lend(request) ?? noLoan('unknownLimit')

  const expireLoans = () => {
    for (const { share } of entries.values()) share.expireLoans()
    log(events.loansExpired, { limits: entries.size })
  }

  const close = () => {
    cancelMaintenance()
    for (const { share } of entries.values()) share.close()
    entries.clear()
  }

  maintain()
  return {
    setRoster,
    setLimits,
    tryAcquire: (limit, onRevoked) => shareOf(limit)?.tryAcquire(onRevoked),
    acquire: async (limit, onRevoked, maxWaitMs, signal) => shareOf(limit)?.acquire(onRevoked, maxWaitMs, signal),
    lend,
    expireLoans,
    snapshot: () => [...entries.values()].map(({ share }) => share.snapshot()),
    close
  }
}
