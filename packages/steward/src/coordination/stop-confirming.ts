/**
 * Stops every entry of the roster from confirming writes of older terms: either the entry acknowledges the request, or
 * the steward waits until an entry that does not reply must be out of contact.
 */
import type { Roster, RosterMember } from '@egretyoke/config'
import { combineSignals } from './combined-signal.js'
import type { StopRequest } from './entry-peers.js'
import { majorityOf } from './promotion-calls.js'
import type { PromotionTask } from './promotion-calls.js'

const retryDelayMs = 100

const createFlag = () => {
  let raise = () => {}
  const raised = new Promise<true>(resolve => {
    raise = () => resolve(true)
  })
  return { raise, raised }
}

/**
 * Resolves to true once no entry can confirm a write of a term below the request's, or to false if the signal aborts
 * first. An entry that has not acknowledged is out of contact at the latest `contactExpiryMs` after a majority of the
 * roster acknowledged, because from then on neither the platform nor a majority of peers confirms an older revision as
 * current.
 */
export const stopConfirmingOnAllEntries = async (
  task: PromotionTask,
  roster: Roster,
  request: StopRequest,
  signal: AbortSignal
): Promise<boolean> => {
  const { calls, timeouts } = task
  const acknowledged = new Set<string>()
  const majorityAcknowledged = createFlag()
  const allAcknowledged = createFlag()
  const finished = new AbortController()
  const waitSignal = combineSignals(signal, finished.signal)

  const acknowledge = (entry: RosterMember) => {
    acknowledged.add(entry.name)
    if (acknowledged.size >= majorityOf(roster.members.length)) majorityAcknowledged.raise()
    // An entry that left the roster recently gets no request and may still be in contact.
    if (acknowledged.size === roster.members.length && calls.isRosterStable(roster)) allAcknowledged.raise()
  }

  const stopUntilAcknowledged = async (entry: RosterMember) => {
    while (!waitSignal.aborted) {
      if (await calls.entries.stopConfirming(entry, request)) return acknowledge(entry)
      await calls.sleepMs(retryDelayMs, waitSignal)
    }
  }

  const aborted = new Promise<false>(resolve => {
    signal.addEventListener('abort', () => resolve(false), { once: true })
  })
  for (const entry of roster.members) stopUntilAcknowledged(entry)
  const waitForContactExpiry = async () => {
    await majorityAcknowledged.raised
    return calls.sleepMs(timeouts.contactExpiryMs, waitSignal)
  }
  const isStopped = await Promise.race([allAcknowledged.raised, waitForContactExpiry(), aborted])
  finished.abort()
  return isStopped
}
