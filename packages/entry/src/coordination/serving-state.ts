/**
 * Whether this VM may serve requests: contact, pauses of the host, draining, and whether the VM is leaving or its data
 * centre is out of service.
 */
import { sleepMs, ticks } from '@egretyoke/common'
import type { Clock, Logger, PauseDetector } from '@egretyoke/common'
import { events } from '../events.js'
import type { PlatformState } from '../state/platform-state.js'
import type { Contact } from './contact.js'
import type { Identity } from './identity.js'

/** A VM whose data centre is out of service accepts calls for this long, until the load balancer stops sending them. */
const outOfServiceGraceMs = 1_500
const checkIntervalMs = 100
/** Maximum wait for contact lost because of a newer revision; a few messages between VMs usually restore it. */
const maxContactWaitMs = 300
const contactPollIntervalMs = 5

/** Dependencies of the serving state. */
export type ServingStateOptions = {
  identity: Identity
  state: PlatformState
  contact: Contact
  clock: Clock
  log: Logger
  pauseDetector: PauseDetector
  /** Called when a pause of the host is detected. */
  onPause: () => void
}

/** Whether this VM may serve. */
export type ServingState = {
  isInContact: () => boolean
  /**
   * Waits a short time for contact if it is lost only because a newer revision has been announced but not yet applied.
   * Resolves to false if the VM is still not in contact.
   */
  waitForContact: () => Promise<boolean>
  isDraining: () => boolean
  /** True once new calls are refused, which is some time after draining began. */
  isRefusingCalls: () => boolean
  /** True if the data centre has been out of service for longer than the load balancer needs to react. */
  isDataCentreOutOfService: () => boolean
  /** False if the load balancer should stop sending calls, which it learns from the readiness check. */
  isReadyForCalls: () => boolean
  startDraining: () => void
  refuseCalls: () => void
  run: (signal: AbortSignal) => Promise<void>
}

/** Creates the serving state. */
export const createServingState = (options: ServingStateOptions): ServingState => {
  const { identity, state, contact, clock, log } = options
  let draining = false
  let refusing = false
  let outOfServiceSinceMs = Infinity
  let wasInContact = false

  const isInContact = (): boolean => {
    if (options.pauseDetector.hasBeenPaused()) {
      log(events.hostPaused)
      contact.expire()
      options.onPause()
    }
    return contact.isInContact()
  }

  const waitForContact = async (): Promise<boolean> => {
    if (isInContact()) return true
    if (contact.basis() !== 'newerRevision') return false
    for (const deadlineMs = clock() + maxContactWaitMs; clock() < deadlineMs;) {
      await sleepMs(contactPollIntervalMs)
      if (isInContact()) return true
    }
    return false
  }

  const isOutOfService = () => state.configuration()?.dataCentres[identity.dataCentre]?.state === 'out'

  const updateOutOfService = () => {
    if (!isOutOfService()) outOfServiceSinceMs = Infinity
    else outOfServiceSinceMs = Math.min(outOfServiceSinceMs, clock())
  }

  const run = async (signal: AbortSignal) => {
    for await (const _ of ticks(checkIntervalMs, signal)) {
      updateOutOfService()
      const inContact = isInContact()
      if (inContact === wasInContact) continue
      wasInContact = inContact
      log(inContact ? events.contactGained : events.contactLost, { basis: contact.basis() })
    }
  }

  return {
    isInContact,
    waitForContact,
    isDraining: () => draining,
    isRefusingCalls: () => refusing,
    isDataCentreOutOfService: () => clock() - outOfServiceSinceMs > outOfServiceGraceMs,
    isReadyForCalls: () => !draining && !isOutOfService() && !state.leaving().vms.includes(identity.vm),
    startDraining: () => { draining = true },
    refuseCalls: () => { refusing = true },
    run
  }
}
