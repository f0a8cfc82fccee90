/**
 * Assembles a steward: clients, local copies of stored records, leases, the roster manager and a monitor per group.
 */
import { createLogger, createRegistry, monotonicMs, splitAddress, startHealthServer, ticks } from '@egretyoke/common'
import type { RunningProgram } from '@egretyoke/common'
import { storeKeys } from '@egretyoke/config'
import { connectMember, connectPlatform, readConfiguration } from '@egretyoke/fleet'
import { followConfiguration } from './coordination/follow-configuration.js'
import { followRecords, readThrough } from './coordination/follow-records.js'
import { keepGroup } from './coordination/group-keeper.js'
import type { PromotionMember, PromotionStep } from './coordination/promotion-calls.js'
import { createRosterAge } from './coordination/roster-age.js'
import { keepRoster } from './coordination/roster-keeper.js'
import { keepSuspensions } from './coordination/roster-suspension.js'
import { keepStewardLeases } from './coordination/steward-leases.js'
import { events } from './events.js'
import { createStewardMetrics } from './metrics.js'
import type { StewardSettings } from './settings.js'
import { decodeGroup, decodeLeaving, decodeRoster } from './state/fleet-view.js'
import { createClientCache } from './transport/client-cache.js'
import { createGrpcEntryPeers } from './transport/grpc-entry-peers.js'
import { createPromotionCalls } from './transport/platform-promotion-calls.js'

const groupCheckIntervalMs = 100
const entryAskIntervalMs = 250
const entrySilentMs = 1_500
const platformPollIntervalMs = 1_000
/** Name of the lease of the steward that manages the roster. */
const rosterLease = 'roster'

/** Hooks for tests. */
export type StewardHooks = {
  /** Called after each step of a promotion; the promotion continues when the promise resolves. */
  afterStep?: (group: string, step: PromotionStep, term: number) => Promise<void>
}

const connectAll = (settings: StewardSettings) => {
  const { channels, platformTimeoutMs } = settings
  const platform = connectPlatform(settings.platformAddress, channels)
  const entries = createGrpcEntryPeers(channels, settings.probeTimeoutMs)
  const members = createClientCache(address => connectMember(address, channels))
  const ownEntry = settings.entryAddress
  const state = followRecords({
    platform,
    askEntry: async afterRevision => ownEntry ? await entries.fetchState(ownEntry, afterRevision) : undefined,
    entryIntervalMs: entryAskIntervalMs,
    entrySilentMs: ownEntry ? entrySilentMs : 0,
    platformIntervalMs: platformPollIntervalMs,
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
  const clients = connectAll(settings)
  const { platform, entries, state, configuration } = clients
  const registry = createRegistry()
  const metrics = createStewardMetrics(registry)
  const roster = () => decodeRoster(state.get(storeKeys.roster), log)
  const leaving = () => decodeLeaving(state.get(storeKeys.leaving), log)
  const groupNames = () => Object.keys(configuration()?.groups ?? {})
  const rosterAge = createRosterAge(monotonicMs)

  const leases = keepStewardLeases({
    vm: settings.name,
    platform,
    followed: state,
    wantedNames: () => [rosterLease, ...groupNames()],
    rosterNames: () => roster().value?.members.map(member => member.name) ?? [],
    ttlMs: settings.leaseTtlMs,
    timeoutMs,
    onChange: (name, isHeld) => {
      metrics.leaseHeld(name, isHeld)
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
      mayStay: dataCentres[endpoint.dataCentre]?.state !== 'out' && !leavingNames.has(name)
    }))
  }

  const startKeeper = (group: string) => keepGroup({
    group,
    config: () => configuration()?.groups[group],
    known: () => decodeGroup(state.get(storeKeys.group(group)), log),
    roster: () => roster().value,
    members: () => membersOf(group),
    calls: createPromotionCalls({
      group,
      platform,
      entries,
      learn: state.learn,
      isRosterSettled: stored => rosterAge(stored.version) >= settings.contactTtlMs + settings.clockMarginMs,
      timeoutMs,
      log
    }),
    holdsLease: () => state.isKnown() && leases.holds(group),
    settings,
    afterStep: hooks.afterStep && ((step, term) => hooks.afterStep!(group, step, term)),
    metrics,
    log,
    signal
  })

  const keepers = new Map<string, Promise<void>>()
  const startKeepers = async () => {
    for await (const _ of ticks(groupCheckIntervalMs, signal)) {
      const known = roster().value
      if (known) rosterAge(known.version)
      for (const group of groupNames()) if (!keepers.has(group)) keepers.set(group, startKeeper(group))
    }
  }

  const health = await startHealthServer(settings.healthListen, { isReady: state.isKnown }, registry)
  const running = [
    startKeepers(),
    keepRoster({
      platform,
      entries,
      roster,
      leaving,
      learn: state.learn,
      holdsLease: () => state.isKnown() && leases.holds(rosterLease),
      intervalMs: settings.vmListIntervalMs,
      timeoutMs,
      metrics,
      log,
      signal
    }),
    keepSuspensions({
      platform,
      entries,
      roster,
      learn: state.learn,
      holdsLease: () => state.isKnown() && leases.holds(rosterLease),
      timeoutMs,
      log,
      signal
    })
  ]
  log(events.started, { healthPort: health.port })

  const close = async () => {
    stopping.abort()
    await Promise.all([...running, ...keepers.values()])
    await leases.close()
    await health.close()
    await clients.close()
    log(events.closed)
  }
  const { host } = splitAddress(settings.healthListen)
  return { addresses: { health: `${host}:${health.port}` }, close }
}
