import test from 'ava'
import { maxSessionGroups, newSession, advanceSession, unknownSession } from './session-positions.js'
import type { SessionState } from './session-positions.js'

const logPositionOf = (position: number) => ({ term: 1, position })

const sessionOf = (groupCount: number): SessionState => {
  let session = newSession
  for (let n = 0; n < groupCount; n++) session = advanceSession(session, `group-${n}`, logPositionOf(n + 1))
  return session
}

test('a session that wrote in the maximum number of groups has a position for all of them', t => {
  const session = sessionOf(maxSessionGroups)
  t.true(session.isComplete)
  t.is(session.positions.size, maxSessionGroups)
})

test('a session that wrote in more than the maximum number of groups is no longer complete', t => {
  const session = sessionOf(maxSessionGroups + 1)
  t.false(session.positions.has('group-0'))
  t.false(session.isComplete)
  t.is(session.positions.size, maxSessionGroups)
})

test('a log position never moves backwards', t => {
  const later = advanceSession(newSession, 'group-1', { term: 2, position: 5 })
  const after = advanceSession(later, 'group-1', { term: 1, position: 9 })
  t.deepEqual(after.positions.get('group-1'), { term: 2, position: 5 })
})

test('after an unknown outcome, a session keeps only the position that a primary reported', t => {
  const unsettled = { ...sessionOf(3), isUnsettled: true }
  const settled = advanceSession(unsettled, 'group-1', logPositionOf(40))
  t.deepEqual([...settled.positions], [['group-1', logPositionOf(40)]])
  t.false(settled.isComplete)
  t.false(settled.isUnsettled)
  t.false(advanceSession(unknownSession, 'group-1', logPositionOf(1)).isComplete)
})
