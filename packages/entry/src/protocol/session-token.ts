/**
 * Encoding of session state as the tokens that callers store and send with each request.
 */
import { decodeSessionToken, encodeSessionToken } from '@egretyoke/protocol'
import { unknownSession } from '../state/session-positions.js'
import type { SessionState } from '../state/session-positions.js'

export const encodeToken = ({ isComplete, positions }: SessionState): Buffer =>
  encodeSessionToken({ complete: isComplete, groups: Object.fromEntries(positions) })

/** Decodes a token. A missing or damaged token gives the unknown session, whose reads go to the primaries. */
export const decodeToken = (bytes: Buffer | undefined): SessionState => {
  const token = bytes && decodeSessionToken(bytes)
  if (!token) return unknownSession
  return { positions: new Map(Object.entries(token.groups)), isComplete: token.complete, isUnsettled: false }
}
