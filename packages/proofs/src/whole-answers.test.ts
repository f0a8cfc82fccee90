/**
 * Guards against answers that reach the wrong caller, incomplete streams that are reported as complete, and streams
 * that are retried after rows were sent. Endpoints delay, reorder and duplicate replies and cut streams to provoke
 * these failures.
 */
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { createRandom } from '@egretyoke/common'
import { connectMember } from '@egretyoke/fleet'
import { loopbackChannels } from '@egretyoke/protocol'
import { setDatabaseFault } from '@egretyoke/testbed'
import type { DatabaseFault } from '@egretyoke/testbed'
import { connectRawCaller, executeRaw, outcomeOf, streamRaw } from './caller-streams.js'
import type { RawCaller } from './caller-streams.js'
import { eventually, startLocalFleet } from './local-fleet.js'

const seed = 11
const keyCount = 60
const callerCount = 20
const requestsPerCaller = 20
const rowCount = 450

const faults: Record<string, DatabaseFault> = {
  'replies in order': {},
  'replies delayed past the next one': { reorderReplies: 0.2 },
  'replies later than some deadlines': { delayMs: 40 },
  'streams cut in the middle': { cutStreams: 0.2 },
  'all of these at once': { reorderReplies: 0.1, cutStreams: 0.1, delayMs: 10 }
}

const duplicationFaults: Record<string, DatabaseFault> = {
  'replies duplicated': { doubleReplies: 0.5 },
  'replies duplicated and reordered': { doubleReplies: 0.3, reorderReplies: 0.2 }
}

const valueOf = (index: number) => `value-of-${index}`
const expectedRows = (index: number) =>
  Array.from({ length: rowCount }, (_, row) => `key-${index}:${row}=${valueOf(index)}`)

const storeValues = async (client: RawCaller, key: string) => {
  for (let index = 0; index < keyCount; index++) {
    const answer = await executeRaw(client, { route: 'write', key }, `put key-${index} ${valueOf(index)} op=${index}`)
    const { kind, reason } = outcomeOf(answer)
    if (kind !== 'done') throw new Error(`key-${index}: ${kind} ${reason}`)
  }
}

/** Runs reads and streams with each fault in turn and checks every answer. */
const checkAnswers = async (
  t: ExecutionContext,
  faultsByName: Record<string, DatabaseFault>,
  streamShare: number
) => {
  const fleet = await startLocalFleet({
    vmCount: 1,
    edit: configuration => {
      configuration.workspaces['yard-1'].ratePerSec = 100_000
      configuration.workspaces['yard-1'].burst = 100_000
      configuration.profiles.session.maxConcurrency = 10_000
    }
  })
  const client = connectRawCaller(fleet.callerAddress('vm-1'))
  const key = fleet.keyOf('yard-1')

  const runRequests = async (name: string) => {
    const random = createRandom(seed)
    const counts = { completeReads: 0, failedReads: 0, completeStreams: 0, cutStreams: 0 }
    const read = async () => {
      const index = random.integer(0, keyCount - 1)
      const timeoutMs = random.pick([60, 200, 400])
      const fields = { route: 'read', key, timeoutMs, isNewSession: random.chance(0.5) }
      const answer = await executeRaw(client, fields, `get key-${index}`)
      if (outcomeOf(answer).kind !== 'done') return counts.failedReads++
      const value = String(answer!.done!.result)
      // A lagging replica may not have the key yet, but must never return the value of another key.
      if (value !== '') t.is(value, valueOf(index), name)
      counts.completeReads++
    }
    const stream = async () => {
      const index = random.integer(0, keyCount - 1)
      const { rows, end } = await streamRaw(client, { route: 'read', key, timeoutMs: 400 },
        `scan key-${index} rows=${rowCount}`)
      const isComplete = outcomeOf(end).kind === 'done'
      t.deepEqual(rows, isComplete ? expectedRows(index) : expectedRows(index).slice(0, rows.length), name)
      if (isComplete) counts.completeStreams++
      else counts.cutStreams++
    }
    const worker = async () => {
      for (let remaining = requestsPerCaller; remaining > 0; remaining--) {
        if (random.chance(streamShare)) await stream()
        else await read()
      }
    }
    await Promise.all(Array.from({ length: callerCount }, worker))
    t.log(name, counts)
    t.true(counts.completeReads > 0, name)
  }

  try {
    await storeValues(client, key)
    for (const [name, fault] of Object.entries(faultsByName)) {
      for (const database of fleet.databaseNames) await setDatabaseFault(fleet.databaseAddress(database), fault)
      await runRequests(name)
    }
  } finally {
    client.close()
    await fleet.close()
  }
}

test('each caller gets the complete answer to its own request, or none', t => checkAnswers(t, faults, 0.1))

test('each caller gets its own answer when endpoints duplicate replies', t => checkAnswers(t, duplicationFaults, 0))

test('each caller gets correct rows when endpoints duplicate chunks', t => checkAnswers(t, duplicationFaults, 0.2))

test('a stream is not retried at the primary after rows were sent to the caller', async t => {
  const fleet = await startLocalFleet({
    vmCount: 1, edit: configuration => { configuration.profiles.session.timeoutMs = 30_000 }
  })
  const client = connectRawCaller(fleet.callerAddress('vm-1'))
  const key = fleet.keyOf('yard-1')
  const newPrimary = connectMember(fleet.databaseAddress('db-2'), loopbackChannels)
  const longRowCount = 40_000
  const statement = `scan berth rows=${longRowCount}`
  /** Starts a term whose log begins empty, so that the replicas must discard all that they hold. */
  const replacePrimary = async () => {
    await newPrimary.promote(2, 1_000)
    const lineage = [{ term: 1, startPosition: 0 }, { term: 2, startPosition: 0 }]
    await fleet.putGroupRecord({ term: 2, primary: 'db-2', phase: 'active', lineage })
  }
  try {
    const longValue = 'free'.repeat(50)
    const written = await executeRaw(client, { route: 'write', key, isNewSession: true }, `put berth ${longValue} op=1`)
    const token = written!.sessionToken
    await eventually('a replica has the write', async () =>
      (await executeRaw(client, { route: 'read', key, token }, 'get berth'))?.fromReplica === true)
    let chunks = 0
    const { rows, end } = await streamRaw(client, { route: 'read', key, token }, statement,
      async () => {
        if (++chunks > 1) return
        await replacePrimary()
        await eventually('the new term is active', async () =>
          (await executeRaw(client, { route: 'read', key }, 'get gate'))?.endpoint === 'db-2')
      })
    t.log({ rows: rows.length, endpoint: end?.endpoint })
    t.true(rows.length <= longRowCount)
    t.deepEqual(outcomeOf(end), { kind: 'outcomeUnknown', reason: 'primaryReplaced' })
  } finally {
    newPrimary.close()
    client.close()
    await fleet.close()
  }
})

test('a VM that reports ready admits requests at once', async t => {
  const fleet = await startLocalFleet({ vmCount: 1 })
  const client = connectRawCaller(fleet.callerAddress('vm-1'))
  try {
    const answer = await executeRaw(client, { route: 'write', key: fleet.keyOf('yard-1') }, 'add berth 1 op=1')
    t.deepEqual(outcomeOf(answer), { kind: 'done', reason: '' })
  } finally {
    client.close()
    await fleet.close()
  }
})
