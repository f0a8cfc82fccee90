/**
 * Messages over the limit between two gateways: each fails alone, and the link and its other requests go on.
 */
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { sleepMs } from '@egretyoke/common'
import { listenGrpc } from '@egretyoke/protocol'
import type { RelayMessages } from '@egretyoke/protocol'
import { notRun } from '../coordination/sessions/statement.js'
import type { Member } from '../state/stored-records.js'
import { maxRelayMessageBytes } from './relay-encoding.js'
import { addRelayService, createRelayLinks } from './relay-links.js'
import type { RelayRequestHandler } from './relay-links.js'

const timeoutMs = 4000
const channels = { allowPlainText: false }
const tooLarge = 'x'.repeat(maxRelayMessageBytes + 1)

/** A link to a gateway that answers with the handler. */
const startLink = async (t: ExecutionContext, handle: RelayRequestHandler) => {
  const events: string[] = []
  const received: string[] = []
  const listener = await listenGrpc('127.0.0.1:0', { channels }, server => addRelayService(server, async request => {
    received.push(request.run?.requestId ?? 'other')
    return await handle(request)
  }, ({ name }) => events.push(`receiver ${name}`)))
  const links = createRelayLinks(channels, () => 2, ({ name }) => events.push(`sender ${name}`))
  t.teardown(async () => {
    links.close()
    await listener.close()
  })
  const peer: Member = {
    name: 'vm-2',
    dataCentre: 'dc-1',
    region: 'north',
    address: listener.address,
    incarnation: 'i',
    draining: false
  }
  return {
    events,
    received,
    run: async (run: RelayMessages.RunStatement) => await links.call(peer, { run }, timeoutMs)
  }
}

const slowly = async (request: RelayMessages.RelayRequest__Output) => {
  if (request.run?.requestId === 'slow') await sleepMs(300)
  const rows = request.run?.text === 'large' ? [tooLarge.slice(0, -10), 'x'] : []
  return { statement: { ...notRun(''), status: 'DONE' as const, rows } }
}

test('a request over the limit is not sent and fails alone', async t => {
  const { run, events, received } = await startLink(t, slowly)
  await run({ requestId: 'first' })
  const slow = run({ requestId: 'slow' })
  for (const large of [
    { text: tooLarge }, { shape: tooLarge }, { values: [1, 2, 3, 4, 5].map(name => ({ name: `${name}`, value: part })) }
  ]) {
    const reply = await run({ requestId: 'large', ...large })
    t.is(reply.err && reply.val.reason, 'tooLarge')
  }
  t.is((await slow).unwrap().statement?.status, 'DONE')
  t.deepEqual(received.filter(id => id !== 'other'), ['first', 'slow'])
  t.deepEqual(events, Array.from({ length: 3 }, () => 'sender messageTooLarge'))
})

const part = 'x'.repeat(1_000_000)

for (const { title, request, expected } of [
  { title: 'a read has failed', request: {}, expected: { status: 'FAILED', reason: 'tooLarge' } },
  {
    title: 'the outcome of a write is unknown',
    request: { access: 'WRITE' as const },
    expected: { status: 'UNKNOWN', reason: 'tooLarge' }
  },
  {
    title: 'the outcome of a commit is unknown',
    request: { access: 'WRITE' as const, verb: 'COMMIT' as const, transaction: 'CONTINUE' as const },
    expected: { status: 'UNKNOWN', reason: 'tooLarge' }
  },
  {
    title: 'a write in a transaction has not run, as the session rolls back',
    request: { access: 'WRITE' as const, transaction: 'CONTINUE' as const },
    expected: { status: 'NOT_RUN', reason: 'tooLarge', transactionOpen: false }
  }
] as const) {
  test(`a result over the limit fails alone: ${title}`, async t => {
    const { run, events } = await startLink(t, slowly)
    await run({ requestId: 'first' })
    const slow = run({ requestId: 'slow' })
    const reply = await run({ requestId: 'large', text: 'large', ...request })
    t.like(reply.unwrap().statement, expected)
    t.is((await slow).unwrap().statement?.status, 'DONE')
    t.deepEqual(events, ['receiver messageTooLarge'])
  })
}

test('messages of the limit are sent in both directions', async t => {
  const { run, events } = await startLink(t, async ({ run: statement }) =>
    ({ statement: { ...notRun(''), rows: [statement?.text ?? ''] } }))
  await run({ requestId: 'first' })
  const text = 'x'.repeat(maxRelayMessageBytes - 200)
  t.is((await run({ requestId: 'longest', text })).unwrap().statement?.rows[0], text)
  t.deepEqual(events, [])
})
