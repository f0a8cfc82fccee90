/**
 * Requests the promotion of a database and waits until it has taken effect, that is, until the database leads a term
 * newer than all known ones. A database that already led the newest known term keeps it if it is the newest primary;
 * whether it is shows only later, because other promotions may be on their way.
 */
import { sleepMs } from '@egretyoke/common'
import type { Logger, Result, TypedError } from '@egretyoke/common'
import { events } from '../../events.js'
import type { ControlCommands } from '../connections/control-commands.js'
import type { Candidate } from './primary-evidence.js'
import { statusOf } from './status-poll.js'

/** Requests the promotion of a database from the platform. `declined`: the database is not running. */
export type PromoteDatabase = (
  group: string, database: string, fence: number, timeoutMs: number
) => Promise<Result<void, TypedError<'declined' | 'refused' | 'noAnswer'>>>

/** Time-out of the call. */
export const promoteTimeoutMs = 900
/** A promotion takes effect within this time after its call has ended. */
export const promotionEffectMs = 1000
const statusTimeoutMs = 350
/** Time for a database to report the primary role after its promotion was requested. */
const becomePrimaryTimeoutMs = 3000
const pollMs = 50

/** A promotion to be requested. */
export type Promotion = {
  group: string
  chosen: Candidate
  /** Newest term that is known of the group. */
  newestTerm: number
  fence: number
  /** Time after which a term that has not changed is certain to be the newest, by whether the call was answered. */
  unchangedAfterMs: (isAnswered: boolean) => number
}

/** What became of a promotion. `isRequested`: it has taken effect, or may do so later. */
export type PromotionOutcome = { isRequested: boolean, primary: Candidate | undefined }

/** Dependencies of a promotion. */
export type PromotionOptions = { control: Pick<ControlCommands, 'run'>, promote: PromoteDatabase, log: Logger }

const waitUntilPrimary = async (
  control: PromotionOptions['control'], { chosen, newestTerm }: Promotion, unchangedAfterMs: number
): Promise<Candidate | undefined> => {
  const requestedAtMs = performance.now()
  const hasLed = chosen.status.role === 'primary' && chosen.status.term === newestTerm
  while (performance.now() - requestedAtMs < becomePrimaryTimeoutMs) {
    // A status tells only of the time at which it was requested, however late its reply is read.
    const elapsedMs = performance.now() - requestedAtMs
    const candidate = await statusOf(control, chosen.database, statusTimeoutMs)
    if (candidate?.status.role === 'primary') {
      const { term } = candidate.status
      const isUnchanged = hasLed && elapsedMs >= unchangedAfterMs
      if (term > newestTerm || (term === newestTerm && isUnchanged)) return candidate
    }
    await sleepMs(pollMs)
  }
  return undefined
}

/** Requests the promotion and waits until it has taken effect. */
export const promoteAndWait = async (
  { control, promote, log }: PromotionOptions, promotion: Promotion
): Promise<PromotionOutcome> => {
  const { group, fence, chosen } = promotion
  const answer = await promote(group, chosen.database.id, fence, promoteTimeoutMs)
  log(events.promotionAsked, {
    group,
    database: chosen.database.id,
    fence,
    received: chosen.status.receivedPosition,
    outcome: answer.ok ? 'accepted' : answer.val.reason
  })
  if (answer.err && answer.val.reason !== 'noAnswer') return { isRequested: false, primary: undefined }
  const primary = await waitUntilPrimary(control, promotion, promotion.unchangedAfterMs(answer.ok))
  return { isRequested: true, primary }
}
