/**
 * A holder of one database of an in-memory group, and requests to it, for tests.
 */
import { sleepMs } from '@egretyoke/common'
import type { EventFields } from '@egretyoke/common'
import { createDatabaseHolder } from '../coordination/connections/database-holder.js'
import type { HolderOptions } from '../coordination/connections/database-holder-types.js'
import { createGroupPositions } from '../coordination/primaries/group-positions.js'
import type { StatementRequest } from '../coordination/sessions/statement.js'
import { createAgeClock } from '../state/contact.js'
import { createMemoryGroup } from './memory-group.js'

/** Waits and limits of the environment; they may be changed at any time. */
export type HolderTimes = {
  /** Time until the store answers that the gateway may use the primary. */
  storeMs: number
  transactionIdleMs: number
}

/** Creates a holder of the group's primary, which may always use it. */
export const createHolderEnvironment = (
  times: HolderTimes, maxConnections = 10, changes: Partial<HolderOptions> = {}
) => {
  const group = createMemoryGroup()
  const database = group.databases.get('db-1')!
  const clock = createAgeClock()
  const logged: Array<EventFields & { name: string }> = []
  const counted: string[] = []
  const holder = createDatabaseHolder({
    database: () => database.description,
    maxConnections: () => maxConnections,
    transactionIdleMs: () => times.transactionIdleMs,
    connect: group.connect,
    isFirstHolder: () => true,
    acceptsNewWork: () => true,
    records: {
      hasContact: () => true,
      canUse: () => true,
      becomeUser: async () => {
        if (times.storeMs > 0) await sleepMs(times.storeMs)
        return true
      },
      whyNoUse: () => 'moved',
      stopUse: () => {},
      observe: () => {},
      isContradicted: () => false,
      store: async () => undefined
    },
    positions: createGroupPositions(clock, async () => undefined),
    clock,
    nowMs: () => performance.now(),
    counters: {
      countPrepared: () => { counted.push('prepared') },
      countDeclined: (kind, reason) => { counted.push(`${kind} ${reason}`) }
    },
    log: ({ name }, fields = {}) => {
      const values = typeof fields === 'function' ? fields() : fields
      logged.push({ name, ...values })
    },
    ...changes
  })
  return { group, database, holder, times, logged, counted }
}

/** A write outside of a transaction, with the given changes. What a replica may run has no staleness bound. */
export const writeRequest = (changes: Partial<StatementRequest>): StatementRequest => ({
  requestId: 'r1',
  group: 'bookings',
  database: 'db-1',
  workspace: 'yard-a',
  transactionId: '',
  transaction: 'SINGLE',
  verb: 'TEXT',
  access: 'WRITE',
  text: 'WRITE 1 x',
  shape: '',
  shapeAccess: 'READ',
  values: [],
  needsPrimary: true,
  ownPosition: '',
  maxStalenessMs: changes.needsPrimary === false ? undefined : 0,
  timeoutMs: 1000,
  maxQueuedMs: 1000,
  priority: 1,
  ...changes
})
