/**
 * Contact: every condition under which it is gained or lost.
 */
import test from 'ava'
import { createPeerTable } from '../state/peer-table.js'
import type { PeerReport } from '../state/peer-table.js'
import { createContact } from './contact.js'
import type { Contact, ContactBasis } from './contact.js'

const ttlMs = 2_000
const knownRevision = 10
const roster = ['vm-1', 'vm-2', 'vm-3', 'vm-4', 'vm-5']

const createFixture = (rosterNames: readonly string[] = roster) => {
  let nowMs = 100_000
  const peers = createPeerTable()
  const contact = createContact({
    vm: 'vm-1',
    incarnation: () => 5,
    ttlMs,
    clock: () => nowMs,
    peers,
    knownRevision: () => knownRevision,
    rosterNames: () => rosterNames
  })
  const receiveReport = (vm: string, report: Partial<PeerReport> = {}) => peers.recordReport({
    vm,
    incarnation: 1,
    sentAtMs: nowMs,
    knownRevision,
    confirmedAtMs: -Infinity,
    starting: false,
    draining: false,
    configVersion: 1,
    slotCount: 5,
    ...report
  })
  const advanceClock = (ms: number) => { nowMs += ms }
  return { contact, peers, receiveReport, advanceClock, nowMs: () => nowMs }
}

type Fixture = ReturnType<typeof createFixture>
type Case = { title: string, arrange: (fixture: Fixture, contact: Contact) => void, expected: ContactBasis }

const cases: Case[] = [
  { title: 'just started', arrange: () => {}, expected: 'starting' },
  {
    title: 'the platform has replied',
    arrange: ({ nowMs }, contact) => contact.recordPlatformConfirmation(nowMs()),
    expected: 'platform'
  },
  {
    title: 'the platform\'s reply has expired, counted from when the request was sent',
    arrange: ({ nowMs, advanceClock }, contact) => {
      contact.recordPlatformConfirmation(nowMs())
      advanceClock(ttlMs)
    },
    expected: 'silence'
  },
  {
    title: 'a peer forwards a recent confirmation',
    arrange: ({ receiveReport, nowMs }) => receiveReport('vm-2', { confirmedAtMs: nowMs() - 500 }),
    expected: 'peers'
  },
  {
    title: 'a peer forwards a confirmation that has expired on the way',
    arrange: ({ receiveReport, nowMs }) => receiveReport('vm-2', { confirmedAtMs: nowMs() - ttlMs }),
    expected: 'silence'
  },
  {
    title: 'the confirmation of a starting peer does not count',
    arrange: ({ receiveReport, nowMs }) => receiveReport('vm-2', { confirmedAtMs: nowMs(), starting: true }),
    expected: 'silence'
  },
  {
    title: 'a majority replies while the platform is silent',
    arrange: ({ receiveReport }) => ['vm-2', 'vm-3'].forEach(vm => receiveReport(vm)),
    expected: 'majority'
  },
  { title: 'less than a majority replies', arrange: ({ receiveReport }) => receiveReport('vm-2'), expected: 'silence' },
  {
    title: 'the majority\'s replies have expired',
    arrange: ({ receiveReport, advanceClock }) => {
      ['vm-2', 'vm-3', 'vm-4', 'vm-5'].forEach(vm => receiveReport(vm))
      advanceClock(ttlMs)
    },
    expected: 'silence'
  },
  {
    title: 'a newer revision was reported',
    arrange: ({ nowMs }, contact) => {
      contact.recordPlatformConfirmation(nowMs())
      contact.recordRevision(knownRevision + 1)
    },
    expected: 'newerRevision'
  },
  {
    title: 'a newer process with the same name is running',
    arrange: ({ nowMs, peers }, contact) => {
      contact.recordPlatformConfirmation(nowMs())
      peers.recordIncarnation('vm-1', 6)
    },
    expected: 'superseded'
  },
  {
    title: 'the host was paused together with its clock',
    arrange: ({ nowMs, receiveReport }, contact) => {
      contact.recordPlatformConfirmation(nowMs())
      ;['vm-2', 'vm-3'].forEach(vm => receiveReport(vm))
      contact.expire()
    },
    expected: 'silence'
  }
]

for (const { title, arrange, expected } of cases) {
  test(`${title}: ${expected}`, t => {
    const fixture = createFixture()
    if (expected !== 'starting') fixture.contact.completeStartup()
    arrange(fixture, fixture.contact)
    t.is(fixture.contact.basis(), expected)
    t.is(fixture.contact.isInContact(), ['platform', 'peers', 'majority'].includes(expected))
  })
}

test('a VM that is not in the roster is not in contact, even if the platform replies', t => {
  const fixture = createFixture(['vm-2', 'vm-3', 'vm-4'])
  fixture.contact.completeStartup()
  fixture.contact.recordPlatformConfirmation(fixture.nowMs())
  t.is(fixture.contact.basis(), 'notListed')
  t.false(fixture.contact.isInContact())
})
