/**
 * Permits for connections to endpoints. The limit on an endpoint's connections applies to the whole fleet; every VM has
 * a share of it and may borrow more from peers.
 */
import type { Clock, Logger } from '@egretyoke/common'
import { unsuspendedNames } from '@egretyoke/config'
import { createPermitTable } from '@egretyoke/limits'
import type { PermitTable } from '@egretyoke/limits'
import type { PlatformState } from '../state/platform-state.js'
import type { PermitSource } from './endpoint-pool.js'
import type { Identity } from './identity.js'
import { createBorrowCall, growthDelayMsFor, loanMarginMs, loanTtlMs } from './loan-terms.js'
import type { PeerCalls } from './peer-calls.js'

const maxLimits = 10_000
const limitPrefix = 'connections:'

/** Name of the limit on connections to an endpoint. It is distinct from all workspace names, which have no colon. */
const limitName = (group: string, endpoint: string): string => `${limitPrefix}${group}/${endpoint}`

/** True if the name is that of a connection limit, false if it is that of a workspace's rate limit. */
export const isConnectionLimit = (limit: string): boolean => limit.startsWith(limitPrefix)

/** Dependencies of connection permits. */
export type ConnectionPermitsOptions = {
  identity: Identity
  state: PlatformState
  calls: PeerCalls
  clock: Clock
  log: Logger
  contactTtlMs: number
}

/** Connection permits of this VM. */
export type ConnectionPermits = {
  source: (group: string, endpoint: string) => PermitSource
  lend: PermitTable['lend']
  expireLoans: () => void
  /** Applies the limits of the active configuration and the members of the active roster. */
  update: () => void
  close: () => void
}

/** Creates the connection permits of this VM. */
export const createConnectionPermits = (options: ConnectionPermitsOptions): ConnectionPermits => {
  const { identity, state, calls, clock, log } = options
  const table = createPermitTable({
    vm: identity.vm,
    incarnation: identity.incarnation(),
    loanTtlMs,
    loanMarginMs,
    growthDelayMs: growthDelayMsFor(options.contactTtlMs),
    maxLimits,
    startupHold: true,
    clock,
    log,
    sendBorrowRequest: createBorrowCall(state, calls)
  })

  const update = () => {
    const members = unsuspendedNames(state.roster())
    table.setRoster({ members, slotCount: members.length })
    const groups = Object.entries(state.configuration()?.groups ?? {})
    table.setLimits(groups.flatMap(([group, { endpoints }]) =>
      Object.entries(endpoints).map(([endpoint, { maxConnections }]) =>
        ({ name: limitName(group, endpoint), maxPermits: maxConnections, version: maxConnections }))))
  }

  const source = (group: string, endpoint: string): PermitSource => {
    const limit = limitName(group, endpoint)
    return {
      tryAcquire: onRevoked => table.tryAcquire(limit, onRevoked),
      acquire: (onRevoked, maxWaitMs) => table.acquire(limit, onRevoked, maxWaitMs)
    }
  }

  return { source, lend: table.lend, expireLoans: table.expireLoans, update, close: table.close }
}
