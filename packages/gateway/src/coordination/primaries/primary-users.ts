/**
 * Stops the use of a group's primary by the gateways that its record lists, before another database is promoted.
 */
import { sleepMs } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import { events } from '../../events.js'
import type { FleetState } from '../../state/fleet-state.js'
import { splitProcessName } from '../../state/stored-records.js'
import type { RelayCalls } from '../routing/relay-calls.js'
import { activeUsers, maxPrimaryContactAgeMs } from './group-records.js'

const stopTimeoutMs = 350
/** During a planned handover, running work at the old primary may finish within this time. */
const drainTimeoutMs = 900
const pollMs = 50

/** The users of a group's primary. */
export type PrimaryUsers = {
  /** Lets running work finish, and pauses new work for a moment. */
  drain: () => Promise<void>
  /** Resolves once no gateway uses the primary: each user has stopped, ended, or lost its contact by time-out. */
  stop: (revision: number) => Promise<void>
}

/** Dependencies of the users. */
export type PrimaryUsersOptions = {
  group: string
  /** NAME/INCARNATION of the users that the record lists. */
  users: readonly string[]
  fleetState: FleetState
  relay: Pick<RelayCalls, 'call'>
  log: Logger
}

/** Creates the users of the primary that a record names. */
export const createPrimaryUsers = ({ group, users, fleetState, relay, log }: PrimaryUsersOptions): PrimaryUsers => {
  const stopUser = async (user: string, revision: number, finish: boolean): Promise<boolean> => {
    const member = fleetState.members().get(splitProcessName(user).name)
    if (member === undefined) return false
    const reply = await relay.call(member, {
      stopPrimary: { group, revision, finish }
    }, stopTimeoutMs + (finish ? drainTimeoutMs : 0))
    return reply.ok && reply.val.primaryStopped?.stopped === true
  }

  const stop = async (revision: number) => {
    const startedAtMs = performance.now()
    const remaining = new Set(activeUsers(users, fleetState))
    while (remaining.size > 0 && performance.now() - startedAtMs < maxPrimaryContactAgeMs) {
      await Promise.all([...remaining].map(async user => {
        if (await stopUser(user, revision, false)) remaining.delete(user)
      }))
      const active = activeUsers([...remaining], fleetState)
      for (const user of remaining) if (!active.includes(user)) remaining.delete(user)
      if (remaining.size > 0) await sleepMs(pollMs)
    }
    log(events.primaryUsersStopped, {
      group, revision, users, unanswered: [...remaining], tookMs: Math.round(performance.now() - startedAtMs)
    })
  }

  return {
    drain: async () => {
      await Promise.all(activeUsers(users, fleetState).map(user => stopUser(user, 0, true)))
    },
    stop
  }
}
