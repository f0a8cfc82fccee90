/**
 * Primary changes whose gateway has ended, has lost the store, or is only slow.
 */
import test from 'ava'
import type { Member } from '../../state/stored-records.js'
import { shouldContinueChange, takeOverAfterMs } from './unfinished-change.js'

const member = (name: string, overrides: Partial<Member> = {}): Member =>
  ({ name, dataCentre: 'quay', region: 'north', address: name, incarnation: '1', draining: false, ...overrides })

const ranked = [member('a'), member('b'), member('c')]

/** Names of the gateways that continue the change. */
const continuers = (keeper: string, knownForMs: number, members = ranked) => ['a/1', 'b/1', 'c/1'].filter(self =>
  shouldContinueChange(self, { record: { keeper }, knownForMs, ranked: members }))

for (const { title, keeper, knownForMs, members, expected } of [
  { title: 'a change in progress is left to its gateway', keeper: 'a/1', knownForMs: 0, expected: ['a/1'] },
  { title: 'a change whose process has ended is continued at once', keeper: 'a/0', knownForMs: 0, expected: ['a/1'] },
  {
    title: 'a change whose VM has left is continued at once',
    keeper: 'a/1',
    knownForMs: 0,
    members: ranked.slice(1),
    // The gateway that has left does not know it yet; the revision of the record lets only one of them finish.
    expected: ['a/1', 'b/1']
  },
  {
    title: 'an overdue change is taken over by the next gateway in rank, although the first is still a member',
    keeper: 'a/1',
    knownForMs: takeOverAfterMs + 1,
    expected: ['a/1', 'b/1']
  },
  {
    title: 'a draining gateway takes nothing over',
    keeper: 'a/1',
    knownForMs: takeOverAfterMs + 1,
    members: [member('a'), member('b', { draining: true }), member('c')],
    expected: ['a/1', 'c/1']
  }
]) {
  test(title, t => t.deepEqual(continuers(keeper, knownForMs, members), expected))
}
