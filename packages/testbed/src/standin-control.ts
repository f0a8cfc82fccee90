/**
 * Client functions for controlling the stand-ins: faults, the platform's VM list, statistics and logs.
 */
import { callUnary, connectGrpc, endpointProto, loopbackChannels, standinProto } from '@egretyoke/protocol'
import type { EndpointMessages, PlatformMessages, StandinMessages } from '@egretyoke/protocol'

const timeoutMs = 5_000

/** Faults of the stand-ins. Omitted fields mean no fault. */
export type DatabaseFault = Partial<StandinMessages.DatabaseFault__Output>
export type PlatformFault = Partial<StandinMessages.PlatformFault__Output>
export type LinkFault = Partial<StandinMessages.LinkFault__Output>

/** Statistics and state that the stand-ins report. */
export type PlatformStats = StandinMessages.PlatformStats__Output
export type DatabaseStats = StandinMessages.DatabaseStats__Output
export type MemberStatus = EndpointMessages.MemberStatus__Output

/** One entry of a database's log. */
export type LogEntry = { term: number, position: number, statements: string[] }

const toLogEntry = (entry: StandinMessages.LoggedEntry__Output): LogEntry => ({
  term: entry.term,
  position: entry.position,
  statements: entry.statements.map(statement => Buffer.from(statement).toString('utf8'))
})

const call = async <Client extends { close: () => void }, Reply>(
  client: Client,
  run: (client: Client) => ReturnType<typeof callUnary<object, Reply>>
): Promise<Reply> => {
  try {
    const reply = await run(client)
    if (!reply.ok) throw new Error(`${reply.val.reason}: ${reply.val.message}`)
    return reply.val
  } finally {
    client.close()
  }
}

const platformControl = (address: string) => connectGrpc(standinProto.PlatformControl, address, loopbackChannels)
const databaseControl = (address: string) => connectGrpc(standinProto.DatabaseControl, address, loopbackChannels)

/** Replaces the platform's list of VMs. */
export const setVms = (address: string, vms: PlatformMessages.Vm[]) =>
  call(platformControl(address), client => callUnary(client, client.SetVms, { vms }, timeoutMs))

/** Sets the platform's faults. */
export const setPlatformFault = (address: string, fault: PlatformFault) =>
  call(platformControl(address), client => callUnary(client, client.SetPlatformFault, fault, timeoutMs))

/** Reads the platform's statistics. */
export const readPlatformStats = (address: string): Promise<PlatformStats> =>
  call(platformControl(address), client => callUnary<object, PlatformStats>(
    client, client.GetPlatformStats as never, {}, timeoutMs))

/** Sets a database's faults. */
export const setDatabaseFault = (address: string, fault: DatabaseFault) =>
  call(databaseControl(address), client => callUnary(client, client.SetDatabaseFault, fault, timeoutMs))

/** Reads a database's statistics, with the recorded requests. */
export const readDatabaseStats = (address: string): Promise<DatabaseStats> =>
  call(databaseControl(address), client => callUnary<object, DatabaseStats>(
    client, client.GetDatabaseStats as never, {}, timeoutMs))

/** Sets a relay's faults. */
export const setLinkFault = (controlAddress: string, fault: LinkFault) =>
  call(connectGrpc(standinProto.LinkControl, controlAddress, loopbackChannels),
    client => callUnary(client, client.SetLinkFault, fault, timeoutMs))

/** Reads a database's term, role and log positions. */
export const readMemberStatus = (address: string): Promise<MemberStatus> =>
  call(connectGrpc(endpointProto.Member, address, loopbackChannels),
    client => callUnary<object, MemberStatus>(
      client, client.GetStatus as never, {}, timeoutMs))

/** Reads all log entries of a database, oldest first. */
export const readLog = async (address: string): Promise<LogEntry[]> => {
  const client = databaseControl(address)
  try {
    const entries: LogEntry[] = []
    for await (const entry of client.ReadLog({ afterPosition: 0 })) {
      entries.push(toLogEntry(entry as StandinMessages.LoggedEntry__Output))
    }
    return entries
  } finally {
    client.close()
  }
}
