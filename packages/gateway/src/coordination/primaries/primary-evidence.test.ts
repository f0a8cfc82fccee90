/**
 * Which primary the replies of a group's databases show, when they differ from each other or from the record.
 */
import test from 'ava'
import fc from 'fast-check'
import { contradictsRecord, newestPrimary, newestTermOf } from './primary-evidence.js'
import type { Candidate } from './primary-evidence.js'

const candidate = (id: string, role: 'primary' | 'replica', term: number) => ({
  database: { id }, status: { role, term, receivedPosition: `${term}.1`, appliedPosition: `${term}.1` }
}) as Candidate

// Guards against a choice by the order of the entries while databases of two terms are primaries.
test('of several primaries, the one of the highest term is chosen in any order', t => {
  const candidates = [candidate('db-1', 'replica', 3), candidate('db-2', 'primary', 2), candidate('db-3', 'primary', 3)]
  fc.assert(fc.property(fc.shuffledSubarray(candidates, { minLength: 3 }), shuffled => {
    t.is(newestPrimary(shuffled)?.database.id, 'db-3')
    t.is(newestTermOf(shuffled, 1), 3)
  }))
})

test('a primary of an earlier term than the first permitted one is not chosen', t => {
  const candidates = [candidate('db-1', 'primary', 1), candidate('db-2', 'replica', 1)]
  t.is(newestPrimary(candidates, 1)?.database.id, 'db-1')
  t.is(newestPrimary(candidates, 2), undefined)
  t.is(newestTermOf([], 4), 4)
})

for (const { title, database, evidence, expected } of [
  { title: 'a later term', database: 'db-2', evidence: { term: 3 }, expected: true },
  { title: 'a later term of the recorded primary itself', database: 'db-1', evidence: { term: 3 }, expected: true },
  {
    title: 'the replica role of the recorded primary',
    database: 'db-1',
    evidence: { role: 'replica' as const, term: 2 },
    expected: true
  },
  {
    title: 'the replica role of another database',
    database: 'db-2',
    evidence: { role: 'replica' as const, term: 2 },
    expected: false
  },
  {
    title: 'a former primary of an earlier term',
    database: 'db-2',
    evidence: { role: 'primary' as const, term: 1 },
    expected: false
  },
  { title: 'an earlier term of the recorded primary', database: 'db-1', evidence: { term: 1 }, expected: false }
]) {
  test(`${title} ${expected ? 'contradicts' : 'does not contradict'} the record`, t => {
    t.is(contradictsRecord({ primary: 'db-1', term: 2 }, database, evidence), expected)
  })
}
