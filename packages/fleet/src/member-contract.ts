/**
 * Contract tests of a group member's control interface: cases that every implementation must pass. A failing case
 * throws an assertion error.
 */
import assert from 'node:assert/strict'
import { sleepMs } from '@egretyoke/common'
import type { GroupMember, MemberState } from './member.js'

const timeoutMs = 1_000
const shortTimeoutMs = 200
const maxWaitMs = 5_000
const pollPauseMs = 20

/** One member under test, in a group of at least three that starts in term 1. */
export type MemberSubject = {
  control: GroupMember
  /** Name and address passed to members that follow it. */
  upstream: { name: string, address: string }
  /** Isolates the member from all others, or reconnects it. */
  setIsolated: (isIsolated: boolean) => void
}

/** A group under test: its first primary, two replicas, and a write function. */
export type MemberGroupSubject = {
  primary: MemberSubject
  replica: MemberSubject
  other: MemberSubject
  /** Writes through a member in a term. Returns true when the member confirms the write. */
  write: (subject: MemberSubject, term: number) => Promise<boolean>
  close: () => Promise<void>
}

/** One case of the contract. */
export type MemberContractCase = { title: string, run: (group: MemberGroupSubject) => Promise<void> }

const stateOf = async (subject: MemberSubject): Promise<MemberState> =>
  (await subject.control.getStatus(timeoutMs)).unwrap()

const isAccepted = async (response: ReturnType<GroupMember['fence']>): Promise<boolean> =>
  (await response).unwrap().accepted

const waitUntil = async (subject: MemberSubject, description: string, condition: (state: MemberState) => boolean) => {
  for (let waitedMs = 0; waitedMs < maxWaitMs; waitedMs += pollPauseMs) {
    const status = await subject.control.getStatus(timeoutMs)
    if (status.ok && condition(status.val)) return
    await sleepMs(pollPauseMs)
  }
  assert.fail(`timed out waiting until ${description}`)
}

const transferPrimary = async (group: MemberGroupSubject, term: number, from: MemberSubject, to: MemberSubject) => {
  await to.control.fence(term, timeoutMs)
  await to.control.promote(term, timeoutMs)
  await from.control.follow(term, to.upstream, timeoutMs)
}

/** All contract cases. */
export const memberContractCases: MemberContractCase[] = [
  {
    title: 'a member reports its term, role and position',
    run: async ({ primary, replica, write }) => {
      assert.equal(await write(primary, 1), true)
      const state = await stateOf(primary)
      assert.deepEqual([state.term, state.isPrimary, state.receivedPosition, state.lastEntryTerm], [1, true, 1, 1])
      await waitUntil(replica, 'the replica has the entry', ({ receivedPosition }) => receivedPosition === 1)
      assert.equal((await stateOf(replica)).primaryName, primary.upstream.name)
    }
  },
  {
    title: 'a fenced primary rejects writes of its term and adds none to its log',
    run: async ({ primary, write }) => {
      assert.equal(await isAccepted(primary.control.fence(2, timeoutMs)), true)
      assert.equal(await write(primary, 1), false)
      const state = await stateOf(primary)
      assert.deepEqual([state.isPrimary, state.fencedTerm, state.receivedPosition], [false, 2, 0])
    }
  },
  {
    title: 'a fenced replica accepts no entry of an older term',
    run: async ({ primary, replica, other, write }) => {
      assert.equal(await isAccepted(replica.control.fence(2, timeoutMs)), true)
      await write(primary, 1)
      await waitUntil(other, 'the other replica has the entry', ({ receivedPosition }) => receivedPosition === 1)
      assert.equal((await stateOf(replica)).receivedPosition, 0)
    }
  },
  {
    title: 'fence, promote and follow requests of older terms are refused, repeated ones accepted',
    run: async group => {
      const { primary, replica } = group
      await transferPrimary(group, 3, primary, replica)
      assert.equal(await isAccepted(replica.control.fence(2, timeoutMs)), false)
      assert.equal(await isAccepted(primary.control.follow(2, replica.upstream, timeoutMs)), false)
      assert.equal(await isAccepted(replica.control.promote(2, timeoutMs)), false)
      assert.equal(await isAccepted(replica.control.follow(2, primary.upstream, timeoutMs)), false)
      assert.equal(await isAccepted(replica.control.fence(3, timeoutMs)), true)
      assert.equal(await isAccepted(replica.control.promote(3, timeoutMs)), true)
      assert.equal(await isAccepted(primary.control.follow(3, replica.upstream, timeoutMs)), true)
      assert.equal((await stateOf(replica)).isPrimary, true)
    }
  },
  {
    title: 'a promoted member starts its term after its last log entry, and its lineage shows it',
    run: async group => {
      const { primary, replica, write } = group
      await write(primary, 1)
      await waitUntil(replica, 'the replica has the entry', ({ receivedPosition }) => receivedPosition === 1)
      await transferPrimary(group, 2, primary, replica)
      assert.equal(await write(replica, 2), true)
      const { lineage, lastEntryTerm } = await stateOf(replica)
      assert.deepEqual(lineage.at(-1), { term: 2, startPosition: 1 })
      assert.equal(lastEntryTerm, 2)
      assert.equal(await write(replica, 1), false)
    }
  },
  {
    title: 'an old primary that becomes a replica truncates entries that the new term does not keep',
    run: async group => {
      const { primary, replica, other, write } = group
      await replica.control.fence(2, timeoutMs)
      await other.control.fence(2, timeoutMs)
      await write(primary, 1)
      await write(primary, 1)
      assert.equal((await stateOf(primary)).receivedPosition, 2)
      await replica.control.promote(2, timeoutMs)
      await write(replica, 2)
      await primary.control.follow(2, replica.upstream, timeoutMs)
      await waitUntil(primary, 'the old primary has the new log', ({ receivedPosition, lastEntryTerm }) =>
        receivedPosition === 1 && lastEntryTerm === 2)
    }
  },
  {
    title: 'a missing reply is an error that leaves the effect of the request open',
    run: async ({ primary }) => {
      primary.setIsolated(true)
      for (const response of [
        await primary.control.getStatus(shortTimeoutMs),
        await primary.control.fence(2, shortTimeoutMs),
        await primary.control.promote(2, shortTimeoutMs),
        await primary.control.follow(2, primary.upstream, shortTimeoutMs)
      ]) assert.equal(response.err && response.val.reason, 'noAnswer')
      primary.setIsolated(false)
      await waitUntil(primary, 'the member replies again', () => true)
    }
  }
]
