/**
 * Runs seeded sessions that send each request to another VM and sometimes damage or omit the session token. All
 * sessions finish their first half before any starts its second, so that each uses tokens from before a fault that is
 * injected in between.
 */
import { createRandom, sleepMs } from '@egretyoke/common'
import type { Random } from '@egretyoke/common'
import { connectRawCaller, executeRaw, outcomeOf } from './caller-streams.js'
import type { CallerFields, RawCaller } from './caller-streams.js'
import { createSessionChecker } from './session-checker.js'
import type { SessionBounds } from './session-checker.js'

const maxReadAttempts = 200
const readRetryMs = 50
const timeoutMs = 1_500

/** How a request uses the session token of the last answer. */
export type TokenUse = 'kept' | 'damaged' | 'missing'

/** Options of a session load. */
export type SessionLoadOptions = {
  addresses: string[]
  key: string
  seed: number
  sessionCount: number
  requestsPerSession: number
  concurrentSessions: number
  /** Routes from which each read picks one at random. */
  readRoutes: readonly string[]
  /** Declares every request a new session, so that no token orders a session's reads after its writes. */
  withoutTokens?: boolean
  /** Called once all sessions have finished their first half. */
  onHalfDone?: () => void
}

type Session = {
  name: string
  random: Random
  vm: number
  token: Buffer | undefined
  isNew: boolean
  isUnsettled: boolean
  bounds: SessionBounds
  writes: number
}

const flipRandomBit = (token: Buffer, random: Random): Buffer => {
  const damaged = Buffer.from(token)
  damaged[random.integer(0, damaged.length - 1)] ^= 1 << random.integer(0, 7)
  return damaged
}

/** Runs all sessions; resolves to the checker and the number of requests by outcome. */
export const runSessions = async (options: SessionLoadOptions) => {
  const checker = createSessionChecker()
  const clients = options.addresses.map(connectRawCaller)
  const outcomes = new Map<string, number>()

  const recordOutcome = (outcome: { kind: string, reason: string }) => {
    const name = outcome.reason === '' ? outcome.kind : `${outcome.kind}:${outcome.reason}`
    outcomes.set(name, (outcomes.get(name) ?? 0) + 1)
  }

  const nextClient = (session: Session): RawCaller => {
    session.vm = (session.vm + session.random.integer(1, clients.length - 1)) % clients.length
    return clients[session.vm]
  }

  const fieldsOf = (session: Session, route: string): CallerFields => {
    const fields = { route, key: options.key, timeoutMs, hasUnsettledWrite: session.isUnsettled }
    if (options.withoutTokens) return { ...fields, hasUnsettledWrite: false, isNewSession: true }
    if (!session.token) return { ...fields, isNewSession: session.isNew }
    const use: TokenUse = session.random.chance(0.05) ? 'damaged' : session.random.chance(0.05) ? 'missing' : 'kept'
    if (use === 'missing') return fields
    return { ...fields, token: use === 'damaged' ? flipRandomBit(session.token, session.random) : session.token }
  }

  const write = async (session: Session) => {
    const statement = `add ${session.name} 1 op=${session.name}-${++session.writes}`
    const answer = await executeRaw(nextClient(session), fieldsOf(session, 'write'), statement)
    const outcome = outcomeOf(answer)
    recordOutcome(outcome)
    if (outcome.kind === 'notRun' || outcome.kind === 'failed') return
    session.isNew = false
    session.bounds.possible++
    session.isUnsettled = outcome.kind !== 'done'
    if (outcome.kind === 'done') session.bounds.confirmed++
    if (answer?.sessionToken.length) session.token = answer.sessionToken
  }

  const read = async (session: Session) => {
    for (let attempt = 1; attempt <= maxReadAttempts; attempt++) {
      const route = session.random.pick(options.readRoutes)
      const answer = await executeRaw(nextClient(session), fieldsOf(session, route), `get ${session.name}`)
      const outcome = outcomeOf(answer)
      recordOutcome(outcome)
      if (!answer || outcome.kind !== 'done') {
        await sleepMs(readRetryMs)
        continue
      }
      const { endpoint, fromReplica, sessionToken } = answer
      checker.checkRead(session.name, session.bounds, { result: String(answer.done!.result), endpoint })
      if (fromReplica) checker.recordReplicaRead()
      session.isUnsettled = false
      session.token = sessionToken
      return
    }
    throw new Error(`${session.name}: every read attempt failed`)
  }

  const createSession = (index: number): Session => ({
    name: `session-${index}`,
    random: createRandom(options.seed * 100_000 + index),
    vm: index % clients.length,
    token: undefined,
    isNew: true,
    isUnsettled: false,
    bounds: { confirmed: 0, possible: 0 },
    writes: 0
  })

  const runHalf = async (session: Session) => {
    for (let request = 0; request < options.requestsPerSession / 2; request++) {
      if (session.random.chance(0.5)) await write(session)
      else await read(session)
    }
    await read(session)
  }

  const sessions = Array.from({ length: options.sessionCount }, (_, index) => createSession(index))
  const runHalfOfEachSession = async () => {
    const remaining = [...sessions]
    const worker = async () => {
      for (let session = remaining.shift(); session; session = remaining.shift()) await runHalf(session)
    }
    await Promise.all(Array.from({ length: options.concurrentSessions }, worker))
  }
  try {
    await runHalfOfEachSession()
    options.onHalfDone?.()
    await runHalfOfEachSession()
  } finally {
    for (const client of clients) client.close()
  }
  return { checker, outcomes: Object.fromEntries(outcomes) }
}
