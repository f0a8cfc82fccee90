import { createRegistry, monotonicMs, silentLogger, sleepMs } from '@egretyoke/common'
import { decodeRecord, rosterSchema, storeKeys } from '@egretyoke/config'
import type { GroupRecord, Roster, RosterMember } from '@egretyoke/config'
import type { MemberState, StoredEntry } from '@egretyoke/fleet'
import test from 'ava'
import { pollEntries } from './coordination/detection.js'
import type { SuspicionCause } from './coordination/detection.js'
import type { EntryPeers, Sighting } from './coordination/entry-peers.js'
import { adoptedTerm, byMostAdvanced } from './coordination/most-advanced.js'
import { preferenceRank } from './coordination/lease-preference.js'
import { createRosterAge } from './coordination/roster-age.js'
import { leavingVmsByRole, manageRoster, nextRosterMembers } from './coordination/roster-manager.js'
import { createStewardMetrics } from './metrics.js'
import { decodeLeaving, decodeRoster } from './state/stored-records.js'
import { eventually, startTestFleet } from './test-fleet.js'

const record: GroupRecord = {
  term: 2, primary: 'a', phase: 'active', lineage: [{ term: 1, startPosition: 0 }, { term: 2, startPosition: 5 }]
}
const vm = (name: string, address = `${name}:1`): RosterMember => ({ name, address, dataCentre: 'north' })
const rosterOf = (...names: string[]): Roster => ({ version: 1, members: names.map(name => vm(name)) })

const sighting = (fields: Partial<Sighting>): Sighting =>
  ({ endpoint: 'a', reachable: true, ageMs: 10, term: 2, appliedPosition: 0, isPrimary: true, ...fields })
const unreachable = [sighting({ reachable: false })]
const silentFor3s = [sighting({ ageMs: 3_000 })]
const reachable = [sighting({})]

const detectionCases: Array<{
  title: string
  suspicion?: SuspicionCause
  /** Endpoint states reported by each entry; undefined for an entry that does not reply. */
  entries: Array<Sighting[] | undefined>
  isGone: boolean
}> = [
  { title: 'all entries report it as unreachable', entries: [unreachable, unreachable, silentFor3s], isGone: true },
  { title: 'most entries report it as unreachable', entries: [unreachable, unreachable, reachable], isGone: true },
  { title: 'only one entry reports it as unreachable', entries: [unreachable, reachable, reachable], isGone: false },
  { title: 'half of the replying entries report it', entries: [unreachable, reachable, undefined], isGone: false },
  { title: 'no entry replies', entries: [undefined, undefined, undefined], isGone: false },
  { title: 'only a minority replies', entries: [unreachable, undefined, undefined], isGone: false },
  { title: 'no entry monitors it', entries: [[], [], []], isGone: false },
  {
    title: 'the member itself reports that it is not primary',
    suspicion: 'notLeading',
    entries: [reachable, reachable, reachable],
    isGone: true
  },
  {
    title: 'the member is not primary, only a minority replies',
    suspicion: 'notLeading',
    entries: [reachable, undefined, undefined],
    isGone: false
  }
]

for (const { title, suspicion = 'unreachable', entries, isGone } of detectionCases) {
  test(`detection: ${title}`, async t => {
    const peers: EntryPeers = {
      observe: async ({ name }) => {
        const sightings = entries[Number(name)]
        return sightings && { knownRevision: 1, starting: false, sightings, silentPeers: [] }
      },
      stopConfirming: async () => false
    }
    const verdict = await pollEntries(peers, rosterOf('0', '1', '2'), record, suspicion)
    t.is(verdict.isGone, isGone)
  })
}

const memberState = (terms: number[], receivedPosition: number): MemberState => ({
  name: '-',
  group: 'core',
  term: 2,
  isPrimary: false,
  fencedTerm: 3,
  receivedPosition,
  appliedPosition: 0,
  lastEntryTerm: 1,
  primaryName: 'a',
  leaving: false,
  lineage: terms.map(term => ({ term, startPosition: 0 }))
})

const choiceCases: Array<{ title: string, members: Array<[string, number[], number, boolean]>, best: string }> = [
  { title: 'the member with the longer log', members: [['a', [1, 2], 7, true], ['b', [1, 2], 8, true]], best: 'b' },
  { title: 'newer term before longer log', members: [['a', [1], 9, true], ['b', [1, 2], 6, true]], best: 'b' },
  {
    title: 'a term whose start the member has not received does not count',
    members: [['a', [1], 4, true], ['b', [1, 2], 3, true]],
    best: 'a'
  },
  {
    title: 'a term that was never active does not count',
    members: [['a', [1, 2], 8, true], ['b', [1, 2, 3], 7, true]],
    best: 'a'
  },
  {
    title: 'the more advanced member, even if it is leaving',
    members: [['a', [1, 2], 9, false], ['b', [1, 2], 8, true]],
    best: 'a'
  },
  {
    title: 'among equally advanced members, the one that is not leaving',
    members: [['a', [1, 2], 8, false], ['b', [1, 2], 8, true]],
    best: 'b'
  }
]

for (const { title, members, best } of choiceCases) {
  test(`choice: ${title}`, t => {
    const fenced = members.map(([name, terms, position, canRemainPrimary]) =>
      ({ name, state: memberState(terms, position), canRemainPrimary }))
    t.is(fenced.sort(byMostAdvanced(record.lineage))[0].name, best)
  })
}

test('a member without the start of any active term has adopted term 0', t => {
  t.is(adoptedTerm(memberState([], 0), record.lineage), 0)
})

type RosterCase = { title: string, members: string[], listed: RosterMember[], removed?: string[], next?: string[] }

const rosterCases: RosterCase[] = [
  { title: 'no change in the VM list', members: ['x', 'y'], listed: [vm('x'), vm('y')] },
  { title: 'one VM at a time', members: ['x'], listed: [vm('x'), vm('y'), vm('z')], next: ['x:1', 'y:1'] },
  { title: 'a VM that is missing for less than the grace period stays', members: ['x', 'y'], listed: [vm('x')] },
  { title: 'a VM missing longer is removed', members: ['x', 'y'], listed: [vm('x')], removed: ['y'], next: ['x:1'] },
  { title: 'a VM with a new address', members: ['x', 'y'], listed: [vm('x'), vm('y', 'y:2')], next: ['x:1', 'y:2'] }
]

for (const { title, members, listed, removed: removedNames = [], next } of rosterCases) {
  test(`roster: ${title}`, t => {
    const change = nextRosterMembers(members.map(name => vm(name)), listed, name => removedNames.includes(name))
    t.deepEqual(change?.map(member => member.address), next)
  })
}

test('roster: the age of a version starts at 0 when it is first seen', t => {
  let nowMs = 0
  const age = createRosterAge(() => nowMs)
  t.is(age(1), 0)
  nowMs = 50
  t.is(age(1), 50)
  t.is(age(2), 0)
})

test('leaving VMs are listed by role', t => {
  const listed = (name: string, role: 'ENTRY' | 'ENDPOINT', leaving: boolean) =>
    ({ name, role, leaving, address: '-', dataCentre: '-' })
  t.deepEqual(
    leavingVmsByRole([listed('b', 'ENDPOINT', true), listed('v', 'ENTRY', true), listed('a', 'ENDPOINT', false)]),
    { endpoints: ['b'], vms: ['v'] })
})

test('groups are spread over stewards, and each group ranks the VMs uniquely', t => {
  const vms = ['vm-1', 'vm-2', 'vm-3']
  const groups = Array.from({ length: 60 }, (_, index) => `group-${index}`)
  const firsts = groups.map(group => vms.find(name => preferenceRank(name, vms, group) === 0)!)
  for (const name of vms) t.true(firsts.filter(first => first === name).length > 10)
  for (const group of groups) t.deepEqual(vms.map(name => preferenceRank(name, vms, group)).sort(), [0, 1, 2])
})

test('roster: a change waits until a majority has the previous one, and a removal for the grace period', async t => {
  const fleet = await startTestFleet({ entryCount: 3 })
  t.teardown(fleet.close)
  const stopping = new AbortController()
  const known = new Map<string, StoredEntry>()
  const peers: EntryPeers = {
    observe: async () =>
      ({ knownRevision: isRevisionKnown ? Infinity : 0, starting: false, sightings: [], silentPeers: [] }),
    stopConfirming: async () => false
  }
  let isRevisionKnown = false
  const managing = manageRoster({
    platform: fleet.platform,
    entries: peers,
    roster: () => decodeRoster(known.get(storeKeys.roster), silentLogger),
    leaving: () => decodeLeaving(known.get(storeKeys.leaving), silentLogger),
    updateCopy: entry => known.set(entry.key, entry),
    holdsLease: () => true,
    intervalMs: 20,
    timeoutMs: 500,
    metrics: createStewardMetrics(createRegistry()),
    log: silentLogger,
    graceMs: 300,
    signal: stopping.signal
  })
  await eventually('first roster', async () => (await fleet.roster()).length === 3)
  const removedAtMs = monotonicMs()
  await fleet.setVms([], ['vm-2', 'vm-3'])
  await sleepMs(500)
  t.is((await fleet.roster()).length, 3)
  isRevisionKnown = true
  await eventually('both are removed', async () => (await fleet.roster()).join() === 'vm-1')
  t.true(monotonicMs() - removedAtMs >= 300)
  const stored = known.get(storeKeys.roster)!
  t.is(decodeRecord(stored.key, stored.value, rosterSchema).unwrap().version, 3)
  stopping.abort()
  await managing
})
