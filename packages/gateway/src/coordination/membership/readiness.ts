/**
 * Whether this gateway accepts new callers: it knows the configuration and the keys, has recent contact with the store
 * and a lease, and does not stop.
 */
import { sleepMs, sleepUntilTick } from '@egretyoke/common'
import type { Logger } from '@egretyoke/common'
import { events } from '../../events.js'
import type { Contact } from '../../state/contact.js'
import type { FleetState } from '../../state/fleet-state.js'
import type { Membership } from './membership.js'

/** If its last contact with the store is older, a gateway is not ready and leaves connections to other holders. */
export const maxReadyContactAgeMs = 2000
/** Subtracted from the key withdrawal time to cover the time in which an admitted statement is still on its way. */
const keyWithdrawalMarginMs = 900
const checkIntervalMs = 200
const stateLoadedPollMs = 10

/** Readiness of this gateway. */
export type Readiness = {
  /** False while the list of keys may be too old to reflect withdrawals. */
  hasCurrentKeys: () => boolean
  isReady: () => boolean
  /** True if the gateway has been ready, but not within the last `forMs`. */
  hasCeased: (forMs: number) => boolean
  /** Resolves once the gateway has loaded keys and configuration after its start, or after the timeout. */
  whenStateLoaded: (timeoutMs: number) => Promise<void>
  /** Watches the readiness until the signal aborts. */
  run: (signal: AbortSignal) => Promise<void>
}

/** Dependencies of the readiness. */
export type ReadinessOptions = {
  contact: Contact
  fleetState: Pick<FleetState, 'configuration'>
  membership: Pick<Membership, 'leaseId'>
  /** Time after its accepted withdrawal by which a key must be refused everywhere. */
  keyWithdrawalMs: () => number
  isDraining: () => boolean
  log: Logger
}

/** Creates the readiness of a gateway that has not been ready yet. */
export const createReadiness = (options: ReadinessOptions): Readiness => {
  const { contact, fleetState, membership, keyWithdrawalMs, isDraining, log } = options
  let hasBeenReady = false
  let lastReadyMs = 0

  const hasCurrentKeys = () => contact.ageMs() < keyWithdrawalMs() - keyWithdrawalMarginMs
  const isStateLoaded = () => hasCurrentKeys() && fleetState.configuration() !== undefined
  const isReady = () => !isDraining() && isStateLoaded() && contact.ageMs() < maxReadyContactAgeMs &&
    membership.leaseId() !== undefined

  const run = async (signal: AbortSignal) => {
    let wasReady: boolean | undefined
    while (!signal.aborted) {
      const ready = isReady()
      if (ready) lastReadyMs = performance.now()
      hasBeenReady ||= ready
      if (ready !== wasReady) {
        const configuration = fleetState.configuration()?.version
        const contactAgeMs = Math.round(contact.ageMs())
        log(events.gatewayReady, { ready, draining: isDraining(), contactAgeMs, configuration })
      }
      wasReady = ready
      await sleepUntilTick(checkIntervalMs, signal)
    }
  }

  return {
    hasCurrentKeys,
    isReady,
    hasCeased: forMs => hasBeenReady && performance.now() - lastReadyMs > forMs,
    whenStateLoaded: async timeoutMs => {
      const deadlineMs = performance.now() + timeoutMs
      while (!hasBeenReady && !isStateLoaded() && performance.now() < deadlineMs) await sleepMs(stateLoadedPollMs)
    },
    run
  }
}
