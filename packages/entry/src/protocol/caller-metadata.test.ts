import test from 'ava'
import { Metadata } from '@grpc/grpc-js'
import fc from 'fast-check'
import { newSession, unknownSession } from '../state/session-positions.js'
import { readCallerMetadata } from './caller-metadata.js'
import { encodeToken } from './session-token.js'

const seed = 22
const fuzzRuns = 2_000

/** Values that are valid in HTTP/2 headers. */
const headerText = fc.string({ unit: 'grapheme-ascii', maxLength: 200 })
const textNames = ['key', 'route', 'profile', 'timeout-ms', 'new-session', 'unsettled-write', 'unknown-field']

const metadataOf = (fields: Record<string, string | Buffer>): Metadata => {
  const metadata = new Metadata()
  for (const [name, value] of Object.entries(fields)) metadata.add(`egretyoke-${name}`, value)
  return metadata
}

test('arbitrary metadata is parsed without an error', t => {
  const field = fc.tuple(fc.constantFrom(...textNames), headerText)
  const tokens = fc.array(fc.uint8Array({ maxLength: 200 }), { maxLength: 2 })
  fc.assert(fc.property(fc.array(field, { maxLength: 12 }), tokens, (fields, tokenBytes) => {
    const metadata = new Metadata()
    for (const [name, value] of fields) metadata.add(`egretyoke-${name}`, value)
    for (const bytes of tokenBytes) metadata.add('egretyoke-session-bin', Buffer.from(bytes))
    const request = readCallerMetadata(metadata)
    return typeof request.routeName === 'string' && typeof request.timeoutMs === 'number' &&
      request.session.positions.size === 0
  }), { seed, numRuns: fuzzRuns })
  t.pass()
})

test('a session is new only if the caller says so and sends no token', t => {
  const token = encodeToken(newSession)
  const damaged = Buffer.from(token)
  damaged[0] ^= 1
  t.true(readCallerMetadata(metadataOf({ 'new-session': '1' })).session.isComplete)
  t.false(readCallerMetadata(metadataOf({})).session.isComplete)
  t.true(readCallerMetadata(metadataOf({ 'session-bin': token })).session.isComplete)
  t.deepEqual(readCallerMetadata(metadataOf({ 'session-bin': damaged, 'new-session': '1' })).session, unknownSession)
  t.true(readCallerMetadata(metadataOf({ 'unsettled-write': '1', 'session-bin': token })).session.isUnsettled)
})
