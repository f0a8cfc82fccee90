/**
 * Membership: one heartbeat task for each peer in the roster, and startup from peers while the platform is
 * unreachable.
 */
import { createTicker, sleepMs } from '@egretyoke/common'
import type { Clock, Logger, Ticker } from '@egretyoke/common'
import type { RosterMember } from '@egretyoke/config'
import type { PeerMessages } from '@egretyoke/protocol'
import { events } from '../events.js'
import type { KnownState } from '../state/known-state.js'
import { unknownAgeMs } from '../state/peer-table.js'
import type { PeerTable } from '../state/peer-table.js'
import { majorityOf } from './contact.js'
import type { Contact } from './contact.js'
import type { Identity } from './identity.js'
import type { PeerCalls } from './peer-calls.js'
import { relaysPerDataCentre } from './state-follower.js'

const seedIntervalMs = 300

/** Dependencies and options of membership. */
export type MembershipOptions = {
  identity: Identity
  state: KnownState
  contact: Contact
  peers: PeerTable
  calls: PeerCalls
  clock: Clock
  log: Logger
  intervalMs: number
  timeoutMs: number
  /** A peer that has not answered a heartbeat for this long does not count as alive. */
  aliveMs: number
  seedPeers: readonly string[]
  isDraining: () => boolean
  slotCount: () => number
  fetchFrom: (address: string) => Promise<void>
}

/** Heartbeats to and from the peers of this VM. */
export type Membership = {
  /** Creates this VM's heartbeat message, which is both the request and the base of the reply. */
  ownMessage: () => PeerMessages.HeartbeatMessage
  /** Processes a peer's heartbeat and returns the reply. */
  answer: (message: PeerMessages.HeartbeatMessage__Output) => PeerMessages.HeartbeatMessage
  /** True if this VM is one of the relays of its data centre, which poll the platform. */
  isRelay: () => boolean
  /** Members of the roster that have answered no heartbeat of this VM for longer than the contact time. */
  silentPeers: () => string[]
  /** Sends heartbeats immediately, because records have changed. */
  announce: () => void
  run: (signal: AbortSignal) => Promise<void>
}

type PeerTask = {
  ticker: Ticker
  stop: AbortController
  address: string
  /** Send time of the latest heartbeat that was answered; the start time of the task before the first reply. */
  answeredMs: number
}

/** Creates the membership; `run` ends when its signal is aborted. */
export const createMembership = (options: MembershipOptions): Membership => {
  const { identity, state, contact, peers, calls, clock, log } = options
  const tasks = new Map<string, PeerTask>()

  const members = (): readonly RosterMember[] => state.roster()?.members ?? []
  const addressOf = (vm: string) => members().find(member => member.name === vm)?.address

  const ownMessage = (): PeerMessages.HeartbeatMessage => {
    const ageMs = contact.newestHeardRevision() > state.revision() ? Infinity : contact.confirmedAgeMs()
    return {
      vm: identity.vm,
      incarnation: identity.incarnation(),
      knownRevision: contact.newestHeardRevision(),
      confirmedAgeMs: Math.min(unknownAgeMs, Math.ceil(ageMs)),
      starting: contact.isStarting(),
      configVersion: state.configuration()?.version ?? 0,
      draining: options.isDraining(),
      slotCount: options.slotCount()
    }
  }

  const noteRevision = (vm: string, revision: number) => {
    contact.noteRevision(revision)
    const address = addressOf(vm)
    if (revision > state.revision() && address) options.fetchFrom(address)
  }

  const noteOwnIncarnation = (newest: number) => {
    if (newest <= identity.incarnation()) return
    if (contact.isStarting()) return identity.riseAbove(newest)
    if (peers.newestIncarnation(identity.vm) >= newest) return
    peers.noteIncarnation(identity.vm, newest)
    log(events.superseded, { newest, own: identity.incarnation() })
  }

  const noteReply = (reply: PeerMessages.HeartbeatMessage__Output, askedAtMs: number) => {
    noteOwnIncarnation(reply.newestIncarnationOfAsker)
    peers.note({
      vm: reply.vm,
      incarnation: reply.incarnation,
      askedAtMs,
      knownRevision: reply.knownRevision,
      confirmedAtMs: reply.confirmedAgeMs === unknownAgeMs ? -Infinity : askedAtMs - reply.confirmedAgeMs,
      starting: reply.starting,
      draining: reply.draining,
      configVersion: reply.configVersion,
      slotCount: reply.slotCount
    })
    if (!reply.starting) noteRevision(reply.vm, reply.knownRevision)
  }

  const answer = (message: PeerMessages.HeartbeatMessage__Output): PeerMessages.HeartbeatMessage => {
    if (message.vm === '') return ownMessage()
    peers.noteIncarnation(message.vm, message.incarnation)
    if (!message.starting) noteRevision(message.vm, message.knownRevision)
    return { ...ownMessage(), newestIncarnationOfAsker: peers.newestIncarnation(message.vm) }
  }

  /** Sends a heartbeat to one peer at every interval until the task is stopped. */
  const runPeer = async (vm: string, task: PeerTask) => {
    for await (const _ of task.ticker.ticks(task.stop.signal)) {
      const askedAtMs = clock()
      const reply = await calls.heartbeat(task.address, ownMessage(), options.timeoutMs)
      if (!reply || reply.vm !== vm) continue
      task.answeredMs = askedAtMs
      noteReply(reply, askedAtMs)
    }
  }

  const reconcile = () => {
    const wanted = new Map(members().filter(member => member.name !== identity.vm).map(member => [member.name, member]))
    for (const [vm, task] of tasks) {
      if (wanted.get(vm)?.address === task.address) continue
      task.stop.abort()
      tasks.delete(vm)
    }
    for (const [vm, member] of wanted) {
      if (tasks.has(vm)) continue
      const task = {
        ticker: createTicker(options.intervalMs),
        stop: new AbortController(),
        address: member.address,
        answeredMs: clock()
      }
      tasks.set(vm, task)
      runPeer(vm, task)
    }
    peers.retain([...wanted.keys()])
  }

  const isAlive = (vm: string): boolean => {
    if (vm === identity.vm) return true
    const report = peers.report(vm)
    return report !== undefined && !report.starting && clock() - report.askedAtMs < options.aliveMs
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
    const vouching = roster.filter(member => member.name !== identity.vm && isAlive(member.name))
    if (roster.length === 0 || vouching.length < majorityOf(roster.length)) return
    if (contact.newestHeardRevision() > state.revision()) return
    contact.noteStarted()
  }

  const silentPeers = () => [...tasks]
    .filter(([, task]) => clock() - task.answeredMs > options.aliveMs)
    .map(([vm]) => vm)

  const announce = () => {
    for (const task of tasks.values()) task.ticker.wake()
  }

  const run = async (signal: AbortSignal) => {
    state.onChange(() => {
      if (signal.aborted) return
      reconcile()
      announce()
    })
    reconcile()
    while (contact.isStarting() && await sleepMs(seedIntervalMs, signal)) {
      if (contact.isStarting()) await tryStartFromPeers()
    }
    if (!signal.aborted) await new Promise(resolve => signal.addEventListener('abort', resolve, { once: true }))
    for (const task of tasks.values()) task.stop.abort()
  }

  return { ownMessage, answer, isRelay, silentPeers, announce, run }
}
