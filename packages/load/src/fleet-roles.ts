/**
 * Finds the primaries and the leading stewards of a running fleet from the databases' status and the store.
 */
import { sleepMs } from '@egretyoke/common'
import { storeKeys } from '@egretyoke/config'
import { connectPlatform } from '@egretyoke/fleet'
import { loopbackChannels } from '@egretyoke/protocol'
import type { Fleet } from '@egretyoke/testbed'
import type { GroupLogs } from './checker/logged-writes.js'

const platformTimeoutMs = 2_000
const primaryPollMs = 200
const statusTimeoutMs = 1_000
/** Separator in the value of a steward's lease, `VM/ID`. */
const holderSeparator = '/'

const statusOf = async (fleet: Fleet, name: string) => {
  if (!fleet.isRunning(name)) return undefined
  const status = fleet.readMemberStatus(name).catch(() => undefined)
  return await Promise.race([status, sleepMs(statusTimeoutMs).then(() => undefined)])
}

/** Returns the primary with the highest term in a group, or undefined when no database reports itself as primary. */
export const findPrimary = async (fleet: Fleet, group: string): Promise<string | undefined> => {
  const statuses = await Promise.all(fleet.databaseNames(group).map(name => statusOf(fleet, name)))
  const primaries = statuses.filter(status => status !== undefined && status.isPrimary)
  return primaries.toSorted((left, right) => right!.term - left!.term)[0]?.name
}

/** Returns the VM whose steward holds the group's lease, or undefined when none does or the store does not answer. */
export const findStewardVm = async (fleet: Fleet, group: string): Promise<string | undefined> => {
  const platform = connectPlatform(fleet.platformAddress(), loopbackChannels)
  try {
    const lease = await platform.get(storeKeys.stewardLease(group), platformTimeoutMs)
    if (!lease.ok || !lease.val) return undefined
    const text = lease.val.value.toString('utf8')
    return fleet.vmNames.find(vm => text.split(holderSeparator)[0] === vm)
  } finally {
    platform.close()
  }
}

/** Waits for a primary in every group and reads its log. Rejects when a group has none within `timeoutMs`. */
export const readFinalLogs = async (fleet: Fleet, timeoutMs: number): Promise<GroupLogs> => {
  const logs: GroupLogs = new Map()
  const deadlineMs = performance.now() + timeoutMs
  for (const group of Object.keys(fleet.configuration().groups)) {
    let primary = await findPrimary(fleet, group)
    while (!primary && performance.now() < deadlineMs) {
      await sleepMs(primaryPollMs)
      primary = await findPrimary(fleet, group)
    }
    if (!primary) throw new Error(`group "${group}" has no primary ${timeoutMs} ms after the run`)
    logs.set(group, await fleet.readLog(primary))
  }
  return logs
}
