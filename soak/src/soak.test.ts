/**
 * A short soak with a fixed seed: gateway processes under faults, checked against what callers and databases recorded.
 */
import test from 'ava'
import { runSoakOnce } from './soak.js'
import { checkSoakRecord, createSoakRecord } from './soak-record.js'

test('no guarantee is broken while processes, links, the store and databases fail', async t => {
  const plan = { seed: 4, seconds: 8, gateways: 3, callers: 9 }
  const { breaches, done, logs } = await runSoakOnce(plan, line => t.log(line))
  t.deepEqual(breaches, [], `logs in ${logs}`)
  t.true(done > 100, `${done} done`)
})

/** A record with one write that its caller saw as `done`. */
const recordOfWrite = () => {
  const record = createSoakRecord()
  const sent = { text: 'WRITE a x', workspace: 'yard-a', sentMs: 0, values: '', transaction: '', mustSee: [] }
  record.sent.set('c1-1', sent)
  record.writes.push({ requestIds: ['c1-1'], outcome: 'done', answeredMs: 10 })
  return record
}

const noCutBack = new Set<string>()

test('a lost confirmed write and a write applied twice are breaches; a truncated write is not', t => {
  const lost = recordOfWrite()
  checkSoakRecord(lost, { kept: [], cutBack: noCutBack }, 5000)
  t.is(lost.breaches[0]?.promise, 'lost')
  const twice = recordOfWrite()
  checkSoakRecord(twice, { kept: ['c1-1', 'c1-1'], cutBack: noCutBack }, 5000)
  t.is(twice.breaches[0]?.promise, 'twice')
  const cutBack = recordOfWrite()
  checkSoakRecord(cutBack, { kept: [], cutBack: new Set(['c1-1']) }, 5000)
  t.deepEqual(cutBack.breaches, [])
})

test('a write that took effect although its caller was told it had none is a breach', t => {
  const record = recordOfWrite()
  record.writes[0].outcome = 'nothingKept'
  checkSoakRecord(record, { kept: ['c1-1'], cutBack: noCutBack }, 5000)
  t.is(record.breaches[0]?.promise, 'refused')
})

const ranOnce = {
  database: 'db',
  connection: 1,
  workspace: 'yard-a',
  requestId: 'c1-1',
  text: 'WRITE a x',
  values: '',
  transaction: 0,
  lacked: ''
}

test('a statement with a wrong text or session state, a stale read, and a withdrawn key are breaches', t => {
  for (const [change, promise] of [
    [{ text: 'WRITE b x' }, 'unasked'],
    [{ workspace: 'yard-b' }, 'unasked'],
    [{ values: 'zone=1' }, 'pinned'],
    [{ transaction: 3 }, 'pinned'],
    [{ lacked: 'c0-1' }, 'stale']
  ] as const) {
    const record = recordOfWrite()
    record.ran.push({ ...ranOnce, ...change })
    checkSoakRecord(record, { kept: ['c1-1'], cutBack: noCutBack }, 5000)
    t.is(record.breaches[0]?.promise, promise)
  }
  const withdrawn = recordOfWrite()
  withdrawn.withdrawnMs.set('yard-a', -5001)
  withdrawn.ran.push(ranOnce)
  checkSoakRecord(withdrawn, { kept: ['c1-1'], cutBack: noCutBack }, 5000)
  t.is(withdrawn.breaches[0]?.promise, 'withdrawn key')
})
