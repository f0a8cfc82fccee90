/**
 * Selects the VM for each request: round robin over connected VMs, skipping VMs that have refused recently.
 */
import { connectivityState } from '@grpc/grpc-js'
import { monotonicMs } from '@egretyoke/common'
import { callerProto, connectGrpc } from '@egretyoke/protocol'
import type { ChannelSettings, CallerMessages } from '@egretyoke/protocol'

/** Time for which a VM is skipped after it has refused a request. */
const refusalCoolDownMs = 1000

/** A VM with its gRPC client. */
export type CallerVm = {
  address: string
  client: CallerMessages.CallerClient
  avoidedUntilMs: number
}

/** Selects VMs for requests. */
export type VmSelector = {
  /** Returns a connected VM; undefined when no VM becomes connected within the timeout. */
  select: (timeoutMs: number) => Promise<CallerVm | undefined>
  /** Skips a VM for a cool-down period, unless no other VM is connected. */
  avoid: (vm: CallerVm) => void
  vmCount: number
  close: () => void
}

const isReady = ({ client }: CallerVm): boolean =>
  client.getChannel().getConnectivityState(true) === connectivityState.READY

const waitUntilReady = (vm: CallerVm, timeoutMs: number): Promise<CallerVm> => new Promise((resolve, reject) => {
  vm.client.waitForReady(Date.now() + timeoutMs, error => error ? reject(error) : resolve(vm))
})

/** Connects to the VMs at the given addresses (HOST:PORT). */
export const createVmSelector = (addresses: string[], channels: ChannelSettings): VmSelector => {
  const vms: CallerVm[] = addresses.map(address =>
    ({ address, client: connectGrpc(callerProto.Caller, address, channels), avoidedUntilMs: 0 }))
  let nextIndex = Math.floor(Math.random() * vms.length)

  const nextCandidates = (): CallerVm[] => {
    nextIndex = (nextIndex + 1) % vms.length
    const candidates = [...vms.slice(nextIndex), ...vms.slice(0, nextIndex)]
    const nowMs = monotonicMs()
    const isAvoided = (vm: CallerVm) => vm.avoidedUntilMs > nowMs
    return [...candidates.filter(vm => !isAvoided(vm)), ...candidates.filter(isAvoided)]
  }

  const select = async (timeoutMs: number) => {
    const candidates = nextCandidates()
    const ready = candidates.find(isReady)
    if (ready) return ready
    try {
      return await Promise.any(candidates.map(vm => waitUntilReady(vm, timeoutMs)))
    } catch {
      return undefined
    }
  }

  return {
    select,
    avoid: vm => {
      vm.avoidedUntilMs = monotonicMs() + refusalCoolDownMs
    },
    vmCount: vms.length,
    close: () => vms.forEach(vm => vm.client.close())
  }
}
