/**
 * A statement router of one gateway before holders that the test plays, without a network.
 */
import { Ok } from '@egretyoke/common'
import type { EventDefinition, EventFields } from '@egretyoke/common'
import type { RelayMessages } from '@egretyoke/protocol'
import { createHolderChoice } from '../coordination/routing/holder-choice.js'
import type { RelayReply } from '../coordination/routing/relay-calls.js'
import { createStatementRouter } from '../coordination/routing/statement-router.js'
import { notRun, replyOf, requestIn } from '../coordination/sessions/statement.js'
import type { StatementOutcome, StatementRequest } from '../coordination/sessions/statement.js'
import type { Database, Route } from '../state/configuration.js'
import type { FleetState } from '../state/fleet-state.js'
import type { Member } from '../state/stored-records.js'
import { writeRequest } from './holder-environment.js'

/** Rounds of the event loop between two timers, in which all promises that do not wait for a timer settle. */
const settleRounds = 2

/** A clock that advances from timer to timer while a task runs. */
const createDrivenTime = () => {
  let now = 0
  const timers: Array<{ atMs: number, run: () => void }> = []
  const sleep = (ms: number) => new Promise<void>(resolve => {
    timers.push({ atMs: now + ms, run: resolve })
    timers.sort((one, other) => one.atMs - other.atMs)
  })
  const settle = async () => {
    for (let round = 0; round < settleRounds; round++) await new Promise(resolve => setImmediate(resolve))
  }
  /** Runs the task, and lets time pass until it has ended. */
  const run = async <T>(task: () => Promise<T>): Promise<T> => {
    let isDone = false
    const result = task().finally(() => { isDone = true })
    await settle()
    while (!isDone && timers.length > 0) {
      const { atMs, run: wake } = timers.shift()!
      now = atMs
      wake()
      await settle()
    }
    return await result
  }
  return { nowMs: () => now, sleep, run }
}

/** Regions of the data centres dc-1, dc-2 and dc-3. */
const regions: Record<string, string> = { 'dc-1': 'north', 'dc-2': 'south', 'dc-3': 'west' }

const memberOf = (number: number): Member => {
  const dataCentre = `dc-${number % 3 + 1}`
  return {
    name: `vm-${number}`,
    dataCentre,
    region: regions[dataCentre]!,
    address: `127.0.0.1:${number + 1}`,
    incarnation: 'a',
    draining: false,
    readsNewPositions: true
  }
}

const databaseOf = (group: string, number: number): Database => ({
  id: `${group}-db-${number}`,
  group,
  address: `127.0.0.1:${number}`,
  dataCentre: `dc-${number}`,
  slots: 4,
  draining: false,
  role: number === 1 ? 'primary' : 'replica',
  startedAtMs: 1
})

/** The route of a group's statements. */
export const routeTo = (group: string, kind: Route['kind']): Route => ({
  database: group,
  kind,
  group,
  timeoutMs: 800,
  targetLatencyMs: 500,
  priority: 0,
  maxStalenessMs: kind === 'primary' ? 0 : 1500,
  openToAll: false,
  homeRegions: []
})

/** A read outside of a transaction, with the given changes. */
export const readRequest = (changes: Partial<StatementRequest> = {}): StatementRequest =>
  writeRequest({ access: 'READ', text: 'READ 1', needsPrimary: false, maxStalenessMs: 1500, ...changes })

/** An outcome of a statement that ran. */
export const doneOutcome = (changes: Partial<StatementOutcome> = {}): StatementOutcome =>
  ({ ...notRun(''), status: 'DONE', ...changes })

/** Plays a holder: the outcome of a statement that is sent to it, after `serviceMs`. */
export type PlayHolder = (holder: Member, request: StatementRequest) => StatementOutcome

/** Changes of the environment. */
export type RouterEnvironmentOptions = {
  hasContact?: () => boolean
  /** Time until a holder replies. */
  serviceMs?: (holder: Member, request: StatementRequest) => number
  random?: () => number
}

/**
 * A router of the gateway `vm-1` in dc-2. Each group has a primary GROUP-db-1 in dc-1 and replicas GROUP-db-2 and
 * GROUP-db-3 in the other data centres. Time passes in tasks of `run` only, as fast as they allow.
 */
export const createRouterEnvironment = (
  memberCount: number, groups: readonly string[], play: PlayHolder,
  { hasContact = () => true, serviceMs = () => 1, random }: RouterEnvironmentOptions = {}
) => {
  const { nowMs, sleep, run: runInTime } = createDrivenTime()
  const members = Array.from({ length: memberCount }, (_, number) => memberOf(number))
  const self = members[1]!
  const databases = new Map(groups.flatMap(group =>
    [1, 2, 3].map(number => [`${group}-db-${number}`, databaseOf(group, number)] as const)))
  const attempts: Array<{ holder: string, request: StatementRequest }> = []
  const events: Array<EventFields & { name: string }> = []
  const run = async (holder: Member, request: StatementRequest) => {
    attempts.push({ holder: holder.name, request })
    const ms = serviceMs(holder, request)
    if (ms > 0) await sleep(ms)
    return play(holder, request)
  }
  const fleetState = {
    group: (group: string) => ({ record: { primary: `${group}-db-1`, phase: 'serving', term: 1 }, revision: 1 }),
    databases: () => databases,
    databasesOf: (group: string) => [...databases.values()].filter(database => database.group === group),
    members: () => new Map(members.map(member => [member.name, member])),
    evacuated: () => new Map(),
    drainingSinceMs: () => undefined
  } as unknown as FleetState
  const regionOf = (dataCentre: string) => regions[dataCentre] ?? dataCentre
  const router = createStatementRouter({
    self,
    fleetState,
    holders: createHolderChoice({
      self,
      election: { ranked: () => members, rankedByCapacity: () => members, first: () => members[0]!.name },
      regionOf,
      isUsable: () => true
    }),
    relay: {
      call: async (holder, { run: request }) => {
        const statement = replyOf(await run(holder, requestIn(request as RelayMessages.RunStatement__Output)))
        return Ok({ number: 1, statement } as unknown as RelayReply)
      }
    },
    regionOf,
    runLocally: request => run(self, request),
    abandonLocally: () => {},
    hasContact,
    nowMs,
    sleep,
    random,
    counters: { countAttempt: () => {}, countUnpaid: () => {} },
    log: ({ name }: EventDefinition, fields = {}) => {
      events.push({ name, ...typeof fields === 'function' ? fields() : fields })
    }
  })
  return { router, members, self, attempts, events, nowMs, sleep, run: runInTime }
}
