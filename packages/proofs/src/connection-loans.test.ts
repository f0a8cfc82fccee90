/**
 * The connection limit of an endpoint holds for the whole fleet, and VMs lend their shares to each other as they do
 * for rates. Guards against a VM that cannot use idle shares of its peers, and against loans that exceed the limit in
 * total.
 */
import test from 'ava'
import { sleepMs } from '@egretyoke/common'
import { readDatabaseStats } from '@egretyoke/testbed'
import { connectRawCaller, openRawTransaction, outcomeOf } from './caller-streams.js'
import { startLocalFleet } from './local-fleet.js'

const vmCount = 3
const maxConnections = 6
const transactionCount = 5

test('a VM borrows connections that its peers do not need, and never exceeds the limit of the endpoint',
  async t => {
    const fleet = await startLocalFleet({
      vmCount,
      edit: configuration => {
        for (const endpoint of Object.values(configuration.groups['group-1'].endpoints)) {
          endpoint.maxConnections = maxConnections
        }
        configuration.workspaces['yard-1'].ratePerSec = 1_000
        configuration.workspaces['yard-1'].burst = 1_000
        configuration.profiles.session.timeoutMs = 20_000
      }
    })
    const key = fleet.keyOf('yard-1')
    const client = connectRawCaller(fleet.callerAddress('vm-1'))
    try {
      const transactions = Array.from({ length: transactionCount }, () =>
        openRawTransaction(client, { key, route: 'write', profile: 'session' }))
      const beginAnswers = await Promise.all(transactions.map(transaction => transaction.begin()))
      t.deepEqual(beginAnswers.map(answer => outcomeOf(answer).kind), Array(transactionCount).fill('done'))
      // Longer than the duration of a loan, so that the loans must have been renewed.
      await sleepMs(2_500)
      const statistics = await readDatabaseStats(fleet.databaseAddress('db-1'))
      t.true(statistics.openConnections <= maxConnections)
      const commitAnswers = await Promise.all(transactions.map(async (transaction, index) => {
        await transaction.execute(`add slot-${index} 1 op=${index}`)
        return await transaction.commit()
      }))
      t.deepEqual(commitAnswers.map(answer => outcomeOf(answer).kind), Array(transactionCount).fill('done'))
    } finally {
      client.close()
      await fleet.close()
    }
  })
