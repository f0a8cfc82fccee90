/**
 * The gateway: serves callers' sessions, holds connections to databases for itself and for other gateways, and shares
 * in enforcing rate limits and monitoring primaries. State that must survive the process is in the platform's store.
 */
import { createRegistry, sleepMs } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import { listenGrpc } from '@egretyoke/protocol'
import type { ChannelSettings } from '@egretyoke/protocol'
import { nanoid } from 'nanoid'
import type { Registry } from 'prom-client'
import { createAdmission } from './coordination/admission.js'
import type { ConnectDatabase } from './coordination/database-connection.js'
import { createDatabaseOrders } from './coordination/database-orders.js'
import { createElection } from './coordination/election.js'
import { createGroupKeeper } from './coordination/group-keeper.js'
import { createGroupPositions } from './coordination/group-positions.js'
import { createGroupRecords } from './coordination/group-records.js'
import { createHolderChoice } from './coordination/holder-choice.js'
import { createHolders } from './coordination/holders.js'
import { createLimitKeeper, shardOf } from './coordination/limit-keeper.js'
import { createMembership } from './coordination/membership.js'
import type { PromoteDatabase } from './coordination/primary-change.js'
import { createRelayHandler, readPrimaryPosition } from './coordination/relay-handler.js'
import { openSession } from './coordination/session.js'
import type { Session, SessionError } from './coordination/session.js'
import type { SharedStore } from './coordination/shared-store.js'
import { createStatementRouter } from './coordination/statement-router.js'
import { followStore } from './coordination/store-follower.js'
import { createStoreSources } from './coordination/store-sources.js'
import { events } from './events.js'
import { createGatewayMetrics } from './gateway-metrics.js'
import type { GatewayMetrics } from './gateway-metrics.js'
import { createAgeClock, createContact } from './state/contact.js'
import type { Database } from './state/configuration.js'
import { createFleetView } from './state/fleet-view.js'
import type { ReadFact } from './state/fleet-view.js'
import { createStoreHistory } from './state/store-history.js'
import { processName } from './state/stored-records.js'
import type { Member } from './state/stored-records.js'
import { addRelayService, createRelayLinks } from './transport/relay-links.js'

/** Identity, addresses and time limits of a gateway. */
export type GatewaySettings = {
  name: string
  dataCentre: string
  regionByDataCentre: ReadonlyMap<string, string>
  /** HOST:PORT on which other gateways reach this one. */
  relayAddress: string
  channels: ChannelSettings
  /** Time after its accepted withdrawal by which a key must be refused everywhere. */
  keyWithdrawalMs: number
  /** Time between the request to stop and the end of the process. */
  graceMs: number
}

/** Services of the platform that the gateway calls, implemented by the platform's adapter. */
export type GatewayPlatform = {
  store: SharedStore
  connect: ConnectDatabase
  promote: PromoteDatabase
  readFact: ReadFact
}

/** A running gateway. */
export type Gateway = {
  openSession: (database: string, key: string) => Session | SessionError
  /** Resolves once the gateway has loaded keys and configuration after its start, or after the timeout. */
  whenInformed: (timeoutMs: number) => Promise<void>
  /** Whether the gateway accepts new callers. */
  isReady: () => boolean
  /**
   * Whether idle sessions should be closed so that their callers reconnect elsewhere: this gateway has not been ready
   * for longer than the balancer needs to notice, and another gateway is ready.
   */
  shouldLetGo: () => boolean
  metrics: GatewayMetrics
  registry: Registry
  noteSessionCount: (count: number) => void
  /** Applies changed time limits. */
  applyTimes: (times: Pick<GatewaySettings, 'keyWithdrawalMs' | 'graceMs'>) => void
  /** Accepts no new work, finishes work held here for other gateways, and leaves the fleet. */
  drain: () => Promise<void>
  close: () => Promise<void>
}

/** Subtracted from `keyWithdrawalMs` to cover the time in which an admitted statement is still on its way. */
const keyMarginMs = 900
/** Time within which the balancer stops sending new callers to a gateway that is not ready. */
const balancerNoticeMs = 2200
/** With an older contact with the store a gateway is not ready and leaves its connections to other holders. */
const readyContactMs = 2000
const tokenTimeoutMs = 250
const positionTimeoutMs = 400
const upkeepIntervalMs = 1000
const informedPollMs = 10
/** Fraction of the grace period in which other gateways may still finish their transactions here. */
const holderGraceFraction = 0.6

/** Starts a gateway. Rejects when its address is in use. */
export const startGateway = async (
  settings: GatewaySettings, platform: GatewayPlatform, log: Logger
): Promise<Gateway> => {
  const { store, connect } = platform
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

  const clock = createAgeClock()
  const contact = createContact(clock)
  const view = createFleetView(platform.readFact, log)
  const history = createStoreHistory()
  const membership = createMembership(self, store, clock, log)
  const links = createRelayLinks(settings.channels, log)
  const orders = createDatabaseOrders(connect)
  const election = createElection(view)
  const sources = createStoreSources({ ...self, store, election, contact, clock, relay: links, log })
  const { isLeaseHeld } = membership
  const records = createGroupRecords({ self: selfName, view, contact, isLeaseHeld, store, log })
  const holderChoice = createHolderChoice({ self, election, regionOf, isUsable: links.isUsable })

  const askPosition = async (group: string) => {
    const primary = view.databases().get(view.group(group)?.record.primary ?? '')
    if (primary === undefined) return undefined
    const [holder] = holderChoice.candidates(primary, [])
    const asked = clock.now()
    if (holder === undefined || holder.name === self.name) {
      const read = await readPrimaryPosition({ view, records, positions, orders, clock }, group)
      return read && positions.newest(group)
    }
    const answer = await links.ask(holder, { askPosition: { group } }, positionTimeoutMs)
    const found = answer.ok ? answer.val.position : undefined
    if (!found) return undefined
    const { position, ageMs } = found
    if (position === '') return undefined
    return { position, coversUntil: { monotonicMs: asked.monotonicMs - ageMs, wallMs: asked.wallMs - ageMs } }
  }
  const positions = createGroupPositions(clock, askPosition)

  const isFirstHolder = (database: Database) => contact.ageMs() < readyContactMs &&
    holderChoice.candidates(database, [])[0]?.name === self.name
  const holders = createHolders({
    view, isFirstHolder, connect, records, positions, clock, nowMs: () => performance.now(), log
  })
  const limits = createLimitKeeper({ self: selfName, name: self.name, view, election, membership, store, log })
  const askForTokens = async (workspace: string, wanted: number) => {
    const keeper = view.limitKeeper(shardOf(workspace))?.keeper
    if (keeper === undefined) return undefined
    const request = { workspace, wanted, asker: self.name }
    if (keeper === selfName) return limits.take(request)
    const member = view.members().get(keeper.split('/')[0] ?? '')
    // Does not wait for an allocator that does not answer: admission uses the last known share of the rate meanwhile.
    if (member === undefined || !links.isUsable(member)) return undefined
    const answer = await links.ask(member, { takeTokens: request }, tokenTimeoutMs)
    return answer.ok ? answer.val.tokens ?? undefined : undefined
  }
  const startingRate = (workspace: string) =>
    (view.configuration()?.workspaces.get(workspace)?.ratePerSec ?? 1) / Math.max(1, view.members().size)
  const admission = createAdmission(askForTokens, startingRate, log)
  const router = createStatementRouter({
    self, view, holders: holderChoice, relay: links, regionOf, runHere: holders.run, abandonHere: holders.abandon, log
  })
  const keeper = createGroupKeeper({
    self: selfName,
    name: self.name,
    view,
    election,
    records,
    contact,
    isLeaseHeld,
    orders,
    relay: links,
    promote: platform.promote,
    hasAnsweredLately: holders.hasAnsweredLately,
    log
  })

  view.onGroupChange(group => positions.forget(group))

  const handle = createRelayHandler({
    view, history, records, holders, positions, limits, orders, contact, clock, isReady: () => isReady()
  })
  const listener = await listenGrpc(
    settings.relayAddress, { channels: settings.channels }, server => addRelayService(server, handle)
  )

  const registry = createRegistry()
  const metrics = createGatewayMetrics(registry, {
    sessions: () => sessionCount,
    contactAgeMs: () => contact.ageMs(),
    databaseConnections: () => holders.all().reduce((sum, holder) => sum + holder.connections(), 0),
    openTransactions: () => holders.all().reduce((sum, holder) => sum + holder.openTransactions(), 0),
    queuedStatements: () => holders.all().reduce((sum, holder) => sum + holder.load(), 0)
  })

  const knowsKeys = () => contact.ageMs() < keyWithdrawalMs - keyMarginMs
  const isInformed = () => knowsKeys() && view.configuration() !== undefined
  const isReady = () => !isDraining && isInformed() && contact.ageMs() < readyContactMs &&
    membership.leaseId() !== undefined

  const watchReadiness = async () => {
    let was: boolean | undefined
    while (!signal.aborted) {
      if (isReady()) lastReadyMs = performance.now()
      if (isReady() !== was) {
        was = isReady()
        hasBeenReady ||= was
        const configuration = view.configuration()?.version
        log(events.gatewayReady, {
          ready: was, draining: isDraining, contactAgeMs: Math.round(contact.ageMs()), configuration
        })
      }
      await sleepMs(upkeepIntervalMs / 10, signal)
    }
  }

  const upkeep = async () => {
    while (!signal.aborted) {
      holders.retainKnown()
      links.retain(new Set([...view.members().values()].map(member => member.address)))
      admission.retain(new Set(view.configuration()?.workspaces.keys() ?? []))
      await sleepMs(upkeepIntervalMs, signal)
    }
  }

  const running = [
    followStore({ store, nextNews: sources.next, history, view, contact, clock, log }, signal),
    membership.run(signal),
    limits.run(signal),
    keeper.run(signal),
    watchReadiness(),
    upkeep()
  ]
  log(events.gatewayStarted, { incarnation, address: settings.relayAddress, dataCentre: settings.dataCentre })

  const close = async () => {
    stopping.abort()
    await Promise.all(running)
    holders.close()
    orders.close()
    links.close()
    await listener.close()
    store.close()
  }

  const drain = async () => {
    isDraining = true
    log(events.gatewayDraining, { sessions: sessionCount })
    await Promise.all([membership.startDraining(), limits.leave()])
    const settleMs = graceMs * holderGraceFraction
    await Promise.all(holders.all().map(async holder => await holder.settle(settleMs)))
  }

  return {
    openSession: (database, key) => openSession({
      id: `${selfName}/${sessionNumber++}`,
      database,
      key,
      configuration: view.configuration,
      knowsKeys,
      admission,
      router,
      log
    }),
    whenInformed: async timeoutMs => {
      const untilMs = performance.now() + timeoutMs
      while (!hasBeenReady && !isInformed() && performance.now() < untilMs) await sleepMs(informedPollMs)
    },
    isReady,
    shouldLetGo: () => hasBeenReady && performance.now() - lastReadyMs > balancerNoticeMs && links.isAnyReady(),
    metrics,
    registry,
    noteSessionCount: count => { sessionCount = count },
    applyTimes: times => { ({ keyWithdrawalMs, graceMs } = times) },
    drain,
    close: async () => {
      await membership.leave()
      await close()
      log(events.gatewayStopped, { sessions: sessionCount })
    }
  }
}
