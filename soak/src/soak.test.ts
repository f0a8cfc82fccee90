/**
 * A short soak with a fixed seed: gateway processes under faults, checked against what callers and databases recorded.
 */
import test from 'ava'
import { runSoak } from './soak.js'
import { checkSoakRecord, createSoakRecord } from './soak-record.js'

test('no guarantee is broken while processes, links, the store and databases fail', async t => {
  const options = { seed: 4, seconds: 8, gateways: 3, callers: 9 }
  const { breaches, done, logs } = await runSoak(options, line => t.log(line))
  t.deepEqual(breaches, [], `logs in ${logs}`)
  t.true(done > 100, `${done} done`)
})

test('no guarantee is broken while the store is restored from copies beside other faults', async t => {
  const options = { seed: 11, seconds: 8, gateways: 3, callers: 9, restores: 2 }
  const { breaches, done, logs } = await runSoak(options, line => t.log(line))
  t.deepEqual(breaches, [], `logs in ${logs}`)
  t.true(done > 100, `${done} done`)
})

/** A record with one write that its caller saw as `done`. */
const recordOfWrite = () => {
  const record = createSoakRecord()
  const sent = { text: 'WRITE a x', workspace: 'yard-a', sentMs: 0, values: '', transaction: '', mustSee: [] }
  record.sent.set('c1-1', sent)
  record.writes.push({ requestIds: ['c1-1'], outcome: 'done', receivedMs: 10 })
  return record
}

const noDroppedWrites = new Set<string>()

test('a lost confirmed write and a write applied twice are breaches; a write dropped by a promotion is not', t => {
  const lost = recordOfWrite()
  checkSoakRecord(lost, { kept: [], dropped: noDroppedWrites }, 5000)
  t.is(lost.breaches[0]?.promise, 'lost')
  const repeated = recordOfWrite()
  checkSoakRecord(repeated, { kept: ['c1-1', 'c1-1'], dropped: noDroppedWrites }, 5000)
  t.is(repeated.breaches[0]?.promise, 'twice')
  const dropped = recordOfWrite()
  checkSoakRecord(dropped, { kept: [], dropped: new Set(['c1-1']) }, 5000)
  t.deepEqual(dropped.breaches, [])
})

test('a write that took effect although its caller was told it had none is a breach', t => {
  const record = recordOfWrite()
  record.writes[0].outcome = 'nothingKept'
  checkSoakRecord(record, { kept: ['c1-1'], dropped: noDroppedWrites }, 5000)
  t.is(record.breaches[0]?.promise, 'refused')
})

const executedOnce = {
  database: 'db',
  connection: 1,
  workspace: 'yard-a',
  requestId: 'c1-1',
  text: 'WRITE a x',
  values: '',
  transaction: 0,
  missing: ''
}

test('a statement with a wrong text or session state, a stale read, and a withdrawn key are breaches', t => {
  for (const [change, promise] of [
    [{ text: 'WRITE b x' }, 'unasked'],
    [{ workspace: 'yard-b' }, 'unasked'],
    [{ values: 'zone=1' }, 'pinned'],
    [{ transaction: 3 }, 'pinned'],
    [{ missing: 'c0-1' }, 'stale']
  ] as const) {
    const record = recordOfWrite()
    record.executed.push({ ...executedOnce, ...change })
    checkSoakRecord(record, { kept: ['c1-1'], dropped: noDroppedWrites }, 5000)
    t.is(record.breaches[0]?.promise, promise)
  }
  const withdrawn = recordOfWrite()
  withdrawn.keyWithdrawnAtMs.set('yard-a', -5001)
  withdrawn.executed.push(executedOnce)
  checkSoakRecord(withdrawn, { kept: ['c1-1'], dropped: noDroppedWrites }, 5000)
  t.is(withdrawn.breaches[0]?.promise, 'withdrawn key')
})
