/**
 * Test support: a fleet on loopback with the stand-in platform, database groups behind fault-injecting links, test
 * entries and stewards.
 */
import { monotonicMs, silentLogger, sleepMs } from '@egretyoke/common'
import {
  decodeRecord, documentHash, documentNames, encodeRecord, groupRecordSchema, rosterSchema, storeKeys
} from '@egretyoke/config'
import type { GroupRecord } from '@egretyoke/config'
import { connectMember, connectPlatform } from '@egretyoke/fleet'
import { callUnary, connectGrpc, loopbackChannels, standinProto } from '@egretyoke/protocol'
import type { StandinMessages } from '@egretyoke/protocol'
import { startLink, startStandinDatabase, startStandinPlatform } from '@egretyoke/standins'
import type { PromotionTask } from './coordination/promotion-calls.js'
import { promote } from './coordination/promotion.js'
import { stewardSettingsSchema } from './settings.js'
import { startSteward } from './start-steward.js'
import type { StewardHooks } from './start-steward.js'
import { startTestEntry } from './test-entry.js'
import { createGrpcEntryPeers } from './transport/grpc-entry-peers.js'
import { createPromotionCalls } from './transport/platform-promotion-calls.js'

const loopback = '127.0.0.1:0'
const callTimeoutMs = 1_000
const memberNames = ['a', 'b', 'c']
const dataCentres = ['north', 'middle', 'south']

/** Contact TTL of the entries in tests, in milliseconds. */
export const contactTtlMs = 600

/** Polls until the condition holds; throws an error with its name after `timeoutMs`. */
export const eventually = async (name: string, condition: () => boolean | Promise<boolean>, timeoutMs = 15_000) => {
  for (const deadlineMs = monotonicMs() + timeoutMs; monotonicMs() < deadlineMs; await sleepMs(20)) {
    if (await condition()) return
  }
  throw new Error(`condition not met in time: ${name}`)
}

const hasSameActiveTerm = (entryRecord: GroupRecord | undefined, record: GroupRecord): boolean =>
  entryRecord?.phase === 'active' && entryRecord.term === record.term

/** A running test fleet. */
export type TestFleet = Awaited<ReturnType<typeof startTestFleet>>

type FleetOptions = { groups?: string[], entryCount?: number, directEntries?: number }

const startMember = async (group: string, name: string, first: { name: string, address: string }) => {
  const database = await startStandinDatabase({
    address: loopback,
    channels: loopbackChannels,
    seed: 1,
    name,
    group,
    memberCount: memberNames.length,
    firstPrimary: first,
    slots: 3,
    maxWaiting: 100,
    maxConnections: 20,
    connectMs: 1,
    serviceMs: 1,
    replicationLagMs: 0,
    record: false
  })
  return database
}

/**
 * Starts the platform, groups of three members, and entries. The last `directEntries` entries connect to the members
 * directly instead of through the links.
 */
export const startTestFleet = async (options: FleetOptions = {}) => {
  const { groups = ['core'], entryCount = 3, directEntries = 0 } = options
  const cleanups: Array<() => Promise<void> | void> = []
  const platformServer = await startStandinPlatform({ address: loopback, channels: loopbackChannels, seed: 1 })
  const platform = connectPlatform(platformServer.address, loopbackChannels)
  const control = connectGrpc(standinProto.PlatformControl, platformServer.address, loopbackChannels)
  const members = new Map<string, Awaited<ReturnType<typeof startGroup>>[number]>()

  const startGroup = async (group: string) => {
    const started = []
    let first = { name: '', address: '' }
    for (const shortName of memberNames) {
      const name = `${group}-${shortName}`
      // The first member is the primary and follows no other, so it does not need the address of its own link.
      const database = await startMember(group, name, first.name ? first : { name, address: loopback })
      const link = await startLink({ listen: loopback, control: loopback, target: database.address, delayMs: 0 })
      if (!first.name) first = { name, address: link.address }
      cleanups.push(link.close, () => database.close())
      const control = connectMember(database.address, loopbackChannels)
      const linked = connectMember(link.address, loopbackChannels)
      started.push({ name, group, database, link, control, linked })
    }
    return started
  }
  for (const group of groups) for (const member of await startGroup(group)) members.set(member.name, member)

  const endpointsOf = (group: string) => Object.fromEntries([...members.values()]
    .filter(member => member.group === group)
    .map((member, index) => [member.name, {
      address: member.link.address, dataCentre: dataCentres[index], slots: 3, maxConnections: 20
    }]))

  const documents = (outDataCentres: string[]) => ({
    profiles: { profiles: {} },
    workspaces: { workspaces: {} },
    groups: {
      groups: Object.fromEntries(groups.map(group =>
        [group, { endpoints: endpointsOf(group), firstPrimary: `${group}-a` }]))
    },
    'data-centres': {
      dataCentres: Object.fromEntries(dataCentres.map(name =>
        [name, { region: 'here', state: outDataCentres.includes(name) ? 'out' : 'in' }]))
    }
  })

  /** Stores a configuration in which the given data centres are out of service. */
  const configure = async (outDataCentres: string[]) => {
    const texts = documents(outDataCentres)
    const hashes: Record<string, string> = {}
    for (const name of documentNames) {
      const value = Buffer.from(JSON.stringify(texts[name]))
      hashes[name] = documentHash(value.toString())
      const key = storeKeys.document(hashes[name])
      await platform.compareAndSwap({ key, expectedRevision: 0, value }, callTimeoutMs)
    }
    const head = await platform.get(storeKeys.head, callTimeoutMs)
    const revision = head.ok ? head.val?.revision ?? 0 : 0
    const value = encodeRecord({ version: revision + 1, documents: hashes, changeId: `change-${revision}` })
    await platform.compareAndSwap({ key: storeKeys.head, expectedRevision: revision, value }, callTimeoutMs)
  }
  await configure([])

  const addresses = (isDirect: boolean) => Object.fromEntries([...members.values()].map(member =>
    [member.name, isDirect ? member.database.address : member.link.address]))
  const entries = await Promise.all(Array.from({ length: entryCount }, (_, index) => startTestEntry({
    name: `vm-${index + 1}`,
    platformAddress: platformServer.address,
    contactTtlMs,
    memberAddresses: addresses(index >= entryCount - directEntries)
  })))

  const setVms = (leaving: string[] = [], missing: string[] = []) => callUnary(control, control.SetVms, {
    vms: [
      ...entries.map(entry => ({ name: entry.name, role: 'ENTRY' as const, address: entry.address })),
      ...[...members.values()].map(member =>
        ({ name: member.name, role: 'ENDPOINT' as const, address: member.link.address }))
    ].filter(vm => !missing.includes(vm.name))
      .map(vm => ({ ...vm, dataCentre: 'north', leaving: leaving.includes(vm.name) }))
  }, callTimeoutMs)
  await setVms()

  const setPlatformFault = (fault: StandinMessages.PlatformFault) =>
    callUnary(control, control.SetPlatformFault, fault, callTimeoutMs)

  const addSteward = async (name: string, hooks: StewardHooks = {}, settings: object = {}) => {
    const steward = await startSteward(stewardSettingsSchema.parse({
      name,
      dataCentre: 'north',
      healthListen: loopback,
      platformAddress: platformServer.address,
      contactTtlMs,
      clockMarginMs: 100,
      leaseTtlMs: 900,
      probeIntervalMs: 50,
      probeTimeoutMs: 200,
      detectMs: 300,
      platformTimeoutMs: 300,
      vmListIntervalMs: 100,
      ...settings
    }), hooks)
    let closed: Promise<void> | undefined
    const close = () => {
      closed ??= steward.close()
      return closed
    }
    cleanups.push(close)
    return { close }
  }

  const group = async (name = groups[0]): Promise<GroupRecord | undefined> => {
    const read = await platform.get(storeKeys.group(name), callTimeoutMs)
    if (!read.ok || !read.val) return undefined
    const record = decodeRecord(read.val.key, read.val.value, groupRecordSchema)
    return record.ok ? record.val : undefined
  }

  const roster = async (): Promise<string[]> => {
    const read = await platform.get(storeKeys.roster, callTimeoutMs)
    const record = read.ok && read.val ? decodeRecord(read.val.key, read.val.value, rosterSchema) : undefined
    return record?.ok ? record.val.members.map(member => member.name) : []
  }

  /** Reads the statements in a member's log. */
  const logOf = (name: string) => new Promise<string[]>((resolve, reject) => {
    const client = connectGrpc(standinProto.DatabaseControl, members.get(name)!.database.address, loopbackChannels)
    const statements: string[] = []
    const call = client.ReadLog({ afterPosition: 0 })
    call.on('data', (entry: StandinMessages.LoggedEntry__Output) => statements.push(...entry.statements.map(String)))
    call.on('error', reject)
    call.on('end', () => {
      client.close()
      resolve(statements)
    })
  })

  const stopReplication = async (name: string, isStopped: boolean) => {
    const address = members.get(name)!.database.address
    const database = connectGrpc(standinProto.DatabaseControl, address, loopbackChannels)
    await callUnary(database, database.SetDatabaseFault, { stopReplication: isStopped }, callTimeoutMs)
    database.close()
  }

  const isActive = async (test: (record: GroupRecord) => boolean, name = groups[0]) => {
    const record = await group(name)
    return record?.phase === 'active' && test(record)
  }

  /** Waits until the group has an active term of at least `term`, known to all entries that are not cut off. */
  const untilServing = (term: number, name = groups[0]) => eventually(`${name} serves in term ${term}`, async () => {
    const record = await group(name)
    return record?.phase === 'active' && record.term >= term &&
      entries.every(entry => entry.isCutOff() || hasSameActiveTerm(entry.record(name), record))
  })

  /** Runs one promotion attempt as a separate steward that needs no lease. */
  const promoteOnce = async (afterStep: PromotionTask['afterStep'], name = groups[0]) => {
    const entryPeers = createGrpcEntryPeers(loopbackChannels, 200)
    cleanups.push(entryPeers.close)
    const calls = createPromotionCalls({
      group: name,
      platform,
      entries: entryPeers,
      updateCopy: () => {},
      isRosterStable: () => true,
      timeoutMs: 300,
      log: silentLogger
    })
    const stored = await calls.readGroup()
    if (!stored.ok) throw new Error('the platform did not reply')
    const groupMembers = [...members.values()].filter(member => member.group === name).map(member => {
      const control = connectMember(member.link.address, loopbackChannels)
      cleanups.push(control.close)
      return { name: member.name, endpoint: endpointsOf(name)[member.name], control, canRemainPrimary: true }
    })
    const timeouts = { contactExpiryMs: contactTtlMs + 100, memberTimeoutMs: 200, attemptTimeoutMs: 60_000 }
    const { signal } = new AbortController()
    return promote({ group: name, members: groupMembers, calls, timeouts, afterStep, signal }, stored.val)
  }

  const close = async () => {
    await Promise.all(cleanups.reverse().map(cleanUp => cleanUp()))
    await Promise.all(entries.map(entry => entry.close()))
    for (const { control: direct, linked } of members.values()) [direct, linked].forEach(control => control.close())
    control.close()
    platform.close()
    await platformServer.close()
  }
  return {
    platform,
    entries,
    members,
    addSteward,
    configure,
    setVms,
    setPlatformFault,
    group,
    roster,
    logOf,
    isActive,
    untilServing,
    promoteOnce,
    stopReplication,
    close
  }
}

/** Retries a majority write until it is confirmed; returns the statement. */
export const writeUntilConfirmed = async (fleet: TestFleet, statement: string, entry = fleet.entries[0]) => {
  await eventually(`${statement} is confirmed`, () => entry.write('core', statement, 'MAJORITY'))
  return statement
}

/** Waits until the members' logs are equal and contain all statements. */
export const assertReplicatedEverywhere = (fleet: TestFleet, names: string[], statements: string[]) =>
  eventually(`${statements.join(', ')} on ${names.join(', ')}`, async () => {
    const logs = await Promise.all(names.map(fleet.logOf))
    return logs.every(log => log.join() === logs[0].join() && statements.every(statement => log.includes(statement)))
  })
