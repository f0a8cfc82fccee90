/**
 * Usage reports of one gateway: counts operations, replies to the fleet's reporter, and is the reporter if elected.
 */
import type { Logger } from '@egretyoke/common'
import type { RelayMessages } from '@egretyoke/protocol'
import { events } from '../../events.js'
import type { Contact } from '../../state/contact.js'
import type { FleetState } from '../../state/fleet-state.js'
import type { Election } from '../membership/election.js'
import type { Membership } from '../membership/membership.js'
import type { RelayCalls } from '../routing/relay-calls.js'
import type { SharedStore } from '../store/shared-store.js'
import { createFleetClock } from './fleet-clock.js'
import { createUsageCollector } from './usage-collector.js'
import { createUsageCounter, encodeCounts } from './usage-counter.js'
import type { UsageCounter } from './usage-counter.js'
import { createUsageDuty } from './usage-duty.js'
import { createUsageReporter } from './usage-reporter.js'
import type { UsageReporter, UsageSettings } from './usage-reporter.js'
import { createUsageSender } from './usage-sender.js'
import type { ReportResult, ReportUsage } from './usage-sender.js'

/** A copy of the store older than this is not the base of a claim. */
const maxClaimContactAgeMs = 2000

/** Usage reports of one gateway. */
export type Usage = Pick<UsageCounter, 'countHeld' | 'countSent'> & Pick<UsageReporter, 'run' | 'leave'> & {
  /** Replies to the reporter. */
  answer: (request: RelayMessages.ReadUsage__Output) => RelayMessages.UsageCounts
  /** Windows that this process has stored as the reporter and that are not acknowledged. */
  unsentWindows: () => number
}

/** Dependencies of usage reports. */
export type UsageOptions = {
  /** NAME/INCARNATION of this process. */
  self: string
  name: string
  settings: UsageSettings
  fleetState: FleetState
  election: Election
  membership: Pick<Membership, 'isLeaseHeld'>
  contact: Contact
  store: SharedStore
  relay: RelayCalls
  report: ReportUsage
  onResult: (result: ReportResult) => void
  monotonic: () => number
  wall: () => number
  log: Logger
}

/** Creates the usage reports of a gateway; it becomes the reporter only in `run`. */
export const createUsage = (options: UsageOptions): Usage => {
  const { settings, membership, contact, monotonic, wall, log } = options
  const clock = createFleetClock(monotonic, wall, changeMs => log(events.clockCorrected, {
    changeMs: Math.round(changeMs)
  }))
  const counter = createUsageCounter(settings.windowMs, clock, monotonic)
  const collector = createUsageCollector({ ...options, counter, clock })
  const isCurrent = () => membership.isLeaseHeld() && contact.ageMs() < maxClaimContactAgeMs
  const duty = createUsageDuty({ ...options, isCurrent })
  const sender = createUsageSender({ ...options, ...settings })
  const { isLeaseHeld } = membership
  const reporter = createUsageReporter({
    settings, duty, collector, sender, clock, isLeaseHeld, contactAgeMs: contact.ageMs, monotonic, log
  })

  return {
    countHeld: counter.countHeld,
    countSent: counter.countSent,
    answer: ({ window, wallMs }) => {
      clock.followReporter(wallMs)
      return encodeCounts(window, counter.read(window), wall())
    },
    unsentWindows: () =>
      duty.owned()?.record.windows.filter(({ window }) => !sender.isAcknowledged(window)).length ?? 0,
    run: reporter.run,
    leave: reporter.leave
  }
}
