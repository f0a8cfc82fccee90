/**
 * The share of a limit that a VM owns by the roster. A smaller share takes effect at once; a larger one only after the
 * longest loan and its margin, so that every loan granted under the previous division has expired by then. A restart
 * counts as growth from 0, because the VM's previous incarnation may have lent the same share.
 */
import type { Clock } from '@egretyoke/common'

/** A VM's own share, in the unit of the caller. */
export type OwnPart = {
  set: (part: number) => void
  /** The share that is in effect now. */
  inForce: () => number
}

/** Options of an own share. */
export type OwnPartOptions = {
  clock: Clock
  /** Delay until a larger share takes effect, in milliseconds: the longest loan and its margin. */
  growthDelayMs: number
  /** False only in a fleet that has never run before: the first share takes effect at once. */
  startupHold: boolean
}

/** Creates an own share of 0. */
export const createOwnPart = ({ clock, growthDelayMs, startupHold }: OwnPartOptions): OwnPart => {
  let part = 0
  let growth: { part: number, atMs: number } | undefined
  let growsAtOnce = !startupHold

  const inForce = () => {
    if (growth !== undefined && growth.atMs <= clock()) {
      part = growth.part
      growth = undefined
    }
    return part
  }

  const set = (next: number) => {
    const current = inForce()
    if (growth?.part === next) return
    part = growsAtOnce ? next : Math.min(current, next)
    growth = next > part ? { part: next, atMs: clock() + growthDelayMs } : undefined
    growsAtOnce = false
  }

  return { set, inForce }
}
