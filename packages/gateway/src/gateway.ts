/**
 * The gateway: serves callers' sessions, holds connections to databases for itself and for other gateways, and shares
 * in enforcing rate limits and monitoring primaries. State that must survive the process is in the platform's store.
 */
import { createRegistry, sleepUntilTick } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import { listenGrpc } from '@egretyoke/protocol'
import { nanoid } from 'nanoid'
import { createAdmission } from './coordination/limits/admission.js'
import { connectSafely } from './coordination/connections/connect-safely.js'
import { createControlCommands } from './coordination/connections/control-commands.js'
import { createElection } from './coordination/membership/election.js'
import { fallbackLimits } from './coordination/limits/fallback-limits.js'
import { createGroupMonitor } from './coordination/primaries/group-monitor.js'
import { createGroupPositions } from './coordination/primaries/group-positions.js'
import { createPrimaryPositionReader } from './coordination/primaries/primary-position.js'
import { createGroupRecords } from './coordination/primaries/group-records.js'
import { createHolderChoice } from './coordination/routing/holder-choice.js'
import { createHolders, defaultMaxConnections } from './coordination/connections/holders.js'
import { createOrphanedConnections, recordConnections } from './coordination/connections/orphaned-connections.js'
import { createTokenAllocator } from './coordination/limits/token-allocator.js'
import { createTokenRequests } from './coordination/limits/token-requests.js'
import { createMembership } from './coordination/membership/membership.js'
import { createReadiness, maxReadyContactAgeMs } from './coordination/membership/readiness.js'
import { createPositionQuery } from './coordination/routing/position-query.js'
import { createRelayHandler } from './coordination/routing/relay-handler.js'
import { limitRelayedBytes } from './coordination/routing/relayed-bytes.js'
import { balancerDetectionMs, drainEndMs, drainPhaseAt, startsNewWork } from './coordination/sessions/drain-schedule.js'
import { openSession } from './coordination/sessions/session.js'
import type { HolderMove } from './coordination/routing/sticky-holders.js'
import { createStateBudget, maxSharedStateBytes } from './coordination/sessions/session-state.js'
import { createStatementRouter } from './coordination/routing/statement-router.js'
import { createObservedStore } from './coordination/store/observed-store.js'
import { createRestorableStore } from './coordination/store/restorable-store.js'
import { createStoreBackoff } from './coordination/store/store-backoff.js'
import { readStartState } from './coordination/store/start-state.js'
import { followStore } from './coordination/store/store-follower.js'
import { createStoreSources } from './coordination/store/store-sources.js'
import { createUsage } from './coordination/usage/usage.js'
import { events } from './events.js'
import { createGatewayMetrics } from './gateway-metrics.js'
import type { Gateway, GatewayPlatform, GatewaySettings } from './gateway-types.js'
import { createByteAccount } from './state/byte-account.js'
import { createAgeClock, createContact } from './state/contact.js'
import type { Database } from './state/configuration.js'
import { createFleetState } from './state/fleet-state.js'
import { createStoreHistory } from './state/store-history.js'
import { processName } from './state/stored-records.js'
import type { Member } from './state/stored-records.js'
import { addRelayService, createRelayLinks } from './transport/relay-links.js'

const maintenanceIntervalMs = 1000
/** Fraction of the grace period in which other gateways may still finish their transactions here. */
const heldTransactionsFraction = 0.6

/** Starts a gateway. Rejects when its address is in use. */
export const startGateway = async (
  settings: GatewaySettings, platform: GatewayPlatform, log: Logger
): Promise<Gateway> => {
  const storeBackoff = createStoreBackoff()
  const store = createObservedStore(createRestorableStore(platform.store), {
    backoff: storeBackoff, count: (call, result) => metrics.storeCalls.inc({ call, result })
  })
  const connect = connectSafely(platform.connect)
  const incarnation = nanoid(8)
  const regionOf = (dataCentre: string) => settings.regionByDataCentre.get(dataCentre) ?? dataCentre
  const self: Member = {
    name: settings.name,
    dataCentre: settings.dataCentre,
    region: regionOf(settings.dataCentre),
    address: settings.relayAddress,
    incarnation,
    draining: false,
    capacity: settings.capacity ?? {},
    storesEpochs: true,
    readsNewPositions: true
  }
  const selfName = processName(self)
  const stopping = new AbortController()
  const { signal } = stopping
  let { keyWithdrawalMs, graceMs } = settings
  let drainingSinceMs: number | undefined
  let sessionCount = 0
  let sessionNumber = 0
  const account = settings.account ?? createByteAccount({
    maxBytes: Infinity, maxBytesByKind: { sessionState: maxSharedStateBytes }
  })

  const drainPhase = () =>
    drainingSinceMs === undefined ? undefined : drainPhaseAt(performance.now() - drainingSinceMs, graceMs)
  const acceptsNewWork = () => startsNewWork(drainPhase())

  const clock = createAgeClock()
  const contact = createContact(clock)
  const fleetState = createFleetState(platform.decodeEntry, log)
  const history = createStoreHistory()
  const membership = createMembership(self, store, clock, log, storeBackoff)
  const readiness = createReadiness({
    contact,
    fleetState,
    membership,
    keyWithdrawalMs: () => keyWithdrawalMs,
    isDraining: () => drainingSinceMs !== undefined,
    log
  })
  const memberCount = () => fleetState.members().size
  const links = createRelayLinks(
    settings.channels, memberCount, log, event => metrics.linkEvents.inc({ event })
  )
  const onHolderMove = (move: HolderMove) => {
    metrics.holderMoves.inc({ cause: move.cause })
    log(events.holderMoved, move)
  }
  const isAnswering = (member: Member) => links.isUsable(member) && !links.isSuspected(member)
  const controlCommands = createControlCommands(
    connect, (database, status, sentAtMs) => records.observe(database, status, sentAtMs)
  )
  const election = createElection(fleetState)
  const sources = createStoreSources({
    ...self,
    store,
    backoff: storeBackoff,
    election,
    memberCount,
    revisionOf: fleetState.revisionOf,
    contact,
    clock,
    relay: links,
    log
  })
  const { isLeaseHeld } = membership
  const records = createGroupRecords({ self: selfName, fleetState, contact, isLeaseHeld, store, log })
  const holderChoice = createHolderChoice({
    self,
    election,
    regionOf,
    isUsable: links.isUsable,
    isSuspected: links.isSuspected,
    databases: fleetState.databases,
    onMove: onHolderMove
  })

  const usage = settings.usage && platform.reportUsage && createUsage({
    self: selfName,
    name: self.name,
    settings: settings.usage,
    fleetState,
    election,
    membership,
    contact,
    store,
    relay: links,
    report: platform.reportUsage,
    onResult: result => metrics.usageReports.inc({ result }),
    monotonic: () => performance.now(),
    wall: Date.now,
    log
  })

  const queryPosition = createPositionQuery({
    self: self.name,
    fleetState,
    holders: holderChoice,
    relay: links,
    clock,
    readLocally: async (group, maxAgeMs) => await readPosition(group, maxAgeMs)
  })
  const positions = createGroupPositions(clock, queryPosition)
  const readPosition = createPrimaryPositionReader({
    fleetState, records, positions, control: controlCommands, clock
  })

  const isFirstHolder = (database: Database) => contact.ageMs() < maxReadyContactAgeMs &&
    holderChoice.candidates(database, [])[0]?.name === self.name
  const orphanedConnections = createOrphanedConnections({
    isAlive: holder => {
      const member = fleetState.members().get(holder)
      return member !== undefined && links.isUsable(member)
    },
    nowMs: () => performance.now()
  })
  const maxConnectionsOf = (group: string) =>
    fleetState.configuration()?.groups.get(group)?.maxConnections ?? defaultMaxConnections
  const holders = createHolders({
    fleetState,
    orphanedConnections: orphanedConnections.countAt,
    isFirstHolder,
    startsNewWork: acceptsNewWork,
    connect,
    records,
    positions,
    clock,
    nowMs: () => performance.now(),
    usage,
    counters: {
      countPrepared: () => metrics.statementsPrepared.inc(),
      countDeclined: (kind, reason) => metrics.commandsDeclined.inc({ kind, reason })
    },
    countNotOffered: reason => metrics.statementsNotOffered.inc({ reason }),
    log
  })
  const tokenAllocator = createTokenAllocator({
    self: selfName, name: self.name, fleetState, election, membership, store, log
  })
  const requestTokens = createTokenRequests({
    name: self.name, self: selfName, fleetState, allocator: tokenAllocator, relay: links, isAnswering
  })
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
    relay: { ...links, call: recordConnections(links.call, orphanedConnections, maxConnectionsOf) },
    regionOf,
    runLocally: holders.run,
    abandonLocally: holders.abandon,
    usage,
    hasContact: records.hasContact,
    counters: {
      countAttempt: cause => metrics.furtherAttempts.inc({ cause, made: 'yes' }),
      countUnpaid: cause => metrics.furtherAttempts.inc({ cause, made: 'no' })
    },
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
    relay: { ...links, isUsable: isAnswering },
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
    readPosition,
    allocator: tokenAllocator,
    control: controlCommands,
    contact,
    clock,
    usage,
    isDirect: sources.isDirect,
    isStoreDue: () => storeBackoff.delayMs('contact') === 0,
    isReady: readiness.isReady
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
    databasesBelowSlots: () => holders.all().filter(holder => !holder.isPaceSettled()).length,
    unsentUsageWindows: () => usage?.unsentWindows() ?? 0,
    heldBytes: account.heldBytes
  })

  const runMaintenance = async () => {
    while (!signal.aborted) {
      holders.closeObsolete()
      links.retain(new Set([...fleetState.members().values()].map(member => member.address)))
      admission.retain(new Set(fleetState.configuration()?.workspaces.keys() ?? []))
      await sleepUntilTick(maintenanceIntervalMs, signal)
    }
  }

  const backgroundTasks = [
    followStore({
      store,
      startState: () => readStartState({
        ...self, store, relay: links, minMembers: settings.minMembersForPeerStart, readState: sources.stateFrom
      }),
      nextChanges: sources.next,
      history,
      fleetState,
      contact,
      clock,
      log
    }, signal),
    membership.run(signal),
    tokenAllocator.run(signal),
    groupMonitor.run(signal),
    usage?.run(signal),
    readiness.run(signal),
    runMaintenance()
  ]
  log(events.gatewayStarted, {
    incarnation, address: settings.relayAddress, dataCentre: settings.dataCentre, ...settings.capacity
  })

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
    drainingSinceMs ??= performance.now()
    log(events.gatewayDraining, { sessions: sessionCount })
    await Promise.all([membership.startDraining(), tokenAllocator.leave(), usage?.leave()])
    const sinceMs = performance.now() - drainingSinceMs
    const remainingMs = drainEndMs(graceMs) - sinceMs
    const transactionsMs = graceMs * heldTransactionsFraction - sinceMs
    await Promise.all(holders.all().map(async holder => await holder.waitUntilIdle(remainingMs, transactionsMs)))
  }

  return {
    openSession: (database, key, part = account) => openSession({
      id: `${selfName}/${sessionNumber++}`,
      database,
      key,
      configuration: fleetState.configuration,
      hasCurrentKeys: readiness.hasCurrentKeys,
      startsNewWork: acceptsNewWork,
      admission,
      router,
      stateBudget: createStateBudget(part),
      log
    }),
    whenStateLoaded: readiness.whenStateLoaded,
    isReady: readiness.isReady,
    drainPhase,
    shouldCloseIdleSessions: () => readiness.hasCeased(balancerDetectionMs) && links.isAnyReady(),
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
