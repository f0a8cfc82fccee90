/**
 * A caller's request before admission.
 */
import type { SessionState } from '../state/session-positions.js'

/** Parsed metadata of a request. */
export type CallerRequest = {
  keyText: string | undefined
  routeName: string
  profileName: string | undefined
  /** Timeout requested by the caller in milliseconds; NaN if the profile's timeout applies. */
  timeoutMs: number
  session: SessionState
}
