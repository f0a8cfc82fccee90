/**
 * The caller library against entries that return given answers, answer out of order, end calls early, or don't answer.
 */
import { createServer } from 'node:net'
import { crc32 } from 'node:zlib'
import { status } from '@grpc/grpc-js'
import test from 'ava'
import { isOutcomeError } from './index.js'
import type { Outcome } from './index.js'
import { connect, done, startEntry } from './test-entry.js'
import type { Answer, StreamCall } from './test-entry.js'

const token = (complete: boolean, groups: Record<string, { term: number, position: number }>): Buffer => {
  const body = Buffer.from(JSON.stringify({ v: 1, complete, groups }))
  const checksum = Buffer.alloc(4)
  checksum.writeUInt32BE(crc32(body))
  return Buffer.concat([checksum, body])
}

const outcomes: Array<{ title: string, answer: Answer, outcome: Outcome }> = [
  {
    title: 'done',
    answer: done('rows', { endpoint: 'db-1', fromReplica: true }),
    outcome: { kind: 'done', result: Buffer.from('rows'), endpoint: 'db-1', fromReplica: true }
  },
  {
    title: 'notRun',
    answer: { notRun: { reason: 'rate', retryAfterMs: 40 } },
    outcome: { kind: 'notRun', reason: 'rate', retryAfterMs: 40 }
  },
  {
    title: 'outcomeUnknown',
    answer: { outcomeUnknown: { reason: 'unconfirmed' } },
    outcome: { kind: 'outcomeUnknown', reason: 'unconfirmed' }
  },
  {
    title: 'failed',
    answer: { failed: { reason: 'endpointError', detail: 'no table' } },
    outcome: { kind: 'failed', reason: 'endpointError', detail: 'no table' }
  },
  { title: 'an answer without outcome', answer: {}, outcome: { kind: 'outcomeUnknown', reason: 'emptyAnswer' } }
]

for (const { title, answer, outcome } of outcomes) {
  test(`outcome: ${title}`, async t => {
    const entry = await startEntry(t, { execute: () => answer })
    const caller = connect(t, [entry.address])
    t.deepEqual(await caller.execute('book-slot', 'x', { profile: 'booking', timeoutMs: 900 }), outcome)
    const { headers } = entry.requests[0]
    t.like(headers, { 'egretyoke-key': 'ek_x', 'egretyoke-route': 'book-slot', 'egretyoke-profile': 'booking' })
    t.true(Number(headers['egretyoke-timeout-ms']) <= 900)
  })
}

test('a session sends its latest token, and the new-session header only before its first answer', async t => {
  const entry = await startEntry(t, { execute: (_seen, count) => done('', { sessionToken: Buffer.from(`t${count}`) }) })
  const caller = connect(t, [entry.address])
  await caller.execute('a', 'x')
  await caller.execute('a', 'x')
  const resumed = caller.session(caller.state())
  await resumed.execute('a', 'x')
  await caller.session().execute('a', 'x')
  const sentHeaders = entry.requests.map(({ headers }) =>
    [headers['egretyoke-session-bin']?.toString(), headers['egretyoke-new-session']])
  t.deepEqual(sentHeaders, [[undefined, '1'], ['t1', undefined], ['t2', undefined], [undefined, '1']])
})

test('tokens of concurrent requests are merged', async t => {
  const tokens = [
    token(true, { a: { term: 1, position: 9 }, b: { term: 1, position: 1 } }),
    token(true, { a: { term: 2, position: 3 }, c: { term: 1, position: 4 } }),
    token(false, { a: { term: 1, position: 1 }, b: { term: 1, position: 5 } })
  ]
  let releaseAnswers: Array<() => void> = []
  const entry = await startEntry(t, {
    execute: async (_seen, count) => {
      const sessionToken = tokens[count - 1]
      if (sessionToken) await new Promise<void>(resolve => { releaseAnswers.push(resolve) })
      return done('', { sessionToken })
    }
  })
  const caller = connect(t, [entry.address])
  const running = tokens.map(() => caller.execute('a', 'x'))
  while (releaseAnswers.length < tokens.length) await new Promise(resolve => setTimeout(resolve, 5))
  releaseAnswers.forEach(resolve => resolve())
  releaseAnswers = []
  await Promise.all(running)
  await caller.execute('a', 'x')
  const merged = entry.requests[3].headers['egretyoke-session-bin'] as Buffer
  const body = merged.subarray(4)
  t.is(merged.readUInt32BE(), crc32(body))
  t.deepEqual(JSON.parse(body.toString()), {
    v: 1,
    complete: false,
    // Group c is dropped: the incomplete token may lack a later write to it.
    groups: { a: { term: 2, position: 3 }, b: { term: 1, position: 5 } }
  })
})

test('a session sends unsettled-write after a write with unknown outcome until a primary has answered', async t => {
  const answers: Answer[] = [
    done('1'),
    { outcomeUnknown: { reason: 'timeout' } },
    { notRun: { reason: 'rate' } },
    done('2', { fromReplica: true }),
    done('3'),
    done('4')
  ]
  const entry = await startEntry(t, { execute: (_seen, count) => answers[count - 1] })
  const caller = connect(t, [entry.address])
  for (const index of answers.keys()) await caller.execute('a', String(index), { access: index > 1 ? 'read' : 'write' })
  const unsettledHeaders = entry.requests.map(({ headers }) => headers['egretyoke-unsettled-write'])
  t.deepEqual(unsettledHeaders, [undefined, undefined, '1', '1', '1', undefined])
})

const faults: Array<{ title: string, options: object, calls: number, outcome: object }> = [
  {
    title: 'an interrupted write has an unknown outcome and is not retried',
    options: {},
    calls: 1,
    outcome: { kind: 'outcomeUnknown', reason: 'connectionLost' }
  },
  { title: 'an interrupted read is retried', options: { access: 'read' }, calls: 2, outcome: { kind: 'done' } },
  {
    title: 'an interrupted repeatable write is retried',
    options: { isRepeatable: true },
    calls: 2,
    outcome: { kind: 'done' }
  }
]

for (const { title, options, calls, outcome } of faults) {
  test(title, async t => {
    let count = 0
    const execute = () => ++count === 1 ? undefined : done('ok')
    const entries = await Promise.all([startEntry(t, { execute }), startEntry(t, { execute })])
    const caller = connect(t, entries.map(entry => entry.address))
    t.like(await caller.execute('a', 'x', options), outcome)
    t.is(count, calls)
  })
}

for (const reason of ['draining', 'outOfContact', 'rate']) {
  test(`refused with ${reason}: ${reason === 'rate' ? 'returned to the caller' : 'retried on another VM'}`, async t => {
    const refusing = await startEntry(t, { execute: () => ({ notRun: { reason, retryAfterMs: 5 } }) })
    const serving = await startEntry(t, { execute: () => done('ok') })
    const caller = connect(t, [refusing.address, serving.address])
    const kinds = new Set<string>()
    for (let count = 0; count < 10; count++) kinds.add((await caller.execute('a', 'x')).kind)
    t.deepEqual([...kinds].sort(), reason === 'rate' ? ['done', 'notRun'] : ['done'])
    if (reason !== 'rate') t.true(refusing.requests.length <= 2, 'a VM that refused is skipped during its cool-down')
  })
}

test('without a reachable VM a request is not run', async t => {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as { port: number }
  await new Promise(resolve => server.close(resolve))
  const caller = connect(t, [`127.0.0.1:${port}`], { timeoutMs: 200 })
  t.deepEqual(await caller.execute('a', 'x'), { kind: 'notRun', reason: 'notConnected', retryAfterMs: 0 })
})

test('a write that times out has an unknown outcome', async t => {
  const entry = await startEntry(t, { execute: () => new Promise(() => {}) })
  const caller = connect(t, [entry.address])
  t.deepEqual(await caller.execute('a', 'x', { timeoutMs: 200 }), { kind: 'outcomeUnknown', reason: 'timeout' })
  t.true(caller.state().isUnsettled)
})

const readAll = async (rows: AsyncIterable<Buffer>): Promise<{ text: string, error: unknown }> => {
  let text = ''
  try {
    for await (const chunk of rows) text += chunk.toString()
    return { text, error: undefined }
  } catch (error) {
    return { text, error }
  }
}

test('a complete stream ends without an error', async t => {
  const entry = await startEntry(t, {
    stream: call => {
      for (const chunk of ['a', 'b', 'c']) call.write({ chunk: Buffer.from(chunk) })
      call.write({ end: done('', { sessionToken: Buffer.from('after') }) })
      call.end()
    }
  })
  const caller = connect(t, [entry.address])
  t.deepEqual(await readAll(caller.stream('a', 'x', { access: 'read' })), { text: 'abc', error: undefined })
  t.is(caller.state().token?.toString(), 'after')
})

const incompleteStreams: Record<string, { finish: (call: StreamCall) => void, outcome: Partial<Outcome> }> = {
  'ends without an end part': {
    finish: call => call.end(),
    outcome: { kind: 'outcomeUnknown', reason: 'answerCut' }
  },
  'breaks off': {
    finish: call => { call.emit('error', { code: status.UNAVAILABLE, details: '' }) },
    outcome: { kind: 'outcomeUnknown', reason: 'connectionLost' }
  },
  'ends with a failure': {
    finish: call => {
      call.write({ end: { failed: { reason: 'slowReader' } } })
      call.end()
    },
    outcome: { kind: 'failed', reason: 'slowReader' }
  }
}

for (const [title, { finish, outcome }] of Object.entries(incompleteStreams)) {
  test(`a stream that ${title} throws after its rows`, async t => {
    const entry = await startEntry(t, {
      stream: call => {
        call.write({ chunk: Buffer.from('a') })
        setTimeout(() => finish(call), 50)
      }
    })
    const { text, error } = await readAll(connect(t, [entry.address]).stream('a', 'x', { access: 'read' }))
    t.is(text, 'a')
    t.true(isOutcomeError(error))
    t.like(isOutcomeError(error) ? error.outcome : {}, outcome)
    t.is(entry.requests.length, 1, 'not retried after rows were yielded')
  })
}

test('a stream is cancelled when its reader stops', async t => {
  let cancel = () => {}
  const cancelled = new Promise<void>(resolve => { cancel = resolve })
  const entry = await startEntry(t, {
    stream: call => {
      call.on('cancelled', cancel)
      call.write({ chunk: Buffer.from('a') })
    }
  })
  const rows = connect(t, [entry.address]).stream('a', 'x')
  t.is((await rows.next()).value?.toString(), 'a')
  await rows.return({ kind: 'done', result: Buffer.alloc(0), endpoint: '', fromReplica: false })
  await cancelled
})
