/**
 * Composition root of the entry: creates state, coordination and transport from the settings and connects them.
 */
import {
  createLogger, createPauseDetector, createRegistry, monotonicMs, sleepMs, startHealthServer
} from '@egretyoke/common'
import type { RunningProgram } from '@egretyoke/common'
import { unsuspendedNames } from '@egretyoke/config'
import { connectPlatform } from '@egretyoke/fleet'
import { createRetryBudget, deficitRoundRobin, firstComeFirstServed } from '@egretyoke/limits'
import { listenGrpc } from '@egretyoke/protocol'
import { createAdmission } from './coordination/admission.js'
import { createConcurrencyLimit } from './coordination/concurrency-limit.js'
import { createConfirmationStops } from './coordination/confirmation-stops.js'
import { createConnectionPermits, isConnectionLimit } from './coordination/connection-permits.js'
import { createContact } from './coordination/contact.js'
import type { EntryContext } from './coordination/entry-context.js'
import { createGroups } from './coordination/groups.js'
import { createIdentity } from './coordination/identity.js'
import { createMembership } from './coordination/membership.js'
import { createRateLimits } from './coordination/rate-limits.js'
import { createRequestCounters } from './coordination/request-counters.js'
import { createServingState } from './coordination/serving-state.js'
import { retryPolicies } from './coordination/retry-policy.js'
import { createStateFollower } from './coordination/state-follower.js'
import { events } from './events.js'
import { registerStateMetrics } from './state-metrics.js'
import type { EntrySettings } from './settings.js'
import { createPlatformState } from './state/platform-state.js'
import { createPeerTable } from './state/peer-table.js'
import { createCallerService } from './transport/caller-server.js'
import { openEndpointTransport } from './transport/endpoint-transport.js'
import { createPeerClients } from './transport/peer-client.js'
import { addPeerService } from './transport/peer-server.js'

const disciplines = { deficitRoundRobin, firstComeFirstServed } as const
const drainPollIntervalMs = 20
const messageOverheadBytes = 4_096

/** Starts an entry. Resolves once it listens, which may be before the VM is in contact and serves requests. */
export const startEntry = async (settings: EntrySettings): Promise<RunningProgram> => {
  const { channels, limits, policies } = settings
  const clock = monotonicMs
  const log = createLogger('entry', { vm: settings.name })
  const identity = createIdentity(settings.name, settings.dataCentre)
  const stopping = new AbortController()
  const platform = connectPlatform(settings.platformAddress, channels)
  const calls = createPeerClients(channels)
  const state = createPlatformState()
  const peers = createPeerTable()
  const contact = createContact({
    vm: identity.vm,
    incarnation: identity.incarnation,
    ttlMs: settings.contact.ttlMs,
    clock,
    peers,
    knownRevision: state.revision,
    rosterNames: () => (state.roster()?.members ?? []).map(member => member.name)
  })
  const rates = createRateLimits({
    identity, state, calls, clock, log, contactTtlMs: settings.contact.ttlMs, policy: policies.shares
  })
  const permits = createConnectionPermits({
    identity, state, calls, clock, log, contactTtlMs: settings.contact.ttlMs
  })
  const expireLoans = () => {
    rates.expireLoans()
    permits.expireLoans()
  }
  const retryBudget = createRetryBudget()
  const serving = createServingState({
    identity, state, contact, clock, log, pauseDetector: createPauseDetector(), onPause: expireLoans
  })
  const confirmationStops = createConfirmationStops()
  const follower = createStateFollower({
    platform,
    state,
    contact,
    calls,
    clock,
    log,
    pollIntervalMs: settings.contact.platformPollIntervalMs,
    timeoutMs: settings.contact.platformTimeoutMs,
    contactTtlMs: settings.contact.ttlMs,
    isRelay: () => membership.isRelay(),
    rosterSize: () => state.roster()?.members.length ?? 1
  })
  const membership = createMembership({
    identity,
    state,
    contact,
    peers,
    calls,
    clock,
    log,
    intervalMs: settings.contact.heartbeatIntervalMs,
    timeoutMs: settings.contact.platformTimeoutMs,
    aliveTimeoutMs: settings.contact.ttlMs,
    seedPeers: settings.seedPeers,
    isDraining: serving.isDraining,
    slotCount: () => unsuspendedNames(state.roster()).length,
    fetchFrom: follower.fetchFrom
  })
  const groups = createGroups({
    state,
    clock,
    log,
    limits,
    discipline: disciplines[policies.queue],
    isInContact: serving.isInContact,
    waitForContact: serving.waitForContact,
    minConfirmableTerm: confirmationStops.minConfirmableTerm,
    permits: permits.source,
    openTransport: (group, config) => openEndpointTransport(group, config, channels)
  })
  const registry = createRegistry()
  const context: EntryContext = {
    clock,
    log,
    limits,
    admit: createAdmission({
      clock,
      configuration: state.configuration,
      isInContact: serving.isInContact,
      isDraining: serving.isRefusingCalls,
      isDataCentreOutOfService: serving.isDataCentreOutOfService
    }),
    waitForContact: serving.waitForContact,
    acquireRateToken: rates.acquire,
    concurrency: createConcurrencyLimit(),
    group: groups.group,
    readPolicy: policies.reads,
    retryPolicy: retryPolicies[policies.retry],
    retryBudget,
    counters: createRequestCounters(registry)
  }
  const callers = createCallerService(context)
  registerStateMetrics(registry, { contact, state, groups, callers })

  let activeVersion = 0
  state.onChange(() => {
    rates.update()
    permits.update()
    groups.update()
    const version = state.configuration()?.version ?? 0
    if (version === activeVersion) return
    activeVersion = version
    log(events.configInForce, { version, revision: state.revision() })
  })

  const peerListener = await listenGrpc(settings.peerListen, { channels }, server => addPeerService(server, {
    heartbeat: message => {
      const reply = membership.handleHeartbeat(message)
      if (message.vm !== '') return reply
      const sightings = groups.all().flatMap(group => group.endpoints.sightings())
      return { ...reply, sightings, silentPeers: membership.silentPeers() }
    },
    fetchState: request => ({
      entries: state.entriesAfter(request.afterRevision),
      knownRevision: state.revision(),
      starting: contact.isStarting()
    }),
    stopConfirming: request => {
      const acknowledged = confirmationStops.stop(request.group, request.term)
      contact.recordRevision(request.revision)
      log(events.stopConfirming, { group: request.group, term: request.term, revision: request.revision })
      follower.pollNow()
      return { acknowledged, vm: identity.vm, incarnation: identity.incarnation() }
    },
    borrow: request => {
      if (!serving.isInContact()) return { reason: 'outOfContact' }
      return isConnectionLimit(request.limit) ? permits.lend(request) : rates.lend(request)
    }
  }))
  const callerListener = await listenGrpc(
    settings.callerListen,
    { channels, audience: 'anyone', maxMessageBytes: limits.maxStatementBytes + messageOverheadBytes },
    callers.add
  )
  const isReady = () => serving.isInContact() && rates.isReady() && serving.isReadyForCalls()
  const health = await startHealthServer(settings.healthListen, { isReady }, registry)
  follower.run(stopping.signal)
  membership.run(stopping.signal)
  serving.run(stopping.signal)
  const addresses = {
    callers: callerListener.address,
    peers: peerListener.address,
    health: `${settings.healthListen.slice(0, settings.healthListen.lastIndexOf(':'))}:${health.port}`
  }
  log(events.started, { ...addresses, incarnation: identity.incarnation() })

  /**
   * Fails readiness, keeps serving until the load balancer has stopped sending calls, then refuses new calls and waits
   * for the open ones.
   */
  const close = async () => {
    serving.startDraining()
    log(events.draining, { openCalls: callers.openCalls() })
    await sleepMs(settings.drainNoticeMs)
    serving.refuseCalls()
    const deadlineMs = clock() + settings.drainTimeoutMs
    while (callers.openCalls() > 0 && clock() < deadlineMs) await sleepMs(drainPollIntervalMs)
    log(events.drained, { openCalls: callers.openCalls() })
    await callerListener.close(settings.drainNoticeMs)
    stopping.abort()
    groups.close()
    rates.close()
    permits.close()
    calls.close()
    platform.close()
    await peerListener.close()
    await health.close()
  }
  return { addresses, close }
}
