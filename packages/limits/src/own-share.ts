/**
 * The share of a limit that a VM owns by the roster. A smaller share takes effect at once; a larger one only after the
 * longest loan and its margin, so that every loan granted under the previous division has expired by then. A restart
 * counts as growth from 0, because the VM's previous incarnation may have lent the same share.
 */
import type { Clock } from '@egretyoke/common'

/** A VM's own share, in the unit of the caller. */
export type OwnShare = {
  set: (share: number) => void
  /** The share that is in effect now. */
  current: () => number
}

/** Options of an own share. */
export type OwnShareOptions = {
  clock: Clock
  /** Delay until a larger share takes effect, in milliseconds: the longest loan and its margin. */
  growthDelayMs: number
  /** False only in a fleet that has never run before: the first share takes effect at once. */
  startupHold: boolean
}

/** Creates an own share of 0. */
export const createOwnShare = ({ clock, growthDelayMs, startupHold }: OwnShareOptions): OwnShare => {
  let share = 0
  let growth: { share: number, atMs: number } | undefined
  let growsAtOnce = !startupHold

  const current = () => {
    if (growth !== undefined && growth.atMs <= clock()) {
      share = growth.share
      growth = undefined
    }
    return share
  }

  const set = (next: number) => {
    const before = current()
    if (growth?.share === next) return
    share = growsAtOnce ? next : Math.min(before, next)
    growth = next > share ? { share: next, atMs: clock() + growthDelayMs } : undefined
    growsAtOnce = false
  }

  return { set, current }
}
