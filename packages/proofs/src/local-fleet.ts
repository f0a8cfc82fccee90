/**
 * A fleet in one process: stand-ins, entries and stewards on loopback. The entries' connections to the platform, to
 * peers and to databases pass through links that can be cut or frozen. It starts faster than a fleet of separate
 * processes, which only a test that freezes or kills a process needs.
 */
import { monotonicMs, sleepMs } from '@egretyoke/common'
import type { RunningProgram } from '@egretyoke/common'
import { createKey, encodeRecord, storeKeys } from '@egretyoke/config'
import type { GroupRecord } from '@egretyoke/config'
import { entrySettingsSchema, startEntry } from '@egretyoke/entry'
import { connectPlatform } from '@egretyoke/fleet'
import { loopbackChannels } from '@egretyoke/protocol'
import type { GrpcListener } from '@egretyoke/protocol'
import { startLink, startStandinDatabase, startStandinPlatform } from '@egretyoke/standins'
import type { Link } from '@egretyoke/standins'
import { startSteward, stewardSettingsSchema } from '@egretyoke/steward'
import { putConfiguration, putFleetRecords, setPlatformFault, setVms, smallFleet } from '@egretyoke/testbed'
import type { PlatformFault, StoredConfiguration } from '@egretyoke/testbed'

const loopback = '127.0.0.1:0'
const readyTimeoutMs = 30_000
const pollMs = 20
const platformTimeoutMs = 1_000

/** Options of a local fleet. */
export type LocalFleetOptions = {
  vmCount?: number
  /** Number of stewards, one on each of the first VMs. */
  stewardCount?: number
  /** Edits the configuration before it is stored. */
  edit?: (configuration: StoredConfiguration) => void
  /** Settings that override those of every entry. */
  entrySettings?: Record<string, unknown>
  database?: { serviceMs?: number, connectMs?: number, record?: boolean }
}

/** A running fleet. */
export type LocalFleet = Awaited<ReturnType<typeof startLocalFleet>>

/** Polls until the condition holds; throws an error with its name when the time limit passes. */
export const eventually = async (
  name: string,
  isSatisfied: () => boolean | Promise<boolean>,
  withinMs = readyTimeoutMs
) => {
  for (const deadlineMs = monotonicMs() + withinMs; monotonicMs() < deadlineMs; await sleepMs(pollMs)) {
    if (await isSatisfied()) return
  }
  throw new Error(`condition not met within ${withinMs} ms: ${name}`)
}

const isReady = async (healthAddress: string): Promise<boolean> => {
  try {
    return (await fetch(`http://${healthAddress}/readyz`)).status === 200
  } catch {
    return false
  }
}

type DatabaseHandle = { listener: GrpcListener, link: Link, start: (address: string) => Promise<GrpcListener> }
type EntryHandle = {
  program: RunningProgram
  isClosed: boolean
  platformLink: Link
  peerLink: Link
  settings: Record<string, unknown>
}

const startLinkTo = (target: string) => startLink({ listen: loopback, control: loopback, target, delayMs: 0 })

/** Starts a fleet with one group of three databases and waits until its entries are ready. */
export const startLocalFleet = async (options: LocalFleetOptions = {}) => {
  const { vmCount = 3, stewardCount = 0 } = options
  const description = smallFleet(vmCount)
  const keys = new Map<string, string>()
  let configuration = structuredClone(description.configuration)
  for (const [name, workspace] of Object.entries(configuration.workspaces)) {
    const key = createKey(`${name}-first`)
    keys.set(name, key.text)
    workspace.keys[key.keyId] = key.stored
  }
  options.edit?.(configuration)

  const platformListener = await startStandinPlatform({ address: loopback, channels: loopbackChannels, seed: 1 })
  const platform = connectPlatform(platformListener.address, loopbackChannels)
  const databases = new Map<string, DatabaseHandle>()
  const entries = new Map<string, EntryHandle>()
  const stewards: RunningProgram[] = []
  let version = 0
  let leaving: string[] = []

  const startDatabase = async (name: string, primary: { name: string, address: string }) => {
    const { endpoints } = configuration.groups['group-1']
    const { slots, maxConnections } = endpoints[name]
    const start = (address: string) => startStandinDatabase({
      address,
      channels: loopbackChannels,
      seed: 1,
      name,
      group: 'group-1',
      memberCount: Object.keys(endpoints).length,
      firstPrimary: primary,
      slots,
      maxWaiting: 100,
      maxConnections,
      connectMs: options.database?.connectMs ?? 1,
      serviceMs: options.database?.serviceMs ?? 0,
      replicationLagMs: 0,
      record: options.database?.record ?? false
    })
    const listener = await start(loopback)
    const link = await startLinkTo(listener.address)
    databases.set(name, { listener, link, start })
    endpoints[name].address = link.address
    return link.address
  }

  const startGroup = async () => {
    const { endpoints, firstPrimary } = configuration.groups['group-1']
    const primary = { name: firstPrimary, address: loopback }
    primary.address = await startDatabase(firstPrimary, primary)
    for (const name of Object.keys(endpoints)) if (name !== firstPrimary) await startDatabase(name, primary)
  }

  const applyConfiguration = async (edit: (draft: StoredConfiguration) => void): Promise<number> => {
    const draft = structuredClone(configuration)
    edit(draft)
    version = await putConfiguration(platform, draft, version)
    configuration = draft
    return version
  }

  const startVm = async ({ name, dataCentre }: { name: string, dataCentre: string }) => {
    const platformLink = await startLinkTo(platformListener.address)
    const settings = {
      name,
      dataCentre,
      callerListen: loopback,
      peerListen: loopback,
      healthListen: loopback,
      platformAddress: platformLink.address,
      drainNoticeMs: 0,
      ...options.entrySettings
    }
    const program = await startEntry(entrySettingsSchema.parse(settings))
    const peerLink = await startLinkTo(program.addresses.peers)
    entries.set(name, { program, isClosed: false, platformLink, peerLink, settings })
  }

  const members = () => description.vms.map(vm => ({ ...vm, address: entries.get(vm.name)!.peerLink.address }))

  const publishVms = () => {
    const endpoints = Object.entries(configuration.groups['group-1'].endpoints)
    return setVms(platformListener.address, [
      ...members().map(vm => ({ ...vm, role: 'ENTRY' as const, leaving: leaving.includes(vm.name) })),
      ...endpoints.map(([name, { address, dataCentre }]) =>
        ({ name, address, dataCentre, role: 'ENDPOINT' as const, leaving: leaving.includes(name) }))
    ])
  }

  const entry = (vm: string): EntryHandle => {
    const found = entries.get(vm)
    if (!found) throw new Error(`no VM "${vm}"`)
    return found
  }
  const database = (name: string): DatabaseHandle => {
    const found = databases.get(name)
    if (!found) throw new Error(`no database "${name}"`)
    return found
  }

  const waitReady = async (vms: string[] = [...entries.keys()]) => {
    for (const vm of vms) {
      await eventually(`${vm} is ready`, () => isReady(entry(vm).program.addresses.health))
    }
  }

  const closeEntry = async (vm: string) => {
    const handle = entry(vm)
    if (handle.isClosed) return
    handle.isClosed = true
    await handle.program.close()
  }

  const close = async () => {
    await Promise.all(stewards.map(steward => steward.close()))
    await Promise.all([...entries.keys()].map(closeEntry))
    for (const { platformLink, peerLink } of entries.values()) {
      await platformLink.close()
      await peerLink.close()
    }
    for (const { listener, link } of databases.values()) {
      await link.close()
      await listener.close()
    }
    platform.close()
    await platformListener.close()
  }

  const startStewards = async () => {
    for (const { name, dataCentre } of description.vms.slice(0, stewardCount)) {
      const settings = {
        name,
        dataCentre,
        healthListen: loopback,
        platformAddress: platformListener.address,
        entryAddress: entries.get(name)!.program.addresses.peers
      }
      stewards.push(await startSteward(stewardSettingsSchema.parse(settings)))
    }
  }

  await startGroup()
  await applyConfiguration(() => {})
  for (const vm of description.vms) await startVm(vm)
  await publishVms()
  await putFleetRecords(platform, configuration, members())
  await startStewards()
  await waitReady()

  return {
    vmNames: description.vms.map(vm => vm.name),
    platform,
    platformAddress: platformListener.address,
    keyOf: (workspace: string) => keys.get(workspace)!,
    callerAddress: (vm: string) => entry(vm).program.addresses.callers,
    callerAddresses: () => description.vms.map(vm => entry(vm.name).program.addresses.callers),
    peerAddress: (vm: string) => entry(vm).program.addresses.peers,
    healthAddress: (vm: string) => entry(vm).program.addresses.health,
    databaseAddress: (name: string) => database(name).listener.address,
    databaseNames: [...databases.keys()],
    configuration: () => configuration,
    applyConfiguration,
    /** Replaces the group record, which holds the term and the primary. */
    putGroupRecord: async (record: GroupRecord): Promise<void> => {
      const key = storeKeys.group('group-1')
      const stored = await platform.get(key, platformTimeoutMs)
      const expectedRevision = stored.ok ? stored.val?.revision ?? 0 : 0
      await platform.compareAndSwap({ key, expectedRevision, value: encodeRecord(record) }, platformTimeoutMs)
    },
    waitReady,
    /** Shuts an entry down gracefully, after its open calls have finished. */
    closeEntry,
    platformLink: (vm: string) => entry(vm).platformLink,
    peerLink: (vm: string) => entry(vm).peerLink,
    databaseLink: (name: string) => database(name).link,
    setPlatformFault: async (fault: PlatformFault): Promise<void> => {
      await setPlatformFault(platformListener.address, fault)
    },
    /** Marks exactly these VMs and endpoints as leaving in the VM list. */
    setLeaving: async (names: string[]): Promise<void> => {
      leaving = names
      await publishVms()
    },
    /** Stops a database; its data is lost. */
    stopDatabase: (name: string) => database(name).listener.close(),
    /** Restarts a stopped database, empty, at its previous address. */
    restartDatabase: async (name: string) => {
      const handle = database(name)
      handle.listener = await handle.start(handle.listener.address)
    },
    close
  }
}
