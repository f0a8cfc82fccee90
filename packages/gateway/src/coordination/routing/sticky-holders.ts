/**
 * Keeps a sender at its current holder of a database for some seconds when a better-ranked gateway appears.
 *
 * Load pattern: many VMs that the store refused return at once. Each ranks first for some databases again, and if all
 * senders moved there in the same moment, all connections to these databases would be reopened at once. Each sender
 * therefore moves at a time of its own, and not at all if the better-ranked gateway leaves again before. A sender that
 * has just started moves at once: while a whole fleet starts, each sender would otherwise stay at the first gateway
 * that it learned of, and the connections of a database would be divided among many holders.
 */

/** Bounds of the time between the appearance of a better-ranked gateway and the move to it. */
const moveDelayMs = { min: 1000, max: 7000 } as const
/** Time after the start in which a sender learns of the fleet. */
const startMs = 5000
/** Databases, by permitted regions, whose holder is remembered. */
const maxKeys = 4096

/** A change of the holder in use, because the previous one no longer works or a better-ranked one does. */
export type HolderMove = { key: string, from: string, to: string, cause: 'left' | 'ranked' }

type Current = {
  name: string
  /** Undefined while the current holder is the best-ranked one. */
  moveAtMs: number | undefined
}

/** Remembers the holder in use of each database. */
export type StickyHolders = {
  /** The holder to be used, by name: the best-ranked working one, or the one in use while it works. */
  choose: (key: string, best: string, isWorking: (name: string) => boolean) => string
}

/** Dependencies of the memory. */
export type StickyHoldersOptions = {
  nowMs: () => number
  /** Returns random numbers from 0 to 1. */
  fraction: () => number
  /** Called for each move after the start. */
  onMove: (move: HolderMove) => void
}

/** Creates an empty memory. */
export const createStickyHolders = ({ nowMs, fraction, onMove }: StickyHoldersOptions): StickyHolders => {
  const currents = new Map<string, Current>()
  const startedAtMs = nowMs()

  const isStarting = () => nowMs() - startedAtMs < startMs

  const use = (key: string, name: string) => {
    if (currents.size >= maxKeys && !currents.has(key)) currents.clear()
    currents.set(key, { name, moveAtMs: undefined })
    return name
  }

  const move = (key: string, from: string, to: string, cause: HolderMove['cause']) => {
    if (!isStarting()) onMove({ key, from, to, cause })
    return use(key, to)
  }

  const choose = (key: string, best: string, isWorking: (name: string) => boolean) => {
    const current = currents.get(key)
    if (current === undefined || current.name === best) return use(key, best)
    if (!isWorking(current.name)) return move(key, current.name, best, 'left')
    if (isStarting()) return use(key, best)
    current.moveAtMs ??= nowMs() + moveDelayMs.min + fraction() * (moveDelayMs.max - moveDelayMs.min)
    return nowMs() < current.moveAtMs ? current.name : move(key, current.name, best, 'ranked')
  }

  return { choose }
}
