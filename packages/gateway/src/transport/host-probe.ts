/**
 * Opens a plain connection to a gateway's address and closes it, to learn whether its host still accepts connections.
 */
import { connect } from 'node:net'
import { splitAddress } from '@egretyoke/common'
import type { HostEvidence } from './peer-detector.js'

/** Errors that the peer's host reports; others, such as a lack of descriptors, may be this gateway's own. */
const refusals: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ECONNRESET'])

/** Starts the probe; the returned function ends it. A vanished host gives no evidence. */
export const probeHost = (address: string, onEvidence: (evidence: HostEvidence) => void): (() => void) => {
  const socket = connect(splitAddress(address))
  socket.on('connect', () => {
    socket.destroy()
    onEvidence('accepts')
  })
  socket.on('error', ({ code = '' }: NodeJS.ErrnoException) => onEvidence(refusals.has(code) ? 'refuses' : 'none'))
  return () => { socket.destroy() }
}
