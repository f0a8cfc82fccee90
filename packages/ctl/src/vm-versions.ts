/**
 * Queries the entry VMs for the configuration version that they have in force.
 */
import { ticks } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import type { Platform, VmListing } from '@egretyoke/fleet'
import { callUnary, connectGrpc, peerProto } from '@egretyoke/protocol'
import type { ChannelSettings, PeerMessages } from '@egretyoke/protocol'
import { events } from './events.js'

/** Maximum number of VMs that are queried concurrently. */
const maxConcurrentQueries = 64

const queryTimeoutMs = 1000
const pollIntervalMs = 250
/** Number of polling rounds after which the list of VMs is read again. */
const roundsPerListing = 8

/** An entry VM and its heartbeat reply; `state` is undefined when it does not answer. */
export type VmState = {
  name: string
  address: string
  dataCentre: string
  leaving: boolean
  state: PeerMessages.HeartbeatMessage__Output | undefined
}

/** An empty name marks the sender as an observer, for which VMs keep no state. */
const observerHeartbeat: PeerMessages.HeartbeatMessage = { vm: '', starting: true }

const fetchVmState = async (vm: VmListing, channels: ChannelSettings, log: Logger): Promise<VmState> => {
  const { name, address, dataCentre, leaving } = vm
  let client
  try {
    client = connectGrpc(peerProto.Peer, address, channels)
  } catch {
    return { name, address, dataCentre, leaving, state: undefined }
  }
  const reply = await callUnary(client, client.Heartbeat, observerHeartbeat, queryTimeoutMs)
  client.close()
  log(events.vmAsked, { vm: name, answered: reply.ok, version: reply.ok ? reply.val.configVersion : null })
  return { name, address, dataCentre, leaving, state: reply.ok ? reply.val : undefined }
}

/** Queries all entry VMs of a list. */
export const fetchVmStates = async (vms: VmListing[], channels: ChannelSettings, log: Logger): Promise<VmState[]> => {
  const entries = vms.filter(vm => vm.role === 'ENTRY')
  const states: VmState[] = []
  for (let from = 0; from < entries.length; from += maxConcurrentQueries) {
    const batch = entries.slice(from, from + maxConcurrentQueries)
    states.push(...await Promise.all(batch.map(vm => fetchVmState(vm, channels, log))))
  }
  return states
}

/** True when the VM has the version or a later one in force, or when it is leaving and does not answer. */
export const hasVersion = (vm: VmState, version: number): boolean => {
  if (!vm.state) return vm.leaving
  return !vm.state.starting && vm.state.configVersion >= version
}

/** Result of a wait. `missing`: VMs without the version; `listed` is false when the VM list could not be read. */
export type VersionWaitResult = { listed: boolean, vms: VmState[], missing: VmState[] }

/** Polls until every live VM has the version in force, or `waitMs` have passed. */
export const waitForVersion = async (
  target: { platform: Platform, channels: ChannelSettings, log: Logger, callTimeoutMs: number },
  version: number,
  waitMs: number
): Promise<VersionWaitResult> => {
  const signal = AbortSignal.timeout(waitMs)
  let listing: VmListing[] | undefined
  let vms: VmState[] = []
  for await (const round of ticks(pollIntervalMs, signal)) {
    if (!listing || round % roundsPerListing === 0) {
      const listed = await target.platform.listVms(target.callTimeoutMs)
      if (listed.ok) listing = listed.val
    }
    if (!listing) continue
    vms = await fetchVmStates(listing, target.channels, target.log)
    if (vms.every(vm => hasVersion(vm, version))) break
  }
  return { listed: listing !== undefined, vms, missing: vms.filter(vm => !hasVersion(vm, version)) }
}
