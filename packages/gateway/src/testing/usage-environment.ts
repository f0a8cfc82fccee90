/**
 * Usage reports of several gateways on virtual time, over one store and one platform service with faults, for tests.
 */
import { Err, Ok, typedError } from '@egretyoke/common'
import type { StoredEntry, Swap } from '@egretyoke/fleet'
import type { RelayMessages } from '@egretyoke/protocol'
import { createFleetClock } from '../coordination/usage/fleet-clock.js'
import { createUsageCollector } from '../coordination/usage/usage-collector.js'
import type { CollectorOptions } from '../coordination/usage/usage-collector.js'
import { createUsageCounter, encodeCounts } from '../coordination/usage/usage-counter.js'
import type { UsageCounter } from '../coordination/usage/usage-counter.js'
import { createUsageDuty } from '../coordination/usage/usage-duty.js'
import { createUsageReporter } from '../coordination/usage/usage-reporter.js'
import type { UsageReporter } from '../coordination/usage/usage-reporter.js'
import { createUsageSender } from '../coordination/usage/usage-sender.js'
import type { ReportUsage } from '../coordination/usage/usage-sender.js'
import { notRun } from '../coordination/sessions/statement.js'
import { createFleetState } from '../state/fleet-state.js'
import type { FleetState } from '../state/fleet-state.js'
import { encodeRecord, processName, recordPrefixes, usageKey } from '../state/stored-records.js'
import type { Member, UsageRecord } from '../state/stored-records.js'
import { writeRequest } from './holder-environment.js'

/** Settings of the reports in these tests. */
export const usageSettings = { windowMs: 5000, lateMs: 10_000, tolerance: 0.05, leaseMs: 3000, callsPerSec: 1000 }

/** A call that reached the platform. */
export type ReceivedReport = { holder: string, window: number, counts: string, fence: number, atMs: number }

/** `refused`: without effect. `lost`: takes effect without an answer. `silent`: without effect or answer. */
export type CallFault = 'refused' | 'lost' | 'silent' | undefined

const startMs = 1_700_000_000_000
const stepMs = 200

/** A gateway of the environment. */
export type UsageGateway = {
  member: Member
  state: { isAlive: boolean, followsStore: boolean, contactAgeMs: number }
  fleetState: FleetState
  counter: UsageCounter
  reporter: UsageReporter
  answer: (window: number, wallMs: number) => RelayMessages.UsageCounts
}

/** Gateways, store and platform on virtual time. */
export type UsageEnvironment = {
  /** Calls that reached the platform, in order. */
  calls: ReceivedReport[]
  logged: Array<{ gateway: string, name: string }>
  faults: { store: CallFault, service: CallFault }
  hooks: { beforeCall: (holder: string) => void }
  /** Gateways whose calls the platform refuses. */
  refused: Set<string>
  nowMs: () => number
  at: (name: string) => UsageGateway
  /** Starts a gateway, as the successor of one with the same name if there is one. */
  start: (name: string, options?: { incarnation?: string, skewMs?: number }) => UsageGateway
  /** Advances the time in the steps of the reporters' loops. */
  advance: (ms: number) => Promise<void>
  setRank: (names: string[]) => void
  drain: (name: string) => void
  /** Ends a process; its membership ends when its lease does. */
  kill: (name: string) => void
  endMembership: (name: string) => void
  /** Runs an operation of a workspace at a holder, for a caller of the sender. */
  run: (workspace: string, holder: string, sender?: string) => void
  record: () => UsageRecord
  removeRecord: () => void
}

/** The rules that calls of all holders violate. */
export const brokenRules = (calls: readonly ReceivedReport[], leaseMs = usageSettings.leaseMs): string[] => {
  const broken: string[] = []
  const countsByWindow = new Map<number, string>()
  const holderByFence = new Map<number, string>()
  let highest = 0
  for (const { holder, window, counts, fence } of calls) {
    if ((countsByWindow.get(window) ?? counts) !== counts) broken.push(`two counts for window ${window}`)
    if ((holderByFence.get(fence) ?? holder) !== holder) broken.push(`two holders with fence ${fence}`)
    if (fence < highest) broken.push(`fence ${fence} after ${highest}`)
    countsByWindow.set(window, counts)
    holderByFence.set(fence, holder)
    highest = Math.max(highest, fence)
  }
  for (const [index, call] of calls.entries()) {
    const between = calls.slice(0, index).findLastIndex(({ holder }) => holder !== call.holder)
    const before = calls.slice(0, Math.max(0, between)).findLast(({ holder }) => holder === call.holder)
    if (before !== undefined && call.atMs - before.atMs < leaseMs) broken.push(`${call.holder} acts again too early`)
  }
  return broken
}

/** Creates the environment without gateways. */
export const createUsageEnvironment = (): UsageEnvironment => {
  let nowMs = startMs
  let revision = 10
  const stored = new Map<string, StoredEntry>()
  const calls: ReceivedReport[] = []
  const logged: Array<{ gateway: string, name: string }> = []
  const faults: { store: CallFault, service: CallFault } = { store: undefined, service: undefined }
  const hooks: { beforeCall: (holder: string) => void } = { beforeCall: () => {} }
  const gateways = new Map<string, UsageGateway>()
  const refused = new Set<string>()
  let rank: string[] = []

  const publish = (entry: StoredEntry) => {
    if (entry.deleted) stored.delete(entry.key)
    else stored.set(entry.key, entry)
    for (const gateway of gateways.values()) {
      const { state, fleetState } = gateway
      if (state.isAlive && state.followsStore) fleetState.apply(entry)
    }
  }

  const write = ({ key, value, delete: isDelete = false }: Pick<Swap, 'key' | 'value' | 'delete'>) => {
    const entry = { key, value, revision: ++revision, deleted: isDelete }
    publish(entry)
    return entry
  }

  const compareAndSwap = async (swap: Swap) => {
    const fault = faults.store
    const noAnswer = Err(typedError('noAnswer' as const, 'no answer'))
    if (fault === 'silent' || fault === 'refused') return noAnswer
    const current = stored.get(swap.key)
    const isSwapped = (current?.revision ?? 0) === swap.expectedRevision
    const entry = isSwapped ? write(swap) : current
    return fault === 'lost' ? noAnswer : Ok({ swapped: isSwapped, current: entry, storeRevision: revision })
  }

  const createGateway = (name: string, incarnation: string, skewMs: number): UsageGateway => {
    const member: Member = {
      name, incarnation, dataCentre: 'dc-1', region: 'north', address: `${name}:1`, draining: false
    }
    const self = processName(member)
    const state = { isAlive: true, followsStore: true, contactAgeMs: 0 }
    const bootMs = nowMs
    const monotonic = () => nowMs - bootMs
    const wall = () => nowMs + skewMs
    const log = (event: { name: string }) => { logged.push({ gateway: name, name: event.name }) }
    const fleetState = createFleetState(() => undefined, log)
    const clock = createFleetClock(monotonic, wall)
    const counter = createUsageCounter(usageSettings.windowMs, clock, monotonic)
    const relay: CollectorOptions['relay'] = {
      call: async ({ address }, { readUsage }) => {
        const peer = [...gateways.values()].findLast(other => other.member.address === address)
        if (peer === undefined || !peer.state.isAlive) return Err(typedError('lost' as const, 'no reply'))
        return Ok({ usageCounts: peer.answer(Number(readUsage?.window), Number(readUsage?.wallMs)) }) as never
      }
    }
    const report: ReportUsage = async ({ window, counts }, fence) => {
      hooks.beforeCall(name)
      const noAnswer = Err(typedError('noAnswer' as const, 'no answer'))
      if (!state.isAlive || faults.service === 'silent') return noAnswer
      if (faults.service === 'refused' || refused.has(name)) return Err(typedError('refused' as const, 'refused'))
      calls.push({ holder: name, window, counts: JSON.stringify(counts), fence, atMs: nowMs })
      return faults.service === 'lost' ? noAnswer : Ok(undefined)
    }
    const collector = createUsageCollector({ self, fleetState, relay, counter, clock, monotonic, wall })
    const duty = createUsageDuty({
      self,
      name,
      fleetState,
      election: { ranked: () => rank.flatMap(other => fleetState.members().get(other) ?? []) },
      isCurrent: () => state.contactAgeMs < 2000,
      store: { compareAndSwap },
      monotonic,
      log
    })
    const sender = createUsageSender({ ...usageSettings, report, monotonic, onResult: () => {}, log })
    const reporter = createUsageReporter({
      settings: usageSettings,
      duty,
      collector,
      sender,
      clock,
      isLeaseHeld: () => state.isAlive,
      contactAgeMs: () => state.contactAgeMs,
      monotonic,
      log
    })
    const answer = (window: number, wallMs: number) => {
      clock.followReporter(wallMs)
      return encodeCounts(window, counter.read(window), wall())
    }
    return { member, state, fleetState, counter, reporter, answer }
  }

  const start: UsageEnvironment['start'] = (name: string, { incarnation = '1', skewMs = 0 } = {}) => {
    const gateway = createGateway(name, incarnation, skewMs)
    gateways.set(name, gateway)
    if (!rank.includes(name)) rank.push(name)
    for (const entry of stored.values()) gateway.fleetState.apply(entry)
    write({ key: recordPrefixes.vms + name, value: encodeRecord(gateway.member) })
    return gateway
  }

  const at = (name: string) => {
    const gateway = gateways.get(name)
    if (gateway === undefined) throw new Error(`no gateway ${name}`)
    return gateway
  }

  const advance = async (ms: number) => {
    for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
      nowMs += stepMs
      for (const { state, reporter } of gateways.values()) if (state.isAlive) await reporter.step()
    }
  }

  return {
    calls,
    logged,
    faults,
    hooks,
    refused,
    at,
    start,
    advance,
    nowMs: () => nowMs,
    setRank: (names: string[]) => { rank = names },
    drain: name => {
      write({ key: recordPrefixes.vms + name, value: encodeRecord({ ...at(name).member, draining: true }) })
    },
    kill: name => { at(name).state.isAlive = false },
    endMembership: (name: string) => {
      write({ key: recordPrefixes.vms + name, value: Buffer.alloc(0), delete: true })
    },
    run: (workspace, holder, sender = holder) => {
      const request = writeRequest({ workspace })
      at(holder).counter.countHeld(request)?.({ outcome: 'done' })
      if (sender === holder) return
      const outcome = { ...notRun(''), status: 'DONE' as const }
      at(sender).counter.countSent(processName(at(holder).member), request, outcome, Infinity)
    },
    record: () => JSON.parse(stored.get(usageKey)?.value.toString('utf8') ?? 'null'),
    removeRecord: () => { write({ key: usageKey, value: Buffer.alloc(0), delete: true }) }
  }
}
