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

const part: fc.Arbitrary<Partial<Reply>> = fc.oneof(
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
const numbered = (script: Script, numbers: readonly number[] | undefined): Script => {
  let count = 0
  return script.map((reply, index) => {
    const { chunk, end } = reply.part
    if (end) return { ...reply, part: { end: { ...end, chunkCount: numbers?.[index] ?? count } } }
    if (!chunk) return reply
    const own = isOwn(reply) ? count++ : 0
    return { ...reply, part: { chunk: { ...chunk, index: numbers?.[index] ?? own } } }
  })
}
const isOwn = ({ idOffset, generationOffset }: Script[number]) => idOffset === 0 && generationOffset === 0

const anyNumbers = fc.array(fc.nat(3), { minLength: 8, maxLength: 8 })
const scripts: fc.Arbitrary<Script> = fc.tuple(
  fc.array(fc.record({ idOffset: offset, generationOffset: offset, part }), { maxLength: 8 }),
  fc.oneof(fc.constant(undefined), anyNumbers)
).map(([script, numbers]) => numbered(script, numbers))

/** Starts an endpoint that opens connections normally and answers every request with the replies of the script. */
const startScripted = (script: () => Script) => listenGrpc('127.0.0.1:0', { channels: loopbackChannels }, server => {
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
const expectedOf = (script: Script) => {
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
  let current: Script = []
  let whole = 0
  let errors = 0
  const listener = await startScripted(() => current)
  const connector = createEndpointConnector({ address: listener.address, group: 'any', channels: loopbackChannels })
  try {
    await fc.assert(fc.asyncProperty(scripts, async script => {
      current = script
      const opened = await connector.open(timeoutMs)
      if (!opened.ok) throw new Error(opened.val.message)
      const rows: Buffer[] = []
      const ran = await opened.val.run({
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
      const expected = expectedOf(script)
      const taken = Buffer.concat(rows).toString('hex')
      opened.val.close()
      if (!ran.ok) {
        errors++
        return expected.rows.startsWith(taken)
      }
      whole++
      if (!expected.end) return false
      const { verdict, result, position } = expected.end
      return taken === expected.rows && ran.val.verdict === String(verdict).toLowerCase() &&
        ran.val.result.equals(result as Buffer) && ran.val.position === position
    }), { seed, numRuns: fuzzRuns })
    t.log({ whole, errors })
    t.true(whole > 0 && errors > 0)
  } finally {
    connector.close()
    await listener.close()
  }
})
