/**
 * Assembles a steward: clients, local copies of stored records, leases, the roster manager and a monitor per group.
 */
import { createLogger, createRegistry, monotonicMs, splitAddress, startHealthServer, ticks } from '@egretyoke/common'
import type { RunningProgram } from '@egretyoke/common'
import { storeKeys } from '@egretyoke/config'
import { connectMember, connectPlatform, readConfiguration } from '@egretyoke/fleet'
import { followConfiguration } from './coordination/follow-configuration.js'
import { followRecords, readThrough } from './coordination/follow-records.js'
import { monitorGroup } from './coordination/group-monitor.js'
import type { PromotionMember, PromotionStep } from './coordination/promotion-calls.js'
import { createRosterAge } from './coordination/roster-age.js'
import { manageRoster } from './coordination/roster-manager.js'
import { manageSuspensions } from './coordination/roster-suspension.js'
import { startStewardLeases } from './coordination/steward-leases.js'
import { events } from './events.js'
import { createStewardMetrics } from './metrics.js'
import type { StewardSettings } from './settings.js'
import { decodeGroupRecord, decodeLeaving, decodeRoster } from './state/stored-records.js'
import { createClientCache } from './transport/client-cache.js'
import { createGrpcEntryPeers } from './transport/grpc-entry-peers.js'
import { createPromotionCalls } from './transport/platform-promotion-calls.js'

const groupCheckIntervalMs = 100
const entryPollIntervalMs = 250
const platformFallbackMs = 1_500
const platformPollIntervalMs = 1_000
/** Name of the lease of the steward that manages the roster. */
const rosterLeaseName = 'roster'

/** Hooks for tests. */
export type StewardHooks = {
  /** Called after each step of a promotion; the promotion continues when the promise resolves. */
  afterStep?: (group: string, step: PromotionStep, term: number) => Promise<void>
}

const connectClients = (settings: StewardSettings) => {
  const { channels, platformTimeoutMs } = settings
  const platform = connectPlatform(settings.platformAddress, channels)
  const entries = createGrpcEntryPeers(channels, settings.probeTimeoutMs)
  const members = createClientCache(address => connectMember(address, channels))
  const ownEntry = settings.entryAddress
  const state = followRecords({
    platform,
    fetchFromEntry: async afterRevision => ownEntry ? await entries.fetchState(ownEntry, afterRevision) : undefined,
    entryPollIntervalMs,
    platformFallbackMs: ownEntry ? platformFallbackMs : 0,
    platformPollIntervalMs,
    timeoutMs: platformTimeoutMs
  })
  const stored = readThrough(platform, state)
  const configuration = followConfiguration(state, () => readConfiguration(stored, platformTimeoutMs))
  // Calls on a closed channel fail, so the loops that use the channels are stopped first.
  const close = async () => {
    await Promise.all([configuration.close(), state.close()])
    entries.close()
    members.close()
    platform.close()
  }
  return { platform, entries, members, state, configuration: configuration.current, close }
}

/** Starts a steward; resolves once its health server listens. */
export const startSteward = async (settings: StewardSettings, hooks: StewardHooks = {}): Promise<RunningProgram> => {
  const timeoutMs = settings.platformTimeoutMs
  const log = createLogger('egretyoke-steward', { vm: settings.name, dataCentre: settings.dataCentre })
  const stopping = new AbortController()
  const { signal } = stopping
  const clients = connectClients(settings)
  const { platform, entries, state, configuration } = clients
  const registry = createRegistry()
  const metrics = createStewardMetrics(registry)
  const roster = () => decodeRoster(state.get(storeKeys.roster), log)
  const leaving = () => decodeLeaving(state.get(storeKeys.leaving), log)
  const groupNames = () => Object.keys(configuration()?.groups ?? {})
  const rosterAge = createRosterAge(monotonicMs)

  const leases = startStewardLeases({
    vm: settings.name,
    platform,
    followed: state,
    leaseNames: () => [rosterLeaseName, ...groupNames()],
    rosterNames: () => roster().value?.members.map(member => member.name) ?? [],
    ttlMs: settings.leaseTtlMs,
    timeoutMs,
    onChange: (name, isHeld) => {
      metrics.setLeaseHeld(name, isHeld)
      log(isHeld ? events.leaseTaken : events.leaseLost, { lease: name })
    }
  })

  const membersOf = (group: string): PromotionMember[] => {
    const { groups, dataCentres } = configuration()!
    const leavingNames = new Set(leaving().value?.endpoints ?? [])
    return Object.entries(groups[group].endpoints).map(([name, endpoint]) => ({
      name,
      endpoint,
      control: clients.members.get(endpoint.address),
      canRemainPrimary: dataCentres[endpoint.dataCentre]?.state !== 'out' && !leavingNames.has(name)
    }))
  }

  const startGroupMonitor = (group: string) => monitorGroup({
    group,
    config: () => configuration()?.groups[group],
    storedGroup: () => decodeGroupRecord(state.get(storeKeys.group(group)), log),
    roster: () => roster().value,
    members: () => membersOf(group),
    calls: createPromotionCalls({
      group,
      platform,
      entries,
      updateCopy: state.updateCopy,
      isRosterStable: stored => rosterAge(stored.version) >= settings.contactTtlMs + settings.clockMarginMs,
      timeoutMs,
      log
    }),
    holdsLease: () => state.isSynced() && leases.holds(group),
    settings,
    afterStep: hooks.afterStep && ((step, term) => hooks.afterStep!(group, step, term)),
    metrics,
    log,
    signal
  })

  const monitors = new Map<string, Promise<void>>()
  const startGroupMonitors = async () => {
    for await (const _ of ticks(groupCheckIntervalMs, signal)) {
      const currentRoster = roster().value
      if (currentRoster) rosterAge(currentRoster.version)
      for (const group of groupNames()) if (!monitors.has(group)) monitors.set(group, startGroupMonitor(group))
    }
  }

  const health = await startHealthServer(settings.healthListen, { isReady: state.isSynced }, registry)
  const running = [
    startGroupMonitors(),
    manageRoster({
      platform,
      entries,
      roster,
      leaving,
      updateCopy: state.updateCopy,
      holdsLease: () => state.isSynced() && leases.holds(rosterLeaseName),
      intervalMs: settings.vmListIntervalMs,
      timeoutMs,
      metrics,
      log,
      signal
    }),
    manageSuspensions({
      platform,
      entries,
      roster,
      updateCopy: state.updateCopy,
      holdsLease: () => state.isSynced() && leases.holds(rosterLeaseName),
      timeoutMs,
      log,
      signal
    })
  ]
  log(events.started, { healthPort: health.port })

  const close = async () => {
    stopping.abort()
    await Promise.all([...running, ...monitors.values()])
    await leases.close()
    await health.close()
    await clients.close()
    log(events.closed)
  }
  const { host } = splitAddress(settings.healthListen)
  return { addresses: { health: `${host}:${health.port}` }, close }
}
