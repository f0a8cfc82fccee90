/**
 * Selects the VM for each request: round robin over connected VMs, skipping VMs that have refused recently.
 */
import { connectivityState } from '@grpc/grpc-js'
import { monotonicMs } from '@egretyoke/common'
import { callerProto, connectGrpc } from '@egretyoke/protocol'
import type { ChannelSettings, CallerMessages } from '@egretyoke/protocol'

/** Time for which a VM is skipped after it has refused a request. */
const avoidanceMs = 1000

/** A VM with its gRPC client. */
export type CallerVm = {
  address: string
  client: CallerMessages.CallerClient
  avoidedUntilMs: number
}

/** Selects VMs for requests. */
export type VmChoice = {
  /** Returns a connected VM; undefined when no VM becomes connected within the timeout. */
  choose: (timeoutMs: number) => Promise<CallerVm | undefined>
  /** Skips a VM for a cool-down period, unless no other VM is connected. */
  avoid: (vm: CallerVm) => void
  count: number
  close: () => void
}

const isReady = ({ client }: CallerVm): boolean =>
  client.getChannel().getConnectivityState(true) === connectivityState.READY

const untilReady = (vm: CallerVm, timeoutMs: number): Promise<CallerVm> => new Promise((resolve, reject) => {
  vm.client.waitForReady(Date.now() + timeoutMs, error => error ? reject(error) : resolve(vm))
})

/** Connects to the VMs at the given addresses (HOST:PORT). */
export const createVmChoice = (addresses: string[], channels: ChannelSettings): VmChoice => {
  const vms: CallerVm[] = addresses.map(address =>
    ({ address, client: connectGrpc(callerProto.Caller, address, channels), avoidedUntilMs: 0 }))
  let next = Math.floor(Math.random() * vms.length)

  const inTurn = (): CallerVm[] => {
    next = (next + 1) % vms.length
    const turn = [...vms.slice(next), ...vms.slice(0, next)]
    const nowMs = monotonicMs()
    const isAvoided = (vm: CallerVm) => vm.avoidedUntilMs > nowMs
    return [...turn.filter(vm => !isAvoided(vm)), ...turn.filter(isAvoided)]
  }

  const choose = async (timeoutMs: number) => {
    const turn = inTurn()
    const ready = turn.find(isReady)
    if (ready) return ready
    try {
      return await Promise.any(turn.map(vm => untilReady(vm, timeoutMs)))
    } catch {
      return undefined
    }
  }

  return {
    choose,
    avoid: vm => {
      vm.avoidedUntilMs = monotonicMs() + avoidanceMs
    },
    count: vms.length,
    close: () => vms.forEach(vm => vm.client.close())
  }
}
