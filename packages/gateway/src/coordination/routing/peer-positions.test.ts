/**
 * Log positions that other gateways send: only positions are used, anything else counts as unknown.
 */
import test from 'ava'
import fc from 'fast-check'
import { Ok } from '@egretyoke/common'
import { createAgeClock } from '../../state/contact.js'
import { isPosition } from '../../state/position.js'
import { createHolderEnvironment, writeRequest } from '../../testing/holder-environment.js'
import { sampleFromPeer } from '../primaries/group-positions.js'
import { createRelayHandler } from './relay-handler.js'
import type { RelayHandlerOptions } from './relay-handler.js'
import type { RelayReply } from './relay-calls.js'
import { createStatementRouter } from './statement-router.js'
import type { RouterOptions, TransactionLocation } from './statement-router.js'
import { notRun } from '../sessions/statement.js'

const part = fc.constantFrom('1', '.', ' ', '\r\n', 'NaN', 'e', '-', '999999999999999', '')
const anyText = fc.oneof(
  fc.string({ unit: 'binary' }), fc.array(part, { maxLength: 5 }).map(parts => parts.join('')), fc.constant('3.1207')
)

test('a statement whose own position is none is not run, and any other one is', async t => {
  const { holder, group } = createHolderEnvironment({ storeMs: 0, transactionIdleMs: 1000 })
  const options = { holders: { run: holder.run } } as unknown as RelayHandlerOptions
  const handle = createRelayHandler(options)
  let sent = 0
  await fc.assert(fc.asyncProperty(anyText, async ownPosition => {
    const run = writeRequest({ requestId: `r${sent++}`, ownPosition })
    const reply = await handle({ number: '1', run } as unknown as Parameters<typeof handle>[0])
    const isUsable = ownPosition === '' || isPosition(ownPosition)
    t.like(reply?.statement, isUsable ? { status: 'DONE' } : { status: 'NOT_RUN', reason: 'lagging' })
    t.is(group.executed.some(({ requestId }) => requestId === run.requestId), isUsable)
  }), { seed: 29, numRuns: 300 })
  holder.close()
})

test('a reply to a request for a position is a sample if it holds a position, and unknown otherwise', t => {
  const requestedAt = createAgeClock(() => 50, () => 70).now()
  fc.assert(fc.property(anyText, position => {
    const sample = sampleFromPeer({ position, ageMs: 20 }, requestedAt)
    t.deepEqual(sample, isPosition(position) ? { position, coversUntil: { monotonicMs: 30, wallMs: 50 } } : undefined)
  }), { seed: 29, numRuns: 1000 })
  t.is(sampleFromPeer(undefined, requestedAt), undefined)
})

// Guards against a position that was read for a request and seems older than the request, by the time that it took.
test('the age of a position is counted back from the arrival of the request for it', async t => {
  const time = { nowMs: 100 }
  const clock = createAgeClock(() => time.nowMs, () => time.nowMs)
  const requested: number[] = []
  const replyTo = async (readAtMs: number, maxAgeMs?: number) => {
    time.nowMs = 100
    const readPosition = async (_group: string, requestedMs: number) => {
      requested.push(requestedMs)
      time.nowMs = 140
      return { position: '1.7', coversUntil: { monotonicMs: readAtMs, wallMs: readAtMs } }
    }
    const handle = createRelayHandler({ clock, readPosition } as unknown as RelayHandlerOptions)
    const askPosition = { group: 'g', ...maxAgeMs !== undefined && { maxAgeMs } }
    return (await handle({ number: '1', askPosition } as unknown as Parameters<typeof handle>[0]))?.position
  }
  t.deepEqual(await replyTo(110, 0), { position: '1.7', ageMs: 0 })
  t.deepEqual(await replyTo(70, 60), { position: '1.7', ageMs: 30 })
  // A gateway of an earlier version names no age.
  t.deepEqual(await replyTo(70), { position: '1.7', ageMs: 30 })
  t.deepEqual(requested, [0, 60, 150])
})

// Guards against a confirmed write whose position is lost among others, so that its session reads without it.
test('a reply of a holder whose position is none counts as lost, and any other one is used', async t => {
  const state = { position: '' }
  const relay = {
    call: async () => Ok({ statement: { ...notRun(''), status: 'DONE', position: state.position } } as RelayReply)
  }
  const self = { name: 'vm-1', dataCentre: 'quay', region: 'north' }
  const router = createStatementRouter({ self, relay } as unknown as RouterOptions)
  const location = { database: 'db-1', holder: { name: 'vm-2' } } as TransactionLocation
  await fc.assert(fc.asyncProperty(anyText, async position => {
    state.position = position
    const isUsable = position === '' || isPosition(position)
    const write = await router.continueTransaction(writeRequest({ requestId: 'w' }), location)
    t.like(write, isUsable ? { status: 'DONE', position } : { status: 'UNKNOWN', reason: 'holderSilent', position: '' })
    const read = await router.continueTransaction(writeRequest({ requestId: 'r', access: 'READ' }), location)
    t.like(read, isUsable ? { status: 'DONE', position } : { status: 'NOT_RUN', reason: 'holderSilent', position: '' })
  }), { seed: 29, numRuns: 300 })
})
