/**
 * Kills and freezes of whole processes. Guards against writes that are lost, repeated or wrongly reported as not run
 * while VMs die and the primary changes, and against statements of an unfinished transaction that take effect.
 */
import test from 'ava'
import { sleepMs } from '@egretyoke/common'
import { smallFleet, startFleet } from '@egretyoke/testbed'
import type { Fleet } from '@egretyoke/testbed'
import { connectRawCaller, openRawTransaction, outcomeOf } from './caller-streams.js'
import { checkWrites, countOperations, noWriteFindings } from './write-checker.js'
import { countOutcomes, runWrites } from './write-load.js'

const seed = 53
const settleMs = 2_000

const unlimitedFleet = () => {
  const description = smallFleet(3)
  for (const workspace of Object.values(description.configuration.workspaces)) {
    workspace.ratePerSec = 100_000
    workspace.burst = 100_000
  }
  return description
}

const primaryOf = async (fleet: Fleet): Promise<string> => {
  const members = await Promise.all(fleet.databaseNames().map(name => fleet.readMemberStatus(name)))
  return members.filter(member => member.isPrimary).sort((a, b) => b.term - a.term)[0].name
}

test('no write is lost, repeated or wrongly reported as not run when VMs are killed and a frozen primary is replaced',
  async t => {
    const fleet = await startFleet(unlimitedFleet())
    try {
      const writes = runWrites({
        addresses: fleet.callerAddresses(),
        key: fleet.keyOf('yard-1'),
        seed,
        callerCount: 20,
        writesPerCaller: 60,
        maxPauseMs: 250,
        timeoutMs: 2_000
      })
      await sleepMs(500)
      await fleet.kill('vm-1')
      await sleepMs(500)
      await fleet.restart('vm-1')
      fleet.freeze('db-1')
      await fleet.kill('vm-2')
      await sleepMs(4_000)
      fleet.thaw('db-1')
      await fleet.restart('vm-2')
      const reported = await writes
      await sleepMs(settleMs)
      const primary = await primaryOf(fleet)
      t.log(countOutcomes(reported), primary)
      t.not(primary, 'db-1')
      t.deepEqual(checkWrites(reported, await fleet.readLog(primary)), noWriteFindings)
      t.true(countOutcomes(reported).done > 200)
    } finally {
      await fleet.close()
    }
  })

test('a transaction whose VM is killed before the commit has no effect, at any step', async t => {
  const fleet = await startFleet(unlimitedFleet(), { withoutStewards: true })
  try {
    for (const [index, steps] of [0, 1, 3].entries()) {
      const client = connectRawCaller(fleet.callerAddress('vm-1'))
      const transaction = openRawTransaction(client, { route: 'write', key: fleet.keyOf('yard-1') })
      t.is(outcomeOf(await transaction.begin()).kind, 'done')
      for (let step = 0; step < steps; step++) await transaction.execute(`add berth 1 op=dead-${index}-${step}`)
      await fleet.kill('vm-1')
      t.is(await transaction.commit(), undefined)
      client.close()
      const other = connectRawCaller(fleet.callerAddress('vm-2'))
      const nextTransaction = openRawTransaction(other, { route: 'write', key: fleet.keyOf('yard-1') })
      await nextTransaction.begin()
      await nextTransaction.execute(`add berth 1 op=alive-${index}`)
      t.is(outcomeOf(await nextTransaction.commit()).kind, 'done')
      other.close()
      await fleet.restart('vm-1')
      await fleet.waitReady(['vm-1'])
    }
    const ops = [...countOperations(await fleet.readLog('db-1')).keys()]
    t.deepEqual(ops, ['alive-0', 'alive-1', 'alive-2'])
  } finally {
    await fleet.close()
  }
})
