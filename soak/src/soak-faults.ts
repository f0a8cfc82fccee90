/**
 * Fault injection of a soak. Faults start at random times, last for a random duration and are then reverted; they may
 * overlap.
 */
import type { Random } from '@egretyoke/common'
import type { Link } from '@egretyoke/standins'
import type { StoreStandin } from '@egretyoke/platform/testing'
import type { GatewayProcess } from './gateway-process.js'
import type { SoakDatabase, SoakDatabases } from './soak-databases.js'

/** Components that faults act on. */
export type FaultTargets = {
  store: StoreStandin
  storeLinks: readonly Link[]
  databaseLinks: readonly Link[]
  databases: SoakDatabases
  gateways: readonly GatewayProcess[]
  /** Writes a database's entry to the store. */
  register: (database: SoakDatabase) => void
  /** Deletes a database's entry from the store. */
  unregister: (database: SoakDatabase) => void
  changeConfiguration: () => void
  withdrawKey: () => void
  log: (line: string) => void
}

/** Reverts an injected fault; called once. */
type RevertFault = () => void

type Fault = { name: string, inject: (targets: FaultTargets, random: Random) => RevertFault }

const nothingToRevert: RevertFault = () => {}

const linkFault = (name: string, pick: (targets: FaultTargets) => readonly Link[], fault: object): Fault => ({
  name,
  inject: (targets, random) => {
    const link = random.pick(pick(targets))
    link.setFault(fault)
    return () => link.setFault({ cut: false, frozen: false, delayMs: 0 })
  }
})

const storeLinks = ({ storeLinks: links }: FaultTargets) => links
const databaseLinks = ({ databaseLinks: links }: FaultTargets) => links

const signalFault = (signal: NodeJS.Signals): Fault => ({
  name: signal,
  inject: ({ gateways }, random) => {
    random.pick(gateways).signal(signal)
    return nothingToRevert
  }
})

const storeFault = (name: string, fault: number | 'silent' | 'lost'): Fault => ({
  name: `store ${name}`,
  inject: ({ store }) => {
    store.setFault(fault)
    return () => store.setFault(undefined)
  }
})

const databaseFault = (
  name: string, inject: (database: SoakDatabase, targets: FaultTargets) => RevertFault
): Fault => ({
  name: `database ${name}`,
  inject: (targets, random) => inject(random.pick(targets.databases.databases), targets)
})

const crash = (database: SoakDatabase, { databases, unregister, register }: FaultTargets): RevertFault => {
  if (databases.databases.some(({ state }) => state !== 'alive')) return nothingToRevert
  databases.kill(database)
  unregister(database)
  return () => {
    databases.restart(database)
    register(database)
  }
}

/** All faults; one is picked uniformly, so frequent ones are listed more than once. */
const faults: readonly Fault[] = [
  signalFault('SIGKILL'),
  signalFault('SIGKILL'),
  signalFault('SIGTERM'),
  signalFault('SIGTERM'),
  {
    name: 'all SIGKILL',
    inject: ({ gateways }) => {
      for (const gateway of gateways) gateway.signal('SIGKILL')
      return nothingToRevert
    }
  },
  {
    name: 'pause',
    inject: ({ gateways }, random) => {
      const gateway = random.pick(gateways)
      gateway.signal('SIGSTOP')
      return () => gateway.signal('SIGCONT')
    }
  },
  {
    name: 'settings changed',
    inject: ({ gateways }, random) => {
      const gateway = random.pick(gateways)
      gateway.rewriteSettings()
      gateway.signal('SIGHUP')
      return nothingToRevert
    }
  },
  linkFault('store link cut', storeLinks, { cut: true }),
  linkFault('store link silent', storeLinks, { frozen: true }),
  linkFault('store link slow', storeLinks, { delayMs: 150 }),
  linkFault('database link cut', databaseLinks, { cut: true }),
  linkFault('database link silent', databaseLinks, { frozen: true }),
  linkFault('database link slow', databaseLinks, { delayMs: 80 }),
  storeFault('refuses', 503),
  storeFault('is silent', 'silent'),
  storeFault('loses answers', 'lost'),
  {
    name: 'store forgets its history',
    inject: ({ store }) => {
      store.compact()
      return nothingToRevert
    }
  },
  databaseFault('crash', crash),
  databaseFault('crash', crash),
  databaseFault('dark', database => {
    if (database.state !== 'alive') return nothingToRevert
    database.state = 'dark'
    return () => { if (database.state === 'dark') database.state = 'alive' }
  }),
  databaseFault('loses answers', database => {
    database.replyLossProbability = 0.1
    return () => { database.replyLossProbability = 0 }
  }),
  {
    name: 'configuration changed',
    inject: ({ changeConfiguration }) => {
      changeConfiguration()
      return nothingToRevert
    }
  },
  {
    name: 'key withdrawn',
    inject: ({ withdrawKey }) => {
      withdrawKey()
      return nothingToRevert
    }
  }
]

const pauseRangeMs = { from: 100, to: 1500 } as const
const durationRangeMs = { from: 200, to: 4000 } as const

/** Injects faults for the given time; resolves when all of them are reverted. */
export const injectFaults = async (targets: FaultTargets, random: Random, durationMs: number): Promise<void> => {
  const deadlineMs = performance.now() + durationMs
  const pendingReverts: Array<Promise<void>> = []
  while (performance.now() < deadlineMs) {
    await new Promise(resolve => setTimeout(resolve, random.integer(pauseRangeMs.from, pauseRangeMs.to)))
    const fault = random.pick(faults)
    const faultDurationMs = random.integer(durationRangeMs.from, durationRangeMs.to)
    targets.log(`${fault.name} for ${faultDurationMs} ms`)
    const revert = fault.inject(targets, random)
    pendingReverts.push(new Promise(resolve => setTimeout(() => {
      revert()
      resolve()
    }, faultDurationMs)))
  }
  await Promise.all(pendingReverts)
}
