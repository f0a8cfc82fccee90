/**
 * Starts a whole fleet on loopback as separate processes, and returns functions to control and inspect them.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { sleepMs } from '@egretyoke/common'
import { createKey as createCallerKey } from '@egretyoke/config'
import type { RosterMember } from '@egretyoke/config'
import { connectPlatform } from '@egretyoke/fleet'
import { loopbackChannels } from '@egretyoke/protocol'
import type { PlatformMessages } from '@egretyoke/protocol'
import { startCountingRelay } from './counting-relay.js'
import type { CountingRelay } from './counting-relay.js'
import type { FleetDescription, FleetOptions } from './fleet-description.js'
import { startProgram } from './program-process.js'
import type { ProcessContext, ProgramProcess } from './program-process.js'
import * as control from './standin-control.js'
import { putConfiguration, putFleetRecords } from './stored-configuration.js'
import type { StoredConfiguration } from './stored-configuration.js'

const readyPollMs = 50
const defaultReadyTimeoutMs = 30_000

/** A running fleet. Programs are named by VM, database, `platform`, `steward-VM` and `link-...`. */
export type Fleet = Awaited<ReturnType<typeof startFleet>>

const isReady = async (healthAddress: string): Promise<boolean> => {
  try {
    const response = await fetch(`http://${healthAddress}/readyz`)
    return response.status === 200
  } catch {
    return false
  }
}

const withKeys = (configuration: StoredConfiguration, keys: Map<string, string>): StoredConfiguration => {
  const workspaces = Object.entries(configuration.workspaces).map(([name, workspace]) => {
    const key = createCallerKey(`${name}-first`)
    keys.set(name, key.text)
    return [name, { ...workspace, keys: { ...workspace.keys, [key.keyId]: key.stored } }]
  })
  return { ...configuration, workspaces: Object.fromEntries(workspaces) }
}

/** Starts the platform, databases, entries and stewards; resolves when every entry is ready. */
export const startFleet = async (description: FleetDescription, options: FleetOptions = {}) => {
  const folder = mkdtempSync(join(tmpdir(), 'egretyoke-fleet-'))
  const standinContext: ProcessContext = { folder, debug: '' }
  const productContext: ProcessContext = { folder, debug: options.debug ?? '' }
  const programs = new Map<string, ProgramProcess>()
  const links = options.links ?? {}
  const relays: CountingRelay[] = []
  const vmNames = description.vms.map(vm => vm.name)
  const keys = new Map<string, string>()
  let configuration = structuredClone(withKeys(description.configuration, keys))
  let version = 0
  let leaving = new Set<string>()
  let unlisted = new Set<string>()

  const program = (name: string): ProgramProcess => {
    const found = programs.get(name)
    if (!found) throw new Error(`no program "${name}"; there are ${[...programs.keys()].join(', ')}`)
    return found
  }

  const start = async (
    context: ProcessContext, kind: ProgramProcess['kind'], name: string, settings: Record<string, unknown>
  ) => {
    const started = await startProgram(context, kind, name, settings)
    programs.set(name, started)
    return started
  }

  /** Starts a relay to the target if enabled or if bytes are counted; returns its address, or else the target's. */
  const startLinkIfEnabled = async (isEnabled: boolean | undefined, name: string, target: string): Promise<string> => {
    if (links.countBytes) {
      const relay = await startCountingRelay(target)
      relays.push(relay)
      return relay.address
    }
    if (!isEnabled) return target
    const link = await start(standinContext, 'link', `link-${name}`, { target, delayMs: links.delayMs ?? 0 })
    return link.addresses().link
  }

  const startDatabase = async (group: string, name: string, primaryAddress: string) => {
    const { endpoints, firstPrimary } = configuration.groups[group]
    const { slots, maxConnections } = endpoints[name]
    const started = await start(standinContext, 'database', name, {
      name,
      group,
      memberCount: Object.keys(endpoints).length,
      firstPrimary: { name: firstPrimary, address: primaryAddress },
      slots,
      maxConnections,
      serviceMs: description.serviceMs ?? 2,
      connectMs: description.connectMs ?? 10,
      replicationLagMs: description.replicationLagMs ?? 0,
      record: options.record ?? false,
      ...options.databaseSettings?.(name)
    })
    endpoints[name].address = await startLinkIfEnabled(links.databases, name, started.addresses().database)
    return endpoints[name].address
  }

  const startGroup = async (group: string) => {
    const { endpoints, firstPrimary } = configuration.groups[group]
    const primaryAddress = await startDatabase(group, firstPrimary, '127.0.0.1:1')
    const replicas = Object.keys(endpoints).filter(name => name !== firstPrimary)
    await Promise.all(replicas.map(name => startDatabase(group, name, primaryAddress)))
  }

  const peerAddresses = new Map<string, string>()
  const platformAddresses = new Map<string, string>()

  const startEntry = async ({ name, dataCentre }: FleetDescription['vms'][number]) => {
    const platformAddress = await startLinkIfEnabled(
      links.platform, `platform-${name}`, program('platform').addresses().platform
    )
    platformAddresses.set(name, platformAddress)
    const entry = await start(productContext, 'entry', name,
      { name, dataCentre, platformAddress, ...options.entrySettings?.(name) })
    peerAddresses.set(name, await startLinkIfEnabled(links.peers, `peer-${name}`, entry.addresses().peers))
  }

  const startSteward = ({ name, dataCentre }: FleetDescription['vms'][number]) =>
    start(productContext, 'steward', `steward-${name}`,
      {
        name,
        dataCentre,
        platformAddress: platformAddresses.get(name),
        entryAddress: programs.get(name)?.addresses().peers,
        ...options.stewardSettings?.(name)
      })

  const rosterMembers = (): RosterMember[] =>
    description.vms.map(vm => ({ ...vm, address: peerAddresses.get(vm.name)! }))

  const vmList = (): PlatformMessages.Vm[] => {
    const entries = rosterMembers().map(vm => ({ ...vm, role: 'ENTRY' as const, leaving: leaving.has(vm.name) }))
    const endpoints = Object.values(configuration.groups).flatMap(group => Object.entries(group.endpoints))
      .map(([name, { address, dataCentre }]) =>
        ({ name, address, dataCentre, role: 'ENDPOINT' as const, leaving: leaving.has(name) }))
    return [...entries, ...endpoints].filter(vm => !unlisted.has(vm.name))
  }

  const publishVmList = () => control.setVms(program('platform').addresses().platform, vmList())

  const waitReady = async (names: string[] = vmNames, timeoutMs = options.readyTimeoutMs ?? defaultReadyTimeoutMs) => {
    const deadlineMs = performance.now() + timeoutMs
    for (const name of names) {
      while (!await isReady(program(name).addresses().health)) {
        if (performance.now() > deadlineMs) {
          throw new Error(`${name} is not ready after ${timeoutMs} ms\n${program(name).logs().slice(-4_000)}`)
        }
        await sleepMs(readyPollMs)
      }
    }
  }

  /** Kills every program that this fleet started. */
  const close = async () => {
    for (const relay of relays) relay.close()
    await Promise.all([...programs.values()].map(running => running.kill()))
    rmSync(folder, { recursive: true, force: true })
  }

  const withPlatform = async <T>(use: (platform: ReturnType<typeof connectPlatform>) => Promise<T>): Promise<T> => {
    const platform = connectPlatform(program('platform').addresses().platform, loopbackChannels)
    try {
      return await use(platform)
    } finally {
      platform.close()
    }
  }

  /** Applies an edit to a copy of the configuration and activates it; resolves to the new version. */
  const applyConfiguration = async (edit: (draft: StoredConfiguration) => void): Promise<number> => {
    const draft = structuredClone(configuration)
    edit(draft)
    version = await withPlatform(platform => putConfiguration(platform, draft, version))
    configuration = draft
    return version
  }

  const startAll = async () => {
    await start(standinContext, 'platform', 'platform', {})
    await Promise.all(Object.keys(configuration.groups).map(startGroup))
    await applyConfiguration(() => {})
    await Promise.all(description.vms.map(startEntry))
    await publishVmList()
    if (options.withoutStewards) {
      await withPlatform(platform => putFleetRecords(platform, configuration, rosterMembers()))
    } else {
      await Promise.all(description.vms.map(startSteward))
    }
    await waitReady()
  }

  try {
    await startAll()
  } catch (thrown) {
    await close()
    throw thrown
  }

  const databaseAddress = (name: string) => program(name).addresses().database

  /** Restarts a program on the same ports. An entry gets the addresses of its peers as seeds. */
  const restart = async (name: string) => {
    const isEntry = vmNames.includes(name)
    const others = [...peerAddresses].filter(([vm]) => vm !== name).map(([, address]) => address)
    await program(name).restart(isEntry ? { seedPeers: others } : {})
  }

  return {
    vmNames,
    vms: description.vms,
    /** Address at which a VM accepts callers. */
    callerAddress: (vm: string) => program(vm).addresses().callers,
    callerAddresses: () => vmNames.map(vm => program(vm).addresses().callers),
    healthAddress: (name: string) => program(name).addresses().health,
    platformAddress: () => program('platform').addresses().platform,
    databaseNames: (group?: string) => Object.entries(configuration.groups)
      .filter(([name]) => group === undefined || name === group)
      .flatMap(([, { endpoints }]) => Object.keys(endpoints)),
    /** Plaintext of the first key of a workspace. */
    keyOf: (workspace: string) => keys.get(workspace)!,
    configuration: () => configuration,
    configurationVersion: () => version,
    programNames: () => [...programs.keys()],
    pid: (name: string) => program(name).pid(),
    isRunning: (name: string) => program(name).isRunning(),
    kill: (name: string) => program(name).kill(),
    freeze: (name: string) => program(name).freeze(),
    thaw: (name: string) => program(name).thaw(),
    terminate: (name: string) => program(name).terminate(),
    restart,
    logs: (name: string) => program(name).logs(),
    setDatabaseFault: async (name: string, fault: control.DatabaseFault): Promise<void> => {
      await control.setDatabaseFault(databaseAddress(name), fault)
    },
    setPlatformFault: async (fault: control.PlatformFault): Promise<void> => {
      await control.setPlatformFault(program('platform').addresses().platform, fault)
    },
    /** Sets the faults of `link-NAME`. */
    setLinkFault: async (name: string, fault: control.LinkFault): Promise<void> => {
      await control.setLinkFault(program(name).addresses().control, fault)
    },
    /** Marks exactly these VMs and endpoints as leaving in the platform's VM list. */
    setLeaving: async (names: string[]): Promise<void> => {
      leaving = new Set(names)
      await publishVmList()
    },
    /** Omits exactly these VMs and endpoints from the platform's VM list. */
    setUnlisted: async (names: string[]): Promise<void> => {
      unlisted = new Set(names)
      await publishVmList()
    },
    readLog: (name: string) => control.readLog(databaseAddress(name)),
    readMemberStatus: (name: string): Promise<control.MemberStatus> =>
      control.readMemberStatus(databaseAddress(name)),
    readDatabaseStats: (name: string): Promise<control.DatabaseStats> =>
      control.readDatabaseStats(databaseAddress(name)),
    readPlatformStats: (): Promise<control.PlatformStats> =>
      control.readPlatformStats(program('platform').addresses().platform),
    /** Adds a key to a workspace and activates the configuration; returns the key's plaintext. */
    createKey: async (workspace: string, keyId: string): Promise<string> => {
      const key = createCallerKey(keyId)
      await applyConfiguration(draft => {
        draft.workspaces[workspace].keys[keyId] = key.stored
      })
      return key.text
    },
    /** Bytes forwarded between the programs so far; 0 without `countBytes`. */
    relayedBytes: () => relays.reduce((sum, relay) => sum + relay.bytes(), 0),
    applyConfiguration,
    waitReady,
    close
  }
}
