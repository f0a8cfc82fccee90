/**
 * Fuzzes the replies of an endpoint. Guards against a request that accepts chunks or an end of another request or of
 * an earlier connection generation, and against an answer with missing or repeated chunks that counts as complete.
 */
import test from 'ava'
import type { ServerDuplexStream } from '@grpc/grpc-js'
import fc from 'fast-check'
import { createEndpointConnector } from '@egretyoke/fleet'
import { endpointProto, listenGrpc, loopbackChannels } from '@egretyoke/protocol'
import type { EndpointMessages } from '@egretyoke/protocol'

type Request = EndpointMessages.Request__Output
type Reply = EndpointMessages.Reply
type Script = Array<{ idOffset: number, generationOffset: number, part: Partial<Reply> }>

const seed = 61
const fuzzRuns = 250
const timeoutMs = 2_000

const replyPart: fc.Arbitrary<Partial<Reply>> = fc.oneof(
  fc.record({ chunk: fc.record({ rows: fc.uint8Array({ maxLength: 20 }).map(bytes => Buffer.from(bytes)) }) }),
  fc.record({
    end: fc.record({
      verdict: fc.constantFrom('DONE' as const, 'DECLINED' as const, 'FAILED' as const, 'UNCONFIRMED' as const),
      result: fc.uint8Array({ maxLength: 20 }).map(bytes => Buffer.from(bytes)),
      position: fc.nat()
    })
  }),
  fc.constant({})
)
const offset = fc.constantFrom(0, 0, 0, 1, -1)

/** Numbers the request's own chunks as a correct endpoint does, or with the given numbers. */
const numberChunks = (script: Script, numbers: readonly number[] | undefined): Script => {
  let count = 0
  return script.map((reply, index) => {
    const { chunk, end } = reply.part
    if (end) return { ...reply, part: { end: { ...end, chunkCount: numbers?.[index] ?? count } } }
    if (!chunk) return reply
    const ownIndex = isOwn(reply) ? count++ : 0
    return { ...reply, part: { chunk: { ...chunk, index: numbers?.[index] ?? ownIndex } } }
  })
}
const isOwn = ({ idOffset, generationOffset }: Script[number]) => idOffset === 0 && generationOffset === 0

const arbitraryNumbers = fc.array(fc.nat(3), { minLength: 8, maxLength: 8 })
const scripts: fc.Arbitrary<Script> = fc.tuple(
  fc.array(fc.record({ idOffset: offset, generationOffset: offset, part: replyPart }), { maxLength: 8 }),
  fc.oneof(fc.constant(undefined), arbitraryNumbers)
).map(([script, numbers]) => numberChunks(script, numbers))

/** Starts an endpoint that opens connections normally and answers every request with the replies of the script. */
const startEndpoint = (script: () => Script) => listenGrpc('127.0.0.1:0', { channels: loopbackChannels }, server => {
  server.addService(endpointProto.Endpoint.service, {
    Connect: (stream: ServerDuplexStream<Request, Reply>) => {
      stream.on('error', () => {})
      stream.on('data', ({ requestId, generation, open }: Request) => {
        if (open) return stream.write({ requestId, generation, end: { verdict: 'DONE' } })
        for (const { idOffset, generationOffset, part } of script()) {
          stream.write({
            requestId: Math.max(0, requestId + idOffset),
            generation: Math.max(0, generation + generationOffset),
            ...part
          })
        }
        stream.end()
      })
    }
  })
})

/** Expected result: the rows before the request's own end, and that end if the answer is complete. */
const expectedResultOf = (script: Script) => {
  const rows: Buffer[] = []
  const result = (end: EndpointMessages.End | undefined) => ({ end, rows: Buffer.concat(rows).toString('hex') })
  for (const { part: { chunk, end } } of script.filter(isOwn)) {
    if (end) return result(end.chunkCount === rows.length ? end : undefined)
    if (chunk && chunk.index === rows.length) rows.push(chunk.rows as Buffer)
    else if (chunk && Number(chunk.index) > rows.length) return result(undefined)
  }
  return result(undefined)
}

test('for any replies of an endpoint, a request gets its own complete answer or an error', async t => {
  let currentScript: Script = []
  let completeAnswers = 0
  let errors = 0
  const listener = await startEndpoint(() => currentScript)
  const connector = createEndpointConnector({ address: listener.address, group: 'any', channels: loopbackChannels })
  try {
    await fc.assert(fc.asyncProperty(scripts, async script => {
      currentScript = script
      const opened = await connector.open(timeoutMs)
      if (!opened.ok) throw new Error(opened.val.message)
      const rows: Buffer[] = []
      const outcome = await opened.val.run({
        kind: 'execute',
        statement: Buffer.from('get berth'),
        writes: false,
        expectedTerm: 1,
        confirmation: 'primary',
        timeoutMs,
        streamed: true
      }, timeoutMs, async chunk => {
        rows.push(chunk.rows)
        return true
      })
      const expected = expectedResultOf(script)
      const receivedRows = Buffer.concat(rows).toString('hex')
      opened.val.close()
      if (!outcome.ok) {
        errors++
        return expected.rows.startsWith(receivedRows)
      }
      completeAnswers++
      if (!expected.end) return false
      const { verdict, result, position } = expected.end
      return receivedRows === expected.rows && outcome.val.verdict === String(verdict).toLowerCase() &&
        outcome.val.result.equals(result as Buffer) && outcome.val.position === position
    }), { seed, numRuns: fuzzRuns })
    t.log({ whole: completeAnswers, errors })
    t.true(completeAnswers > 0 && errors > 0)
  } finally {
    connector.close()
    await listener.close()
  }
})
