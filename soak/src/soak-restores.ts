/**
 * Restores of the store during a soak: it comes back from a copy that is some seconds old, and what the operators and
 * the databases wrote since is written again. They have their own random source and overlap the other faults.
 */
import { sleepMs } from '@egretyoke/common'
import type { Random } from '@egretyoke/common'
import type { SoakEnvironment } from './soak-environment.js'

/** Age of a copy when the store is restored from it. */
const copyAgeRangeMs = { from: 300, to: 4000 } as const

type RestoreTargets = Pick<SoakEnvironment, 'store' | 'databases' | 'operators' | 'register' | 'unregister'>

/** Writes again what others than the gateways wrote; the entry of a database that has ended expires. */
const writeAgain = ({ databases, operators, register, unregister }: RestoreTargets) => {
  operators.writeConfiguration()
  for (const database of databases.databases) {
    if (database.state === 'dead') unregister(database)
    else register(database)
  }
}

/** Restores the store `count` times, spread over the given time; resolves after the last one. */
export const restoreStore = async (
  targets: RestoreTargets, random: Random, count: number, durationMs: number, log: (line: string) => void
): Promise<void> => {
  for (let restore = 0; restore < count; restore++) {
    const copyAgeMs = random.integer(copyAgeRangeMs.from, copyAgeRangeMs.to)
    await sleepMs(Math.max(0, durationMs / count - copyAgeMs))
    const copy = targets.store.copy()
    await sleepMs(copyAgeMs)
    targets.store.restore(copy)
    writeAgain(targets)
    log(`store restored from a copy of ${copyAgeMs} ms ago`)
  }
}
