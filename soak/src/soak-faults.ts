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
  announce: (database: SoakDatabase) => void
  /** Deletes a database's entry from the store. */
  leave: (database: SoakDatabase) => void
  changeConfiguration: () => void
  withdrawKey: () => void
  log: (line: string) => void
}

/** Reverts an injected fault; called once. */
type TakeBack = () => void

type Fault = { name: string, begin: (targets: FaultTargets, random: Random) => TakeBack }

const nothing: TakeBack = () => {}

const linkFault = (name: string, pick: (targets: FaultTargets) => readonly Link[], fault: object): Fault => ({
  name,
  begin: (targets, random) => {
    const link = random.pick(pick(targets))
    link.setFault(fault)
    return () => link.setFault({ cut: false, frozen: false, delayMs: 0 })
  }
})

const storeLinks = ({ storeLinks: links }: FaultTargets) => links
const databaseLinks = ({ databaseLinks: links }: FaultTargets) => links

const signalFault = (signal: NodeJS.Signals): Fault => ({
  name: signal,
  begin: ({ gateways }, random) => {
    random.pick(gateways).signal(signal)
    return nothing
  }
})

const storeFault = (name: string, fault: number | 'silent' | 'lost'): Fault => ({
  name: `store ${name}`,
  begin: ({ store }) => {
    store.setFault(fault)
    return () => store.setFault(undefined)
  }
})

const databaseFault = (
  name: string, begin: (database: SoakDatabase, targets: FaultTargets) => TakeBack
): Fault => ({
  name: `database ${name}`,
  begin: (targets, random) => begin(random.pick(targets.databases.databases), targets)
})

const crash = (database: SoakDatabase, { databases, leave, announce }: FaultTargets): TakeBack => {
  if (databases.databases.some(({ state }) => state !== 'alive')) return nothing
  databases.kill(database)
  leave(database)
  return () => {
    databases.restart(database)
    announce(database)
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
    begin: ({ gateways }) => {
      for (const gateway of gateways) gateway.signal('SIGKILL')
      return nothing
    }
  },
  {
    name: 'pause',
    begin: ({ gateways }, random) => {
      const gateway = random.pick(gateways)
      gateway.signal('SIGSTOP')
      return () => gateway.signal('SIGCONT')
    }
  },
  {
    name: 'settings changed',
    begin: ({ gateways }, random) => {
      const gateway = random.pick(gateways)
      gateway.touchSettings()
      gateway.signal('SIGHUP')
      return nothing
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
    begin: ({ store }) => {
      store.compact()
      return nothing
    }
  },
  databaseFault('crash', crash),
  databaseFault('crash', crash),
  databaseFault('dark', database => {
    if (database.state !== 'alive') return nothing
    database.state = 'dark'
    return () => { if (database.state === 'dark') database.state = 'alive' }
  }),
  databaseFault('loses answers', database => {
    database.lossShare = 0.1
    return () => { database.lossShare = 0 }
  }),
  {
    name: 'configuration changed',
    begin: ({ changeConfiguration }) => {
      changeConfiguration()
      return nothing
    }
  },
  {
    name: 'key withdrawn',
    begin: ({ withdrawKey }) => {
      withdrawKey()
      return nothing
    }
  }
]

const pauseMs = { from: 100, to: 1500 } as const
const lastsMs = { from: 200, to: 4000 } as const

/** Injects faults for the given time; resolves when all of them are reverted. */
export const playFaults = async (targets: FaultTargets, random: Random, forMs: number): Promise<void> => {
  const endAtMs = performance.now() + forMs
  const takingBack: Array<Promise<void>> = []
  while (performance.now() < endAtMs) {
    await new Promise(resolve => setTimeout(resolve, random.integer(pauseMs.from, pauseMs.to)))
    const fault = random.pick(faults)
    const forThisMs = random.integer(lastsMs.from, lastsMs.to)
    targets.log(`${fault.name} for ${forThisMs} ms`)
    const takeBack = fault.begin(targets, random)
    takingBack.push(new Promise(resolve => setTimeout(() => {
      takeBack()
      resolve()
    }, forThisMs)))
  }
  await Promise.all(takingBack)
}
