/**
 * Rate limits of the workspaces. Each limit applies to the whole fleet, and this VM has a share of it.
 */
import { crc32 } from 'node:zlib'
import type { Clock, Logger } from '@egretyoke/common'
import { unsuspendedNames } from '@egretyoke/config'
import { createShareTable, loans, staticSlices, tokenLoans } from '@egretyoke/limits'
import type { ShareTable, AcquireResult } from '@egretyoke/limits'
import type { PlatformState } from '../state/platform-state.js'
import type { Identity } from './identity.js'
import { createBorrowCall, growthDelayMsFor, loanMarginMs, loanTtlMs } from './loan-terms.js'
import type { PeerCalls } from './peer-calls.js'

const maxWaitMs = 60
const maxLimits = 10_000

/** Loan policies, by their names in the settings. */
export const loanPolicies = { loans, staticSlices, tokenLoans } as const

/** Dependencies of rate limits. */
export type RateLimitsOptions = {
  identity: Identity
  state: PlatformState
  calls: PeerCalls
  clock: Clock
  log: Logger
  contactTtlMs: number
  policy: keyof typeof loanPolicies
}

/** Rate limits of this VM. */
export type RateLimits = {
  acquire: (workspace: string) => Promise<AcquireResult>
  lend: ShareTable['lend']
  expireLoans: () => void
  /** Applies the limits of the active configuration and the members of the active roster. */
  update: () => void
  /**
   * False until the loans of this VM's previous process have expired and its own shares have taken effect; false again
   * while the VM has no share.
   */
  isReady: () => boolean
  close: () => void
}

/** Creates the rate limits of this VM. */
export const createRateLimits = (options: RateLimitsOptions): RateLimits => {
  const { identity, state, calls, clock, log } = options
  const growthDelayMs = growthDelayMsFor(options.contactTtlMs)
  let sharingSinceMs = Infinity
  let isStarted = false
  const table = createShareTable({
    vm: identity.vm,
    incarnation: identity.incarnation(),
    loanTtlMs,
    loanMarginMs,
    growthDelayMs,
    maxLimits,
    policy: loanPolicies[options.policy],
    startupHold: true,
    clock,
    log,
    sendBorrowRequest: createBorrowCall(state, calls)
  })

  const update = () => {
    const members = unsuspendedNames(state.roster())
    if (members.includes(identity.vm)) {
      sharingSinceMs = Math.min(sharingSinceMs, clock())
    } else {
      sharingSinceMs = Infinity
      isStarted = false
    }
    table.setRoster({ members, slotCount: members.length })
    const workspaces = Object.entries(state.configuration()?.workspaces ?? {})
    table.setLimits(workspaces.map(([name, { ratePerSec, burst }]) =>
      ({ name, ratePerSec, burst, version: crc32(`${ratePerSec}/${burst}`) })))
  }

  /** Shares may take effect later than the end of the startup hold, so the table is checked as well. */
  const isReady = () => {
    if (isStarted) return true
    const isHoldOver = clock() - sharingSinceMs > growthDelayMs
    isStarted = isHoldOver && table.snapshot().every(({ ownFraction }) => ownFraction > 0)
    return isStarted
  }

  return {
    acquire: workspace => table.acquire(workspace, maxWaitMs),
    lend: table.lend,
    expireLoans: table.expireLoans,
    update,
    isReady,
    close: table.close
  }
}
