/**
 * Pool of the sessions of one workspace. A session has one request in flight at a time and sends the token of its last
 * response with the next request. When all sessions are busy a new one is created, so that arrivals never wait.
 */
import type { Random } from '@egretyoke/common'
import type { CallerResponse } from '@egretyoke/testbed'

export type Session = {
  id: number
  token: Buffer
  hasUnsettledWrite: boolean
  /** Number of confirmed writes to the session's key in each group. */
  confirmedByGroup: Map<string, number>
}

/** Maximum number of sessions of one workspace. */
export const maxSessionsPerWorkspace = 20_000

/** Reason of the entry's response when a failover has lost a write that was confirmed to the session. */
const lostWriteReason = 'sessionWriteLost'

/** Pool of the sessions of one workspace. */
export type SessionPool = ReturnType<typeof createSessionPool>

/** Creates a pool with `initialCount` idle sessions. */
export const createSessionPool = (initialCount: number) => {
  let created = 0
  const create = (): Session => {
    created++
    return { id: created, token: Buffer.alloc(0), hasUnsettledWrite: false, confirmedByGroup: new Map() }
  }
  const idle: Session[] = Array.from({ length: initialCount }, create)

  /** Acquires a random idle session, or creates one; undefined when all are busy and the maximum is reached. */
  const acquire = (random: Random): Session | undefined => {
    if (idle.length === 0) return created < maxSessionsPerWorkspace ? create() : undefined
    const index = random.integer(0, idle.length - 1)
    const session = idle[index]
    idle[index] = idle.at(-1)!
    idle.pop()
    return session
  }

  /** Clears a session's token and write counts, as a caller must once a failover has lost one of its writes. */
  const reset = (session: Session) => {
    session.token = Buffer.alloc(0)
    session.confirmedByGroup.clear()
  }

  /** Updates a session from a response and returns it to the pool. */
  const release = (session: Session, isWrite: boolean, group: string, isOwnKey: boolean, response: CallerResponse) => {
    const isUnknown = response.kind === 'lost' || response.kind === 'outcomeUnknown'
    if (isWrite && isUnknown) session.hasUnsettledWrite = true
    if (response.kind === 'done') {
      session.hasUnsettledWrite = false
      if (isWrite && isOwnKey) {
        session.confirmedByGroup.set(group, (session.confirmedByGroup.get(group) ?? 0) + 1)
      }
    }
    if (response.reason === lostWriteReason) reset(session)
    else if (response.sessionToken.length > 0) session.token = response.sessionToken
    idle.push(session)
  }

  return { acquire, release, count: () => created }
}
