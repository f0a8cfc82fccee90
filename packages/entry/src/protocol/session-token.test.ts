import test from 'ava'
import fc from 'fast-check'
import { maxSessionGroups, unknownSession } from '../state/session-positions.js'
import { maxTokenBytes } from '@egretyoke/protocol'
import { decodeToken, encodeToken } from './session-token.js'

const seed = 20
const fuzzRuns = 3_000

const logPosition = fc.record({ term: fc.nat(), position: fc.nat() })
const sessions = fc.record({
  positions: fc.uniqueArray(fc.tuple(fc.string({ maxLength: 63 }), logPosition), {
    maxLength: maxSessionGroups, selector: ([group]) => group
  }).map(entries => new Map(entries)),
  isComplete: fc.boolean(),
  isUnsettled: fc.constant(false)
})

test('a token decodes to the session that was encoded, for any group names', t => {
  fc.assert(fc.property(sessions, session => {
    const { positions, isComplete } = decodeToken(encodeToken(session))
    return isComplete === session.isComplete &&
      positions.size === session.positions.size &&
      [...session.positions].every(([group, { term, position }]) =>
        positions.get(group)?.term === term && positions.get(group)?.position === position)
  }), { seed, numRuns: fuzzRuns })
  t.pass()
})

test('the largest possible token is decoded', t => {
  const positions = new Map(Array.from({ length: maxSessionGroups }, (_, index) => [
    String(index).padStart(63, 'g'), { term: Number.MAX_SAFE_INTEGER, position: Number.MAX_SAFE_INTEGER }]))
  const token = encodeToken({ positions, isComplete: true, isUnsettled: false })
  t.true(token.length <= maxTokenBytes)
  t.deepEqual(decodeToken(token).positions, positions)
})

test('a token with any damaged byte gives the unknown session', t => {
  fc.assert(fc.property(sessions, fc.nat(), fc.integer({ min: 1, max: 255 }), (session, at, mask) => {
    const token = encodeToken(session)
    token[at % token.length] ^= mask
    return decodeToken(token) === unknownSession
  }), { seed, numRuns: fuzzRuns })
  t.pass()
})

test('arbitrary bytes are decoded without an error', t => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 300 }), bytes => decodeToken(Buffer.from(bytes)) === unknownSession),
    { seed, numRuns: fuzzRuns })
  t.is(decodeToken(undefined), unknownSession)
  t.is(decodeToken(Buffer.alloc(maxTokenBytes + 1)), unknownSession)
})
