/**
 * Distributes groups over stewards: each group ranks the VMs by rendezvous hash, and a VM that ranks lower waits longer
 * before it tries to acquire the group's lease.
 */
import { createHash } from 'node:crypto'

const weightOf = (vm: string, group: string): string => createHash('sha256').update(`${group}\n${vm}`).digest('hex')

/** Returns the rank of a VM for a group, starting at 0. A VM that is not in `vms` ranks last. */
export const preferenceRank = (vm: string, vms: readonly string[], group: string): number => {
  if (!vms.includes(vm)) return vms.length
  const own = weightOf(vm, group)
  return vms.filter(other => weightOf(other, group) > own).length
}
