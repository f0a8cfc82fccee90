/**
 * Guards against callers that harm others by misuse: with invalid or oversized requests, by reading slowly, by
 * vanishing in the middle of a call, or with malformed messages and raw bytes on any port.
 */
import test from 'ava'
import { randomBytes } from 'node:crypto'
import { connect } from 'node:net'
import { Client, credentials } from '@grpc/grpc-js'
import fc from 'fast-check'
import { sleepMs, splitAddress } from '@egretyoke/common'
import { startLink } from '@egretyoke/standins'
import {
  callerMetadata, connectRawCaller, executeRaw, openRawTransaction, outcomeOf, streamRaw
} from './caller-streams.js'
import type { CallerFields, RawCaller } from './caller-streams.js'
import { eventually, startLocalFleet } from './local-fleet.js'
import type { LocalFleet } from './local-fleet.js'

const seed = 71
const fuzzRuns = 150
const maxStatementBytes = 1_000
const maxOpenTransactions = 5
const slowReaderMs = 300
const callTimeoutMs = 2_000

const startLimitedFleet = () => startLocalFleet({
  vmCount: 1,
  entrySettings: { limits: { maxStatementBytes, maxOpenTransactions, slowReaderMs, transactionIdleMs: 300 } },
  edit: configuration => {
    configuration.workspaces['yard-1'].ratePerSec = 10_000
    configuration.workspaces['yard-1'].burst = 10_000
    configuration.profiles.session.timeoutMs = callTimeoutMs
  }
})

const readOpenCalls = async (fleet: LocalFleet): Promise<number> => {
  const metrics = await (await fetch(`http://${fleet.healthAddress('vm-1')}/metrics`)).text()
  return Number(/^egretyoke_open_calls (\d+)/m.exec(metrics)?.[1] ?? NaN)
}

type Case = {
  name: string
  run: (client: RawCaller, fields: CallerFields, fleet: LocalFleet) => Promise<unknown>
  /** Outcome and reason that the caller gets; undefined when it disconnects before the answer. */
  expected: string | undefined
}

const runStatement = (text: string | Buffer, change: CallerFields = {}): Case['run'] => async (client, fields) => {
  const { kind, reason } = outcomeOf(await executeRaw(client, { ...fields, ...change }, text))
  return reason === '' ? kind : `${kind} ${reason}`
}

const runWithMetadata = (name: string, value: string): Case['run'] => (client, fields) => new Promise(resolve => {
  const metadata = callerMetadata(fields)
  metadata.set(name, value)
  client.Execute({ text: Buffer.from('get berth') }, metadata, (_error, answer) => resolve(outcomeOf(answer).kind))
})

const cases: Case[] = [
  {
    name: 'statement beyond the limit',
    run: runStatement('x'.repeat(maxStatementBytes + 1)),
    expected: 'notRun statementTooLarge'
  },
  { name: 'statement beyond the message limit', run: runStatement(Buffer.alloc(100_000)), expected: 'lost' },
  { name: 'empty statement', run: runStatement(''), expected: 'notRun invalidRequest' },
  { name: 'statement of random bytes', run: runStatement(randomBytes(500)), expected: 'failed endpointError' },
  { name: 'unknown route', run: runStatement('get berth', { route: 'nowhere' }), expected: 'notRun unknownRoute' },
  { name: 'unknown profile', run: runStatement('get berth', { profile: 'none' }), expected: 'notRun unknownProfile' },
  { name: 'no key', run: runStatement('get berth', { key: undefined }), expected: 'notRun keyMissing' },
  { name: 'damaged token', run: runStatement('get berth', { token: randomBytes(60) }), expected: 'done' },
  { name: 'oversized token', run: runStatement('get berth', { token: randomBytes(9_000) }), expected: 'done' },
  { name: 'timeout that is not a number', run: runWithMetadata('egretyoke-timeout-ms', 'soon'), expected: 'done' },
  { name: 'negative timeout', run: runWithMetadata('egretyoke-timeout-ms', '-5'), expected: 'done' },
  { name: 'infinite timeout', run: runWithMetadata('egretyoke-timeout-ms', '1e999'), expected: 'done' },
  {
    name: 'transaction on a read route',
    run: async (client, fields) => {
      const transaction = openRawTransaction(client, fields)
      const beginOutcome = outcomeOf(await transaction.begin())
      transaction.cancel()
      return `${beginOutcome.kind} ${beginOutcome.reason}`
    },
    expected: 'notRun invalidRequest'
  },
  {
    name: 'more transactions than the limit',
    run: async (client, fields) => {
      const open = Array.from({ length: maxOpenTransactions }, () =>
        openRawTransaction(client, { ...fields, route: 'write' }))
      await Promise.all(open.map(transaction => transaction.begin()))
      const outcome = outcomeOf(await openRawTransaction(client, { ...fields, route: 'write' }).begin())
      for (const transaction of open) transaction.cancel()
      return `${outcome.kind} ${outcome.reason}`
    },
    expected: 'notRun tooManyTransactions'
  },
  {
    name: 'slow reader',
    run: async (client, fields) => {
      let chunks = 0
      const { end } = await streamRaw(client, fields, 'scan wide rows=50000', async () => {
        if (++chunks === 1) await sleepMs(slowReaderMs * 3)
      })
      return `${outcomeOf(end).kind} ${outcomeOf(end).reason}`
    },
    expected: 'failed slowReader'
  },
  {
    name: 'caller that disconnects in the middle of an answer',
    run: async (client, fields) => {
      const call = client.Stream({ text: Buffer.from('scan wide rows=50000') }, callerMetadata(fields))
      call.on('error', () => {})
      await new Promise(resolve => call.once('data', resolve))
      call.cancel()
    },
    expected: undefined
  },
  {
    name: 'caller that disconnects while its statement runs',
    run: async (client, fields) => {
      const call = client.Execute({ text: Buffer.from('get berth costMs=200') }, callerMetadata(fields), () => {})
      await sleepMs(50)
      call.cancel()
    },
    expected: undefined
  },
  {
    name: 'caller that disconnects in the middle of a transaction',
    run: async (client, fields) => {
      const transaction = openRawTransaction(client, { ...fields, route: 'write' })
      await transaction.begin()
      await transaction.execute('put berth vanished op=vanished')
      transaction.cancel()
    },
    expected: undefined
  },
  {
    name: 'caller whose connection is cut during a statement, a stream and a transaction',
    run: async (_client, fields, fleet) => {
      const target = fleet.callerAddress('vm-1')
      const link = await startLink({ listen: '127.0.0.1:0', control: '127.0.0.1:0', target, delayMs: 0 })
      const cutClient = connectRawCaller(link.address)
      const calls = [
        executeRaw(cutClient, fields, 'get berth costMs=200'),
        streamRaw(cutClient, fields, 'scan wide rows=50000', async () => { await sleepMs(20) }),
        openRawTransaction(cutClient, { ...fields, route: 'write' }).begin()
      ]
      await sleepMs(50)
      link.setFault({ cut: true })
      await Promise.all(calls)
      cutClient.close()
      await link.close()
    },
    expected: undefined
  }
]

test('misuse gets a typed refusal or an end, and harms nobody else', async t => {
  const fleet = await startLimitedFleet()
  const client = connectRawCaller(fleet.callerAddress('vm-1'))
  const other = connectRawCaller(fleet.callerAddress('vm-1'))
  const fields = { route: 'read', key: fleet.keyOf('yard-1') }
  try {
    const writeFields = { ...fields, route: 'write', isNewSession: true }
    const written = await executeRaw(other, writeFields, `put wide ${'w'.repeat(400)}`)
    t.is(outcomeOf(written).kind, 'done')
    const session = { ...fields, token: written!.sessionToken }
    await eventually('a replica serves', async () =>
      (await executeRaw(other, session, 'get wide'))?.fromReplica === true)
    for (const { name, run, expected } of cases) {
      t.is(await run(client, fields, fleet) ?? undefined, expected, name)
      const read = await executeRaw(other, session, 'get wide')
      t.is(outcomeOf(read).kind, 'done', `${name}: other callers are still served`)
      t.true(read!.fromReplica, `${name}: other callers are still served by replicas`)
      await eventually(`${name}: no call is left open`, async () => await readOpenCalls(fleet) === 0)
    }
    t.is(String((await executeRaw(other, fields, 'get berth'))!.done!.result), '')
  } finally {
    client.close()
    other.close()
    await fleet.close()
  }
})

const methods = [
  '/egretyoke.caller.v1.Caller/Execute', '/egretyoke.caller.v1.Caller/Stream', '/egretyoke.caller.v1.Caller/Transact',
  '/egretyoke.peer.v1.Peer/Heartbeat', '/egretyoke.peer.v1.Peer/FetchState', '/egretyoke.peer.v1.Peer/Borrow',
  '/egretyoke.peer.v1.Peer/StopConfirming', '/egretyoke.caller.v1.Caller/Nothing', '/'
]

test('malformed messages and raw bytes on every port affect no other caller', async t => {
  const fleet = await startLimitedFleet()
  const caller = connectRawCaller(fleet.callerAddress('vm-1'))
  const addresses = [fleet.callerAddress('vm-1'), fleet.peerAddress('vm-1')]
  const clients = addresses.map(address => new Client(address, credentials.createInsecure()))
  const sendMessage = (client: Client, method: string, bytes: Buffer) => new Promise<void>(resolve => {
    const deadline = Date.now() + callTimeoutMs
    const call = client.makeUnaryRequest(method, (value: Buffer) => value, (value: Buffer) => value, bytes,
      { deadline }, () => resolve())
    call.on('status', () => resolve())
  })
  const sendRaw = (address: string, bytes: Buffer) => new Promise<void>(resolve => {
    const { host, port } = splitAddress(address)
    const socket = connect(port, host, () => socket.end(bytes))
    socket.on('error', () => resolve())
    socket.on('close', () => resolve())
    socket.resume()
    setTimeout(() => socket.destroy(), 100)
  })
  try {
    const bytes = fc.uint8Array({ maxLength: 300 }).map(array => Buffer.from(array))
    await fc.assert(fc.asyncProperty(fc.constantFrom(...methods), fc.nat(1), bytes, async (method, at, message) => {
      await sendMessage(clients[at], method, message)
    }), { seed, numRuns: fuzzRuns })
    const preface = Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n')
    const ports = fc.constantFrom(...addresses, fleet.healthAddress('vm-1'))
    await fc.assert(fc.asyncProperty(ports, fc.boolean(), bytes, async (address, hasPreface, raw) => {
      await sendRaw(address, hasPreface ? Buffer.concat([preface, raw]) : raw)
    }), { seed, numRuns: 40 })
    const answer = await executeRaw(caller, { route: 'write', key: fleet.keyOf('yard-1') }, 'add berth 1 op=after')
    t.deepEqual(outcomeOf(answer), { kind: 'done', reason: '' })
    await eventually('no call is left open', async () => await readOpenCalls(fleet) === 0)
  } finally {
    for (const client of clients) client.close()
    caller.close()
    await fleet.close()
  }
})
