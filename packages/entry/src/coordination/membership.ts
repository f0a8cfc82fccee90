/**
 * Membership: one heartbeat task for each peer in the roster, and startup from peers while the platform is
 * unreachable.
 */
import { createTicker, sleepMs } from '@egretyoke/common'
import type { Clock, Logger, Ticker } from '@egretyoke/common'
import type { RosterMember } from '@egretyoke/config'
import type { PeerMessages } from '@egretyoke/protocol'
import { events } from '../events.js'
import type { PlatformState } from '../state/platform-state.js'
import { unknownAgeMs } from '../state/peer-table.js'
import type { PeerTable } from '../state/peer-table.js'
import { majorityOf } from './contact.js'
import type { Contact } from './contact.js'
import type { Identity } from './identity.js'
import type { PeerCalls } from './peer-calls.js'
import { relaysPerDataCentre } from './state-follower.js'

const seedPollIntervalMs = 300

/** Dependencies and options of membership. */
export type MembershipOptions = {
  identity: Identity
  state: PlatformState
  contact: Contact
  peers: PeerTable
  calls: PeerCalls
  clock: Clock
  log: Logger
  intervalMs: number
  timeoutMs: number
  /** A peer that has not answered a heartbeat for this long does not count as alive. */
  aliveTimeoutMs: number
  seedPeers: readonly string[]
  isDraining: () => boolean
  slotCount: () => number
  fetchFrom: (address: string) => Promise<void>
}

/** Heartbeats to and from the peers of this VM. */
export type Membership = {
  /** Creates this VM's heartbeat message, which is both the request and the base of the reply. */
  createHeartbeat: () => PeerMessages.HeartbeatMessage
  /** Processes a peer's heartbeat and returns the reply. */
  handleHeartbeat: (message: PeerMessages.HeartbeatMessage__Output) => PeerMessages.HeartbeatMessage
  /** True if this VM is one of the relays of its data centre, which poll the platform. */
  isRelay: () => boolean
  /** Members of the roster that have answered no heartbeat of this VM for longer than `aliveTimeoutMs`. */
  silentPeers: () => string[]
  /** Sends heartbeats immediately, because records have changed. */
  sendHeartbeats: () => void
  run: (signal: AbortSignal) => Promise<void>
}

type PeerTask = {
  ticker: Ticker
  stop: AbortController
  address: string
  /** Send time of the latest heartbeat that was answered; the start time of the task before the first reply. */
  lastAnsweredSentAtMs: number
}

/** Creates the membership; `run` ends when its signal is aborted. */
export const createMembership = (options: MembershipOptions): Membership => {
  const { identity, state, contact, peers, calls, clock, log } = options
  const tasks = new Map<string, PeerTask>()

  const members = (): readonly RosterMember[] => state.roster()?.members ?? []
  const addressOf = (vm: string) => members().find(member => member.name === vm)?.address

  const createHeartbeat = (): PeerMessages.HeartbeatMessage => {
    const ageMs = contact.newestObservedRevision() > state.revision() ? Infinity : contact.confirmedAgeMs()
    return {
      vm: identity.vm,
      incarnation: identity.incarnation(),
      knownRevision: contact.newestObservedRevision(),
      confirmedAgeMs: Math.min(unknownAgeMs, Math.ceil(ageMs)),
      starting: contact.isStarting(),
      configVersion: state.configuration()?.version ?? 0,
      draining: options.isDraining(),
      slotCount: options.slotCount()
    }
  }

  const handleRevision = (vm: string, revision: number) => {
    contact.recordRevision(revision)
    const address = addressOf(vm)
    if (revision > state.revision() && address) options.fetchFrom(address)
  }

  const handleOwnIncarnation = (newest: number) => {
    if (newest <= identity.incarnation()) return
    if (contact.isStarting()) return identity.raiseAbove(newest)
    if (peers.newestIncarnation(identity.vm) >= newest) return
    peers.recordIncarnation(identity.vm, newest)
    log(events.superseded, { newest, own: identity.incarnation() })
  }

  const handleReply = (reply: PeerMessages.HeartbeatMessage__Output, sentAtMs: number) => {
    handleOwnIncarnation(reply.newestIncarnationOfAsker)
    peers.recordReport({
      vm: reply.vm,
      incarnation: reply.incarnation,
      sentAtMs,
      knownRevision: reply.knownRevision,
      confirmedAtMs: reply.confirmedAgeMs === unknownAgeMs ? -Infinity : sentAtMs - reply.confirmedAgeMs,
      starting: reply.starting,
      draining: reply.draining,
      configVersion: reply.configVersion,
      slotCount: reply.slotCount
    })
    if (!reply.starting) handleRevision(reply.vm, reply.knownRevision)
  }

  const handleHeartbeat = (message: PeerMessages.HeartbeatMessage__Output): PeerMessages.HeartbeatMessage => {
    if (message.vm === '') return createHeartbeat()
    peers.recordIncarnation(message.vm, message.incarnation)
    if (!message.starting) handleRevision(message.vm, message.knownRevision)
    return { ...createHeartbeat(), newestIncarnationOfAsker: peers.newestIncarnation(message.vm) }
  }

  /** Sends a heartbeat to one peer at every interval until the task is stopped. */
  const runPeer = async (vm: string, task: PeerTask) => {
    for await (const _ of task.ticker.ticks(task.stop.signal)) {
      const sentAtMs = clock()
      const reply = await calls.heartbeat(task.address, createHeartbeat(), options.timeoutMs)
      if (!reply || reply.vm !== vm) continue
      task.lastAnsweredSentAtMs = sentAtMs
      handleReply(reply, sentAtMs)
    }
  }

  const reconcile = () => {
    const rosterPeers = new Map(members()
      .filter(member => member.name !== identity.vm)
      .map(member => [member.name, member]))
    for (const [vm, task] of tasks) {
      if (rosterPeers.get(vm)?.address === task.address) continue
      task.stop.abort()
      tasks.delete(vm)
    }
    for (const [vm, member] of rosterPeers) {
      if (tasks.has(vm)) continue
      const task = {
        ticker: createTicker(options.intervalMs),
        stop: new AbortController(),
        address: member.address,
        lastAnsweredSentAtMs: clock()
      }
      tasks.set(vm, task)
      runPeer(vm, task)
    }
    peers.retain([...rosterPeers.keys()])
  }

  const isAlive = (vm: string): boolean => {
    if (vm === identity.vm) return true
    const report = peers.report(vm)
    return report !== undefined && !report.starting && clock() - report.sentAtMs < options.aliveTimeoutMs
  }

  const isRelay = (): boolean => {
    const alive = members()
      .filter(member => member.dataCentre === identity.dataCentre && isAlive(member.name))
      .map(member => member.name)
      .sort()
    if (!alive.includes(identity.vm)) return true
    return alive.indexOf(identity.vm) < relaysPerDataCentre
  }

  /** Starts without the platform if peers that form a majority of the roster, not counting this VM, are alive. */
  const tryStartFromPeers = async () => {
    await Promise.all(options.seedPeers.map(options.fetchFrom))
    const roster = members()
    const alivePeers = roster.filter(member => member.name !== identity.vm && isAlive(member.name))
    if (roster.length === 0 || alivePeers.length < majorityOf(roster.length)) return
    if (contact.newestObservedRevision() > state.revision()) return
    contact.completeStartup()
  }

  const silentPeers = () => [...tasks]
    .filter(([, task]) => clock() - task.lastAnsweredSentAtMs > options.aliveTimeoutMs)
    .map(([vm]) => vm)

  const sendHeartbeats = () => {
    for (const task of tasks.values()) task.ticker.wake()
  }

  const run = async (signal: AbortSignal) => {
    state.onChange(() => {
      if (signal.aborted) return
      reconcile()
      sendHeartbeats()
    })
    reconcile()
    while (contact.isStarting() && await sleepMs(seedPollIntervalMs, signal)) {
      if (contact.isStarting()) await tryStartFromPeers()
    }
    if (!signal.aborted) await new Promise(resolve => signal.addEventListener('abort', resolve, { once: true }))
    for (const task of tasks.values()) task.stop.abort()
  }

  return { createHeartbeat, handleHeartbeat, isRelay, silentPeers, sendHeartbeats, run }
}
