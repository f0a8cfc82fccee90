/**
 * Model of the platform's load balancer: polls `/readyz` of each VM and sends new requests to ready VMs only.
 */
import { ticks } from '@egretyoke/common'
import type { Random } from '@egretyoke/common'

const pollIntervalMs = 300
const pollTimeoutMs = 400

/** Selects a VM for each request. */
export type Balancer = ReturnType<typeof startBalancer>

const isReady = async (healthAddress: string): Promise<boolean> => {
  try {
    const response = await fetch(`http://${healthAddress}/readyz`, { signal: AbortSignal.timeout(pollTimeoutMs) })
    return response.status === 200
  } catch {
    return false
  }
}

/** Starts polling. Each VM counts as ready until its first poll ends, and always if it has no health address. */
export const startBalancer = (vmCount: number, healthAddresses: string[]) => {
  const stopping = new AbortController()
  const all = Array.from({ length: vmCount }, (_, index) => index)
  const ready = new Set(all)

  const check = async (vm: number) => {
    if (await isReady(healthAddresses[vm])) ready.add(vm)
    else ready.delete(vm)
  }
  const poll = async (vm: number) => {
    for await (const _ of ticks(pollIntervalMs, stopping.signal)) await check(vm)
  }
  for (const vm of all.slice(0, healthAddresses.length)) poll(vm)

  /** Returns a random ready VM among the allowed ones, or undefined when none of them is ready. */
  const pick = (random: Random, allowed: number[] = all): number | undefined => {
    const candidates = allowed.filter(vm => ready.has(vm))
    return candidates.length > 0 ? random.pick(candidates) : undefined
  }

  return { pick, readyCount: () => ready.size, close: () => stopping.abort() }
}
