/**
 * Guards against transactions that share state: a statement of a transaction that ended without a commit takes effect
 * in the next one on the same connection, or transactions mix when replies are duplicated or reordered and
 * connections are lost.
 */
import test from 'ava'
import { createRandom, sleepMs } from '@egretyoke/common'
import { readDatabaseStats, readLog, setDatabaseFault } from '@egretyoke/testbed'
import { connectRawCaller, openRawTransaction, outcomeOf } from './caller-streams.js'
import type { RawTransaction } from './caller-streams.js'
import { eventually, startLocalFleet } from './local-fleet.js'
import type { LocalFleet, LocalFleetOptions } from './local-fleet.js'

const seed = 31
const statementsPerTransaction = 3

/** Two connections per endpoint, so that each is reused at once. */
const fewConnections: LocalFleetOptions = {
  vmCount: 1,
  entrySettings: { limits: { transactionIdleMs: 400 } },
  edit: configuration => {
    configuration.workspaces['yard-1'].ratePerSec = 100_000
    configuration.workspaces['yard-1'].burst = 100_000
    configuration.profiles.session.timeoutMs = 2_000
    for (const endpoint of Object.values(configuration.groups['group-1'].endpoints)) endpoint.maxConnections = 2
  }
}

const loggedTransactions = async (fleet: LocalFleet): Promise<string[][]> =>
  (await readLog(fleet.databaseAddress('db-1'))).map(entry => entry.statements)

const cutPrimaryLink = async (fleet: LocalFleet) => {
  fleet.databaseLink('db-1').setFault({ cut: true })
  await sleepMs(50)
  fleet.databaseLink('db-1').setFault({ cut: false })
}

type EndTransaction = (transaction: RawTransaction, fleet: LocalFleet) => Promise<unknown> | unknown

/** Ways in which a transaction ends without a commit, after `begin` and one statement. */
const endings: Record<string, EndTransaction> = {
  'the caller disconnects after a statement': transaction => transaction.cancel(),
  'the caller disconnects during a statement': async (transaction, fleet) => {
    await setDatabaseFault(fleet.databaseAddress('db-1'), { delayMs: 150 })
    transaction.execute('add berth 1 op=late')
    await sleepMs(50)
    transaction.cancel()
    await sleepMs(200)
    await setDatabaseFault(fleet.databaseAddress('db-1'), {})
  },
  'the caller ends its stream': transaction => transaction.end(),
  'the caller sends nothing until the idle timeout': transaction => transaction.waitForEnd(),
  'the caller rolls back': transaction => transaction.rollback(),
  'the connection is lost after a statement': (_transaction, fleet) => cutPrimaryLink(fleet),
  'the connection is lost during a statement': async (transaction, fleet) => {
    await setDatabaseFault(fleet.databaseAddress('db-1'), { delayMs: 150 })
    const lost = transaction.execute('add berth 1 op=lost')
    await sleepMs(50)
    await cutPrimaryLink(fleet)
    await lost
    await setDatabaseFault(fleet.databaseAddress('db-1'), {})
  },
  'a statement is malformed': transaction => transaction.execute(''),
  'begin is sent twice': transaction => transaction.begin(),
  'a step without an action is sent': transaction => transaction.send({}),
  'a statement exceeds the deadline': async (transaction, fleet) => {
    await setDatabaseFault(fleet.databaseAddress('db-1'), { delayMs: 2_500 })
    await transaction.execute('add berth 1 op=later')
    await setDatabaseFault(fleet.databaseAddress('db-1'), {})
  }
}

test('a transaction has no effect on the next one on its connection, whichever way it ends', async t => {
  const fleet = await startLocalFleet(fewConnections)
  const client = connectRawCaller(fleet.callerAddress('vm-1'))
  const fields = { route: 'write', key: fleet.keyOf('yard-1') }
  try {
    for (const [index, [name, endTransaction]] of Object.entries(endings).entries()) {
      const firstTransaction = openRawTransaction(client, fields)
      t.is(outcomeOf(await firstTransaction.begin()).kind, 'done', name)
      t.is(outcomeOf(await firstTransaction.execute(`add berth 1 op=ended-${index}`)).kind, 'done', name)
      await endTransaction(firstTransaction, fleet)
      const keptStatement = `add quay 1 op=kept-${index}`
      await eventually(`${name}: two more transactions commit`, async () => {
        const nextTransactions = [openRawTransaction(client, fields), openRawTransaction(client, fields)]
        const beginAnswers = await Promise.all(nextTransactions.map(transaction => transaction.begin()))
        const isOpen = beginAnswers.every(answer => outcomeOf(answer).kind === 'done')
        const executeAnswer = isOpen ? await nextTransactions[0].execute(keptStatement) : undefined
        const commitAnswer = isOpen ? await nextTransactions[0].commit() : undefined
        await Promise.all(nextTransactions.map(transaction => transaction.rollback()))
        return outcomeOf(executeAnswer).kind === 'done' && outcomeOf(commitAnswer).kind === 'done'
      })
      t.deepEqual((await loggedTransactions(fleet)).at(-1), [keptStatement], name)
    }
    const allStatements = (await loggedTransactions(fleet)).flat()
    t.true(allStatements.every(statement => statement.includes('op=kept-')), allStatements.join('; '))
    await eventually('no connection beyond the limit stays open', async () =>
      (await readDatabaseStats(fleet.databaseAddress('db-1'))).openConnections <= 2)
  } finally {
    client.close()
    await fleet.close()
  }
})

test('concurrent transactions never mix, with duplicated and reordered replies and lost connections', async t => {
  const fleet = await startLocalFleet(fewConnections)
  const client = connectRawCaller(fleet.callerAddress('vm-1'))
  const fields = { route: 'write', key: fleet.keyOf('yard-1') }
  const committed = new Set<string>()
  const notCommitted = new Set<string>()
  const runOne = async (name: string) => {
    const random = createRandom(seed + Number(name))
    const transaction = openRawTransaction(client, fields)
    notCommitted.add(name)
    if (outcomeOf(await transaction.begin()).kind !== 'done') return transaction.cancel()
    for (let statement = 0; statement < statementsPerTransaction; statement++) {
      if (random.chance(0.1)) return transaction.cancel()
      const answer = await transaction.execute(`add berth-${name} 1 op=${name}.${statement}`)
      if (outcomeOf(answer).kind !== 'done') return transaction.cancel()
      if (Number(answer!.done!.result) !== statement + 1) t.fail(`${name} saw ${String(answer!.done!.result)}`)
    }
    if (random.chance(0.2)) return transaction.rollback()
    notCommitted.delete(name)
    if (outcomeOf(await transaction.commit()).kind === 'done') committed.add(name)
  }
  try {
    await setDatabaseFault(fleet.databaseAddress('db-1'), { doubleReplies: 0.3, reorderReplies: 0.01 })
    const names = Array.from({ length: 300 }, (_, index) => String(index))
    const worker = async () => {
      for (let name = names.shift(); name !== undefined; name = names.shift()) {
        await runOne(name)
        if (Number(name) % 60 === 59) await cutPrimaryLink(fleet)
      }
    }
    await Promise.all(Array.from({ length: 6 }, worker))
    const logged = await loggedTransactions(fleet)
    const nameOf = (statement: string) => /op=(\d+)\./.exec(statement)![1]
    for (const statements of logged) {
      const name = nameOf(statements[0])
      const expectedStatements = Array.from({ length: statementsPerTransaction }, (_, index) =>
        `add berth-${name} 1 op=${name}.${index}`)
      t.deepEqual(statements, expectedStatements)
    }
    const loggedNames = logged.map(statements => nameOf(statements[0]))
    t.is(new Set(loggedNames).size, loggedNames.length)
    t.deepEqual([...committed].filter(name => !loggedNames.includes(name)), [])
    t.deepEqual([...notCommitted].filter(name => loggedNames.includes(name)), [])
    t.log({ committed: committed.size, logged: logged.length })
    t.true(committed.size > 10)
  } finally {
    client.close()
    await fleet.close()
  }
})
