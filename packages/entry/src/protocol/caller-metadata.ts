/**
 * Parses the gRPC metadata of a caller's request.
 */
import type { Metadata } from '@grpc/grpc-js'
import type { CallerRequest } from '../coordination/caller-request.js'
import { newSession } from '../state/session-positions.js'
import { decodeToken } from './session-token.js'

const textOf = (metadata: Metadata, name: string): string | undefined => {
  const value = metadata.get(name).at(0)
  return value === undefined ? undefined : value.toString()
}

/**
 * Parses a request's metadata. Missing or malformed values do not fail here: admission checks them, and an unreadable
 * session token gives an unknown session.
 */
export const readCallerMetadata = (metadata: Metadata): CallerRequest => {
  const token = metadata.get('egretyoke-session-bin').at(0)
  const isNew = token === undefined && textOf(metadata, 'egretyoke-new-session') === '1'
  const session = isNew ? newSession : decodeToken(Buffer.isBuffer(token) ? token : undefined)
  const isUnsettled = textOf(metadata, 'egretyoke-unsettled-write') === '1'
  return {
    keyText: textOf(metadata, 'egretyoke-key'),
    routeName: textOf(metadata, 'egretyoke-route') ?? '',
    profileName: textOf(metadata, 'egretyoke-profile'),
    timeoutMs: Number(textOf(metadata, 'egretyoke-timeout-ms') ?? NaN),
    session: { ...session, isUnsettled }
  }
}
