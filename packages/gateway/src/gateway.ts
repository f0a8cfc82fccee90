/**
 * The gateway: serves callers' sessions, holds connections to databases for itself and for other gateways, and shares
 * in enforcing rate limits and monitoring primaries. State that must survive the process is in the platform's store.
 */
import { createRegistry, sleepMs, sleepUntilTick } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import { listenGrpc } from '@egretyoke/protocol'
import { nanoid } from 'nanoid'
import { createAdmission } from './coordination/limits/admission.js'
import { connectSafely } from './coordination/connections/connect-safely.js'
import { createControlCommands } from './coordination/connections/control-commands.js'
import { createElection } from './coordination/membership/election.js'
import { fallbackLimits } from './coordination/limits/fallback-limits.js'
import { createGroupMonitor } from './coordination/primaries/group-monitor.js'
import { createGroupPositions, sampleFromPeer } from './coordination/primaries/group-positions.js'
import type { PositionSample } from './coordination/primaries/group-positions.js'
import { createGroupRecords } from './coordination/primaries/group-records.js'
import { createHolderChoice } from './coordination/routing/holder-choice.js'
import { createHolders } from './coordination/connections/holders.js'
import { createTokenAllocator, shardOf } from './coordination/limits/token-allocator.js'
import { createMembership } from './coordination/membership/membership.js'
import { createRelayHandler, readPrimaryPosition } from './coordination/routing/relay-handler.js'
import { limitRelayedBytes } from './coordination/routing/relayed-bytes.js'
import { openSession } from './coordination/sessions/session.js'
import { createStateBudget, maxSharedStateBytes } from './coordination/sessions/session-state.js'
import { createStatementRouter } from './coordination/routing/statement-router.js'
import { followStore } from './coordination/store/store-follower.js'
import { createStoreSources } from './coordination/store/store-sources.js'
import { events } from './events.js'
import { createGatewayMetrics } from './gateway-metrics.js'
import type { Gateway, GatewayPlatform, GatewaySettings } from './gateway-types.js'
import { createByteAccount } from './state/byte-account.js'
import { createAgeClock, createContact } from './state/contact.js'
import type { Database } from './state/configuration.js'
import { createFleetState } from './state/fleet-state.js'
import { createStoreHistory } from './state/store-history.js'
import { processName, splitProcessName } from './state/stored-records.js'
import type { Member } from './state/stored-records.js'
import { addRelayService, createRelayLinks } from './transport/relay-links.js'

/** Subtracted from `keyWithdrawalMs` to cover the time in which an admitted statement is still on its way. */
const keyWithdrawalMarginMs = 900
/** Time within which the balancer stops sending new callers to a gateway that is not ready. */
const balancerDetectionMs = 2200
/** If its last contact with the store is older, a gateway is not ready and leaves connections to other holders. */
const maxReadyContactAgeMs = 2000
const tokenTimeoutMs = 250
const positionTimeoutMs = 400
const maintenanceIntervalMs = 1000
const readinessIntervalMs = 200
const stateLoadedPollMs = 10
/** Fraction of the grace period in which other gateways may still finish their transactions here. */
const holderGraceFraction = 0.6

/** Starts a gateway. Rejects when its address is in use. */
export const startGateway = async (
  settings: GatewaySettings, platform: GatewayPlatform, log: Logger
): Promise<Gateway> => {
  const { store } = platform
  const connect = connectSafely(platform.connect)
  const incarnation = nanoid(8)
  const regionOf = (dataCentre: string) => settings.regionByDataCentre.get(dataCentre) ?? dataCentre
  const self: Member = {
    name: settings.name,
    dataCentre: settings.dataCentre,
    region: regionOf(settings.dataCentre),
    address: settings.relayAddress,
    incarnation,
    draining: false
  }
  const selfName = processName(self)
  const stopping = new AbortController()
  const { signal } = stopping
  let { keyWithdrawalMs, graceMs } = settings
  let isDraining = false
  let hasBeenReady = false
  let lastReadyMs = 0
  let sessionCount = 0
  let sessionNumber = 0
  const account = settings.account ?? createByteAccount({
    maxBytes: Infinity, maxBytesByKind: { sessionState: maxSharedStateBytes }
  })

  const clock = createAgeClock()
  const contact = createContact(clock)
  const fleetState = createFleetState(platform.decodeEntry, log)
  const history = createStoreHistory()
  const membership = createMembership(self, store, clock, log)
  const memberCount = () => fleetState.members().size
  const links = createRelayLinks(settings.channels, memberCount, log)
  const controlCommands = createControlCommands(connect)
  const election = createElection(fleetState)
  const sources = createStoreSources({ ...self, store, election, memberCount, contact, clock, relay: links, log })
  const { isLeaseHeld } = membership
  const records = createGroupRecords({ self: selfName, fleetState, contact, isLeaseHeld, store, log })
  const holderChoice = createHolderChoice({ self, election, regionOf, isUsable: links.isUsable })

  const askPosition = async (holder: Member, group: string): Promise<PositionSample | undefined> => {
    const requestedAt = clock.now()
    if (holder.name === self.name) {
      const read = await readPrimaryPosition({ fleetState, records, positions, control: controlCommands, clock }, group)
      return read && positions.newest(group)
    }
    const reply = await links.call(holder, { askPosition: { group } }, positionTimeoutMs)
    return reply.ok ? sampleFromPeer(reply.val.position, requestedAt) : undefined
  }

  /** Asks the holders of the primary in their order, since the first one may have lost the store or the primary. */
  const queryPrimaryPosition = async (group: string) => {
    const primary = fleetState.databases().get(fleetState.group(group)?.record.primary ?? '')
    if (primary === undefined) return undefined
    const startedAtMs = performance.now()
    for (const holder of holderChoice.candidates(primary, [])) {
      const sample = await askPosition(holder, group)
      if (sample !== undefined || performance.now() - startedAtMs >= positionTimeoutMs) return sample
    }
    return undefined
  }
  const positions = createGroupPositions(clock, queryPrimaryPosition)

  const isFirstHolder = (database: Database) => contact.ageMs() < maxReadyContactAgeMs &&
    holderChoice.candidates(database, [])[0]?.name === self.name
  const holders = createHolders({
    fleetState,
    isFirstHolder,
    connect,
    records,
    positions,
    clock,
    nowMs: () => performance.now(),
    counters: {
      countPrepared: () => metrics.statementsPrepared.inc(),
      countDeclined: (kind, reason) => metrics.commandsDeclined.inc({ kind, reason })
    },
    log
  })
  const tokenAllocator = createTokenAllocator({
    self: selfName, name: self.name, fleetState, election, membership, store, log
  })
  const requestTokens = async (workspace: string, wanted: number) => {
    const allocatorName = fleetState.limitRecord(shardOf(workspace))?.keeper
    if (allocatorName === undefined) return undefined
    const request = { workspace, wanted, asker: self.name }
    if (allocatorName === selfName) return tokenAllocator.allocate(request)
    const member = fleetState.members().get(splitProcessName(allocatorName).name)
    // Does not wait for an allocator that does not answer: admission uses the last known share of the rate meanwhile.
    if (member === undefined || !links.isUsable(member)) return undefined
    const reply = await links.call(member, { takeTokens: request }, tokenTimeoutMs)
    return reply.ok ? reply.val.tokens ?? undefined : undefined
  }
  const fallbackFor = (workspace: string, sharePerSec?: number) => {
    const ratePerSec = fleetState.configuration()?.workspaces.get(workspace)?.ratePerSec ?? 1
    const members = Math.max(1, memberCount())
    return fallbackLimits(sharePerSec ?? ratePerSec / members, ratePerSec, members)
  }
  const admission = createAdmission(requestTokens, fallbackFor, log)
  const router = createStatementRouter({
    self,
    fleetState,
    holders: holderChoice,
    relay: links,
    regionOf,
    runLocally: holders.run,
    abandonLocally: holders.abandon,
    log
  })
  const groupMonitor = createGroupMonitor({
    self: selfName,
    name: self.name,
    fleetState,
    election,
    records,
    contact,
    isLeaseHeld,
    control: controlCommands,
    relay: links,
    promote: platform.promote,
    hasRepliedRecently: holders.hasRepliedRecently,
    log
  })

  fleetState.onPrimaryChange(group => positions.forget(group))

  const handle = createRelayHandler({
    fleetState,
    history,
    records,
    holders: { ...holders, run: limitRelayedBytes(account, holders.run) },
    positions,
    allocator: tokenAllocator,
    control: controlCommands,
    contact,
    clock,
    isReady: () => isReady()
  })
  const listener = await listenGrpc(
    settings.relayAddress, { channels: settings.channels }, server => addRelayService(server, handle, log)
  )

  const registry = createRegistry()
  const metrics = createGatewayMetrics(registry, {
    sessions: () => sessionCount,
    contactAgeMs: () => contact.ageMs(),
    databaseConnections: () => holders.all().reduce((sum, holder) => sum + holder.connections(), 0),
    openTransactions: () => holders.all().reduce((sum, holder) => sum + holder.openTransactions(), 0),
    queuedStatements: () => holders.all().reduce((sum, holder) => sum + holder.load(), 0),
    heldBytes: account.heldBytes
  })

  const hasCurrentKeys = () => contact.ageMs() < keyWithdrawalMs - keyWithdrawalMarginMs
  const isStateLoaded = () => hasCurrentKeys() && fleetState.configuration() !== undefined
  const isReady = () => !isDraining && isStateLoaded() && contact.ageMs() < maxReadyContactAgeMs &&
    membership.leaseId() !== undefined

  const watchReadiness = async () => {
    let wasReady: boolean | undefined
    while (!signal.aborted) {
      if (isReady()) lastReadyMs = performance.now()
      if (isReady() !== wasReady) {
        wasReady = isReady()
        hasBeenReady ||= wasReady
        const configuration = fleetState.configuration()?.version
        log(events.gatewayReady, {
          ready: wasReady, draining: isDraining, contactAgeMs: Math.round(contact.ageMs()), configuration
        })
      }
      await sleepUntilTick(readinessIntervalMs, signal)
    }
  }

  const runMaintenance = async () => {
    while (!signal.aborted) {
      holders.closeObsolete()
      links.retain(new Set([...fleetState.members().values()].map(member => member.address)))
      admission.retain(new Set(fleetState.configuration()?.workspaces.keys() ?? []))
      await sleepUntilTick(maintenanceIntervalMs, signal)
    }
  }

  const backgroundTasks = [
    followStore({ store, nextChanges: sources.next, history, fleetState, contact, clock, log }, signal),
    membership.run(signal),
    tokenAllocator.run(signal),
    groupMonitor.run(signal),
    watchReadiness(),
    runMaintenance()
  ]
  log(events.gatewayStarted, { incarnation, address: settings.relayAddress, dataCentre: settings.dataCentre })

  const close = async () => {
    stopping.abort()
    await Promise.all(backgroundTasks)
    holders.close()
    controlCommands.close()
    links.close()
    await listener.close()
    store.close()
  }

  const drain = async () => {
    isDraining = true
    log(events.gatewayDraining, { sessions: sessionCount })
    await Promise.all([membership.startDraining(), tokenAllocator.leave()])
    const settleMs = graceMs * holderGraceFraction
    await Promise.all(holders.all().map(async holder => await holder.waitUntilIdle(settleMs)))
  }

  return {
    openSession: (database, key, part = account) => openSession({
      id: `${selfName}/${sessionNumber++}`,
      database,
      key,
      configuration: fleetState.configuration,
      hasCurrentKeys,
      admission,
      router,
      stateBudget: createStateBudget(part),
      log
    }),
    whenStateLoaded: async timeoutMs => {
      const deadlineMs = performance.now() + timeoutMs
      while (!hasBeenReady && !isStateLoaded() && performance.now() < deadlineMs) await sleepMs(stateLoadedPollMs)
    },
    isReady,
    shouldCloseIdleSessions: () => hasBeenReady &&
      performance.now() - lastReadyMs > balancerDetectionMs && links.isAnyReady(),
    metrics,
    registry,
    setSessionCount: count => { sessionCount = count },
    applyTimeLimits: times => { ({ keyWithdrawalMs, graceMs } = times) },
    drain,
    close: async () => {
      await membership.leave()
      await close()
      log(events.gatewayStopped, { sessions: sessionCount })
    }
  }
}
