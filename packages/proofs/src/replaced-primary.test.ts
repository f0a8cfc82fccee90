/**
 * Guards against a write that a replaced primary confirms: its answers are held back on a frozen link until another
 * primary has been promoted, and only then reach the VMs.
 */
import test from 'ava'
import { readDatabaseStats, readLog, setDatabaseFault } from '@egretyoke/testbed'
import { connectRawCaller, executeRaw, openRawTransaction, outcomeOf } from './caller-streams.js'
import { eventually, startLocalFleet } from './local-fleet.js'
import { checkWrites, countOperations } from './write-checker.js'
import type { ReportedOutcome } from './write-checker.js'

const writeCount = 18
const timeoutMs = 30_000
/** Duration of a write at the old primary; the link is frozen before the answers are sent. */
const writeDurationMs = 1_500

test('an answer of the old primary that arrives after the promotion does not confirm a write', async t => {
  const fleet = await startLocalFleet({
    stewardCount: 3,
    edit: configuration => {
      Object.assign(configuration.profiles.session, { confirmation: 'primary', timeoutMs })
      configuration.groups['group-1'].endpoints['db-1'].slots = writeCount * 2
    }
  })
  const clients = fleet.callerAddresses().map(connectRawCaller)
  const fields = { route: 'write', key: fleet.keyOf('yard-1'), timeoutMs }
  try {
    const firstWrite = await executeRaw(clients[0], { ...fields, isNewSession: true }, 'add berth 1 op=before')
    t.is(outcomeOf(firstWrite).kind, 'done')
    const transaction = openRawTransaction(clients[1], fields)
    await transaction.begin()
    await transaction.execute('add quay 1 op=transaction')

    await setDatabaseFault(fleet.databaseAddress('db-1'), { delayMs: writeDurationMs })
    const reported = new Map<string, ReportedOutcome>()
    const confirmedByOldPrimary: number[] = []
    const writes = Array.from({ length: writeCount }, async (_, index) => {
      const answer = await executeRaw(clients[index % clients.length], fields, `add berth 1 op=late-${index}`)
      reported.set(`late-${index}`, outcomeOf(answer).kind as ReportedOutcome)
      if (answer?.done && answer.endpoint === 'db-1') confirmedByOldPrimary.push(index)
    })
    await eventually('the old primary runs the writes', async () =>
      (await readDatabaseStats(fleet.databaseAddress('db-1'))).running > 2)
    fleet.databaseLink('db-1').setFault({ frozen: true })
    const commitAnswer = transaction.commit()
    await eventually('the old primary has run the writes', async () =>
      countOperations(await readLog(fleet.databaseAddress('db-1'))).size > 2)
    const reportedAfterPromotion = new Map<string, ReportedOutcome>()
    await eventually('another primary confirms a write', async () => {
      const op = `after-${reportedAfterPromotion.size}`
      const answer = await executeRaw(clients[2], { ...fields, timeoutMs: 1_000 }, `add berth 1 op=${op}`)
      reportedAfterPromotion.set(op, outcomeOf(answer).kind as ReportedOutcome)
      return answer?.done !== undefined && answer?.endpoint !== 'db-1'
    })
    fleet.databaseLink('db-1').setFault({ frozen: false })
    await Promise.all(writes)
    t.log(Object.fromEntries(reported))
    t.deepEqual(confirmedByOldPrimary, [])
    t.true([...reported.values()].includes('outcomeUnknown'))
    t.not(outcomeOf(await commitAnswer).kind, 'done')
    const log = await readLog(fleet.databaseAddress('db-2'))
    t.deepEqual(checkWrites(new Map([...reported, ...reportedAfterPromotion]), log).falselyNotRun, [])
    t.deepEqual(checkWrites(new Map([...reported, ...reportedAfterPromotion]), log).lostConfirmed, [])
    t.false(countOperations(log).has('transaction'))
  } finally {
    for (const client of clients) client.close()
    await fleet.close()
  }
})
