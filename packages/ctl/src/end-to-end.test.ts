/**
 * Operators and callers on a fleet of separate processes: a change that the command line reports as in force applies to
 * all callers.
 */
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { connectCaller } from '@egretyoke/client'
import type { Outcome } from '@egretyoke/client'
import { exitCodes, sleepMs } from '@egretyoke/common'
import { smallFleet, startFleet } from '@egretyoke/testbed'
import { runCtl } from './program.js'

const reads = { access: 'read' as const }

/** A read from a lagging replica misses writes that the session's token does not cover. */
const replicationLagMs = 500
const maxReads = 200

const start = async (t: ExecutionContext) => {
  const fleet = await startFleet({ ...smallFleet(3), replicationLagMs })
  t.teardown(fleet.close)
  const ctl = async (...args: string[]) => {
    let out = ''
    const output = { out: (text: string) => { out += text }, err: () => {} }
    const options = ['--platform', fleet.platformAddress(), '--json']
    const exitCode = await runCtl([...options, ...args], { output, signal: new AbortController().signal })
    return { exitCode, data: JSON.parse(out) }
  }
  const connect = (key: string) => {
    const caller = connectCaller({ addresses: fleet.callerAddresses(), key })
    t.teardown(caller.close)
    return caller
  }
  return { fleet, ctl, connect }
}

const resultOf = (outcome: Outcome): string => outcome.kind === 'done' ? outcome.result.toString() : outcome.kind

test('a key is valid on all VMs after key create --wait, and on none after key withdraw --wait', async t => {
  const { fleet, ctl, connect } = await start(t)
  const created = await ctl('key', 'create', 'yard-1', 'second', '--wait')
  t.is(created.exitCode, exitCodes.ok)
  t.deepEqual(created.data.missing, [])
  const caller = connect(created.data.key)
  for (const address of fleet.callerAddresses()) {
    const direct = connectCaller({ addresses: [address], key: created.data.key })
    t.is((await direct.execute('read', 'get berth', reads)).kind, 'done', address)
    direct.close()
  }

  const step: { outcome: Outcome | undefined } = { outcome: undefined }
  const { outcome } = await caller.transact('write', async transaction => {
    t.is((await transaction.execute('add berth 100 op=withdrawn')).kind, 'done')
    t.is((await ctl('key', 'withdraw', 'yard-1', 'second', '--wait')).exitCode, exitCodes.ok)
    step.outcome = await transaction.execute('add berth 100 op=late')
  })
  t.like(step.outcome, { kind: 'notRun', reason: 'keyRefused' })
  t.like(outcome, { kind: 'notRun', reason: 'keyRefused' })
  for (const address of fleet.callerAddresses()) {
    const direct = connectCaller({ addresses: [address], key: created.data.key })
    t.like(await direct.execute('read', 'get berth', reads), { kind: 'notRun', reason: 'keyRefused' }, address)
    direct.close()
  }
  const statements = (await fleet.readLog('db-1')).flatMap(entry => entry.statements)
  t.false(statements.some(statement => statement.includes('berth 100')), 'the transaction was rolled back')
})

test('a session with concurrent writes reads all of them, also from replicas', async t => {
  const { fleet, connect } = await start(t)
  const caller = connect(fleet.keyOf('yard-1'))
  const writes = Array.from({ length: 20 }, (_, index) => caller.execute('write', `add berth 1 op=w${index}`))
  t.deepEqual((await Promise.all(writes)).map(outcome => outcome.kind), writes.map(() => 'done'))
  let fromReplicas = 0
  for (let count = 0; count < maxReads && fromReplicas < 10; count++) {
    const outcome = await caller.execute('read', 'get berth', reads)
    t.is(resultOf(outcome), '20')
    if (outcome.kind === 'done' && outcome.fromReplica) fromReplicas++
    await sleepMs(10)
  }
  t.true(fromReplicas > 0, 'the entries accept the merged token')

  let rows = 0
  for await (const chunk of caller.stream('read', 'scan berth rows=500', reads)) rows += chunk.length
  t.true(rows > 0)
  const { outcome, value } = await caller.transact('write', async transaction => {
    await transaction.execute('add berth 5 op=t1')
    return resultOf(await transaction.execute('get berth'))
  })
  t.is(outcome.kind, 'done')
  t.is(value, '25')
  t.is(resultOf(await caller.execute('read', 'get berth', reads)), '25')
})

test('callers are served while a data centre is out of service and while a VM drains', async t => {
  const { fleet, ctl, connect } = await start(t)
  const caller = connect(fleet.keyOf('yard-1'))
  const kinds = new Set<string>()
  const stop = new AbortController()
  t.teardown(() => stop.abort())
  const calling = (async () => {
    while (!stop.signal.aborted) {
      const outcome = await caller.execute('read', 'get berth', reads)
      kinds.add(outcome.kind === 'notRun' ? outcome.reason : outcome.kind)
      await sleepMs(10)
    }
  })()
  const out = await ctl('data-centre', 'out', 'dc-2', '--wait')
  t.like(out, { exitCode: exitCodes.ok, data: { missing: [] } })
  await sleepMs(3000)
  await ctl('data-centre', 'in', 'dc-2', '--wait')
  await fleet.terminate('vm-3')
  await sleepMs(500)
  stop.abort()
  await calling
  t.deepEqual([...kinds], ['done'])
})
