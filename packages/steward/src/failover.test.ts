import { monotonicMs, sleepMs } from '@egretyoke/common'
import test from 'ava'
import {
  assertReplicatedEverywhere, contactTtlMs, eventually, startTestFleet, writeUntilConfirmed
} from './test-fleet.js'

test.serial('creates the record of a group and the roster, and replaces a primary that has crashed', async t => {
  const fleet = await startTestFleet()
  t.teardown(fleet.close)
  await fleet.addSteward('vm-1')
  await fleet.untilServing(1)
  t.like(await fleet.group(), { term: 1, primary: 'core-a', phase: 'active', lineage: [{ term: 1, startPosition: 0 }] })
  await eventually('roster', async () => (await fleet.roster()).length === 3)
  t.true(await fleet.entries[0].write('core', 'put k 1', 'MAJORITY'))
  await fleet.members.get('core-a')!.database.close()
  await fleet.untilServing(2)
  const record = await fleet.group()
  t.is(record?.lineage.at(-1)?.startPosition, 1)
  t.true(await fleet.entries[1].write('core', 'put k 2', 'MAJORITY'))
  t.deepEqual(await fleet.logOf(record!.primary), ['put k 1', 'put k 2'])
})

test.serial('replaces the primaries of two groups at once, also after the first steward has ended', async t => {
  const fleet = await startTestFleet({ groups: ['core', 'side'] })
  t.teardown(fleet.close)
  const first = await fleet.addSteward('vm-1')
  await Promise.all([fleet.untilServing(1, 'core'), fleet.untilServing(1, 'side')])
  await fleet.addSteward('vm-2')
  await Promise.all(['core-a', 'side-a'].map(name => fleet.members.get(name)!.database.close()))
  await first.close()
  await Promise.all([fleet.untilServing(2, 'core'), fleet.untilServing(2, 'side')])
  t.true(await fleet.entries[0].write('side', 'put k 1', 'MAJORITY'))
  t.true(await fleet.entries[0].write('core', 'put k 1', 'MAJORITY'))
})

test.serial('promotes the most advanced replica', async t => {
  const fleet = await startTestFleet()
  t.teardown(fleet.close)
  await fleet.addSteward('vm-1')
  await fleet.untilServing(1)
  const behind = fleet.members.get('core-b')!
  behind.link.setFault({ cut: true })
  await fleet.stopReplication('core-b', true)
  const statement = await writeUntilConfirmed(fleet, 'put k 1')
  behind.link.setFault({ cut: false })
  await fleet.members.get('core-a')!.database.close()
  await fleet.stopReplication('core-b', false)
  await fleet.untilServing(2)
  t.is((await fleet.group())?.primary, 'core-c')
  t.deepEqual(await fleet.logOf('core-c'), [statement])
})

test.serial('confirms no write of an isolated primary that still accepts writes from one entry', async t => {
  const fleet = await startTestFleet({ directEntries: 1 })
  t.teardown(fleet.close)
  await fleet.addSteward('vm-1')
  await fleet.untilServing(1)
  const [, , isolatedEntry] = fleet.entries
  const kept = await writeUntilConfirmed(fleet, 'put k before')
  let isReplaced = false
  const confirmedLate: string[] = []
  const attempted: string[] = []
  const writeContinuously = async () => {
    for (let count = 0; !isReplaced || count < 20; count++) {
      const statement = `put k cut-off-${count}`
      const wasReplaced = (await fleet.group())?.term !== 1 && (await fleet.group())?.phase === 'active'
      if (await isolatedEntry.write('core', statement, 'PRIMARY') && wasReplaced) confirmedLate.push(statement)
      attempted.push(statement)
      await sleepMs(5)
    }
  }
  fleet.members.get('core-a')!.link.setFault({ cut: true })
  isolatedEntry.cutOff(true)
  const writing = writeContinuously()
  await fleet.untilServing(2)
  isReplaced = true
  const added = await writeUntilConfirmed(fleet, 'put k after')
  await writing
  t.deepEqual(confirmedLate, [])
  t.true((await fleet.logOf('core-a')).some(statement => attempted.includes(statement)))

  fleet.members.get('core-a')!.link.setFault({ cut: false })
  await assertReplicatedEverywhere(fleet, ['core-a', 'core-b', 'core-c'], [kept, added])
  t.false((await fleet.logOf('core-a')).some(statement => attempted.includes(statement)))
})

for (const cause of ['data centre out', 'endpoint leaving']) {
  test.serial(`hands a primary over without losing a write: ${cause}`, async t => {
    const fleet = await startTestFleet()
    t.teardown(fleet.close)
    // A long detection time, so that a stalled test machine does not cause a failover in addition to the handover.
    await fleet.addSteward('vm-1', {}, { detectMs: 20_000, leaseTtlMs: 10_000 })
    await fleet.untilServing(1)
    const confirmed: string[] = []
    let isOver = false
    let lastMs = monotonicMs()
    let longestGapMs = 0
    const writeContinuously = async () => {
      for (let count = 0; !isOver; count++) {
        const statement = `put k ${count}`
        if (!await fleet.entries[0].write('core', statement, 'PRIMARY')) {
          await sleepMs(5)
          continue
        }
        confirmed.push(statement)
        longestGapMs = Math.max(longestGapMs, monotonicMs() - lastMs)
        lastMs = monotonicMs()
      }
    }
    await sleepMs(contactTtlMs + 200)
    lastMs = monotonicMs()
    const writing = writeContinuously()
    await sleepMs(200)
    if (cause === 'endpoint leaving') await fleet.setVms(['core-a'])
    else await fleet.configure(['north'])
    await eventually('another primary', () => fleet.isActive(({ primary }) => primary !== 'core-a'))
    await sleepMs(300)
    isOver = true
    await writing
    const record = await fleet.group()
    t.not(record?.primary, 'core-a')
    const log = await fleet.logOf(record!.primary)
    t.deepEqual(confirmed.filter(statement => !log.includes(statement)), [])
    t.log(`longest gap in confirmed writes: ${Math.round(longestGapMs)} ms`)
  })
}
