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

const createWorld = (rosterNames: readonly string[] = roster) => {
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
  const hear = (vm: string, report: Partial<PeerReport> = {}) => peers.note({
    vm,
    incarnation: 1,
    askedAtMs: nowMs,
    knownRevision,
    confirmedAtMs: -Infinity,
    starting: false,
    draining: false,
    configVersion: 1,
    slotCount: 5,
    ...report
  })
  const pass = (ms: number) => { nowMs += ms }
  return { contact, peers, hear, pass, nowMs: () => nowMs }
}

type World = ReturnType<typeof createWorld>
type Case = { title: string, bring: (world: World, contact: Contact) => void, expected: ContactBasis }

const cases: Case[] = [
  { title: 'just started', bring: () => {}, expected: 'starting' },
  {
    title: 'the platform has replied',
    bring: ({ nowMs }, contact) => contact.notePlatformAnswer(nowMs()),
    expected: 'platform'
  },
  {
    title: 'the platform\'s reply has expired, counted from when the request was sent',
    bring: ({ nowMs, pass }, contact) => {
      contact.notePlatformAnswer(nowMs())
      pass(ttlMs)
    },
    expected: 'silence'
  },
  {
    title: 'a peer forwards a recent confirmation',
    bring: ({ hear, nowMs }) => hear('vm-2', { confirmedAtMs: nowMs() - 500 }),
    expected: 'peers'
  },
  {
    title: 'a peer forwards a confirmation that has expired on the way',
    bring: ({ hear, nowMs }) => hear('vm-2', { confirmedAtMs: nowMs() - ttlMs }),
    expected: 'silence'
  },
  {
    title: 'the confirmation of a starting peer does not count',
    bring: ({ hear, nowMs }) => hear('vm-2', { confirmedAtMs: nowMs(), starting: true }),
    expected: 'silence'
  },
  {
    title: 'a majority replies while the platform is silent',
    bring: ({ hear }) => ['vm-2', 'vm-3'].forEach(vm => hear(vm)),
    expected: 'majority'
  },
  { title: 'less than a majority replies', bring: ({ hear }) => hear('vm-2'), expected: 'silence' },
  {
    title: 'the majority\'s replies have expired',
    bring: ({ hear, pass }) => {
      ['vm-2', 'vm-3', 'vm-4', 'vm-5'].forEach(vm => hear(vm))
      pass(ttlMs)
    },
    expected: 'silence'
  },
  {
    title: 'a newer revision was reported',
    bring: ({ nowMs }, contact) => {
      contact.notePlatformAnswer(nowMs())
      contact.noteRevision(knownRevision + 1)
    },
    expected: 'newerRevision'
  },
  {
    title: 'a newer process with the same name is running',
    bring: ({ nowMs, peers }, contact) => {
      contact.notePlatformAnswer(nowMs())
      peers.noteIncarnation('vm-1', 6)
    },
    expected: 'superseded'
  },
  {
    title: 'the host was paused together with its clock',
    bring: ({ nowMs, hear }, contact) => {
      contact.notePlatformAnswer(nowMs())
      ;['vm-2', 'vm-3'].forEach(vm => hear(vm))
      contact.expire()
    },
    expected: 'silence'
  }
]

for (const { title, bring, expected } of cases) {
  test(`${title}: ${expected}`, t => {
    const world = createWorld()
    if (expected !== 'starting') world.contact.noteStarted()
    bring(world, world.contact)
    t.is(world.contact.basis(), expected)
    t.is(world.contact.isInContact(), ['platform', 'peers', 'majority'].includes(expected))
  })
}

test('a VM that is not in the roster is not in contact, even if the platform replies', t => {
  const world = createWorld(['vm-2', 'vm-3', 'vm-4'])
  world.contact.noteStarted()
  world.contact.notePlatformAnswer(world.nowMs())
  t.is(world.contact.basis(), 'notListed')
  t.false(world.contact.isInContact())
})
