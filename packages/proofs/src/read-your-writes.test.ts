/**
 * Guards against a session that does not read its own writes: from a lagging replica, after a failover, with a
 * damaged or missing token, or from a replica that lost its data and restarted under the same name.
 */
import test from 'ava'
import { createRandom, sleepMs } from '@egretyoke/common'
import { setDatabaseFault } from '@egretyoke/testbed'
import { connectRawCaller, executeRaw } from './caller-streams.js'
import { eventually, startLocalFleet } from './local-fleet.js'
import type { LocalFleet, LocalFleetOptions } from './local-fleet.js'
import { runSessions } from './session-load.js'

const seed = 7
const manySessions = 2_000

const unlimited: LocalFleetOptions['edit'] = configuration => {
  for (const workspace of Object.values(configuration.workspaces)) {
    workspace.ratePerSec = 1_000_000
    workspace.burst = 1_000_000
  }
  for (const profile of Object.values(configuration.profiles)) profile.maxConcurrency = 10_000
}

/** Changes the replication lags until the signal aborts: db-2 up to 200 ms, the others up to 5 s. */
const varyLags = async (fleet: LocalFleet, signal: AbortSignal) => {
  const random = createRandom(seed)
  while (!signal.aborted) {
    const lagByDatabase: Record<string, number> = {
      'db-1': random.pick([0, 50, 1_000, 5_000]),
      'db-2': random.pick([0, 10, 50, 200]),
      'db-3': random.pick([0, 200, 2_000, 5_000])
    }
    for (const [name, replicationLagMs] of Object.entries(lagByDatabase)) {
      await setDatabaseFault(fleet.databaseAddress(name), { replicationLagMs, loseAnswers: 0.01 })
    }
    await sleepMs(300, signal)
  }
}

test('2,000 sessions over three VMs read their writes, with lagging replicas and a failover in the middle', async t => {
  const fleet = await startLocalFleet({ stewardCount: 2, edit: unlimited })
  const stop = new AbortController()
  const lags = varyLags(fleet, stop.signal)
  let hasFailedOver = false
  try {
    const { checker, outcomes } = await runSessions({
      addresses: fleet.callerAddresses(),
      key: fleet.keyOf('yard-1'),
      seed,
      sessionCount: manySessions,
      requestsPerSession: 4,
      concurrentSessions: 100,
      readRoutes: ['read', 'board'],
      onHalfDone: () => {
        hasFailedOver = true
        fleet.databaseLink('db-1').setFault({ cut: true })
      }
    })
    t.log({ reads: checker.reads(), replicaReads: checker.replicaReads(), outcomes })
    t.true(hasFailedOver)
    t.deepEqual(checker.violations(), [])
    t.true(checker.reads() >= manySessions)
    t.true(checker.replicaReads() > 0)
  } finally {
    stop.abort()
    await lags
    await fleet.close()
  }
})

test('a replica that restarted empty under the same name serves no session whose writes it lacks', async t => {
  const staleReads: Record<string, number> = {}
  for (const reads of ['checkedReplicas', 'uncheckedReplicas']) {
    const fleet = await startLocalFleet({ edit: unlimited, entrySettings: { policies: { reads } } })
    const client = connectRawCaller(fleet.callerAddress('vm-1'))
    const key = fleet.keyOf('yard-1')
    try {
      const written = await executeRaw(client, { route: 'write', key, isNewSession: true }, 'add berth 1 op=1')
      const token = written?.sessionToken
      const readOnce = () => executeRaw(client, { route: 'read', key, token }, 'get berth')
      await eventually('both replicas serve the session', async () =>
        new Set(await Promise.all(Array.from({ length: 6 }, readOnce)).then(all => all.map(read => read?.endpoint)))
          .size === 2)
      for (const name of ['db-2', 'db-3']) {
        await setDatabaseFault(fleet.databaseAddress(name), { stopReplication: true })
        await fleet.stopDatabase(name)
        await fleet.restartDatabase(name)
        await setDatabaseFault(fleet.databaseAddress(name), { stopReplication: true, replicationLagMs: 60_000 })
      }
      const answers = []
      for (let count = 0; count < 40; count++) answers.push(await readOnce())
      staleReads[reads] = answers.filter(answer => answer?.done && String(answer.done.result) !== '1').length
    } finally {
      client.close()
      await fleet.close()
    }
  }
  t.is(staleReads.checkedReplicas, 0)
  t.true(staleReads.uncheckedReplicas > 0, 'without the check of answers the replicas return stale data')
})

test('the session checker finds violations when sessions carry no tokens', async t => {
  const fleet = await startLocalFleet({ edit: unlimited })
  try {
    await setDatabaseFault(fleet.databaseAddress('db-2'), { replicationLagMs: 200 })
    await setDatabaseFault(fleet.databaseAddress('db-3'), { replicationLagMs: 2_000 })
    const { checker } = await runSessions({
      addresses: fleet.callerAddresses(),
      key: fleet.keyOf('yard-1'),
      seed,
      sessionCount: 100,
      requestsPerSession: 6,
      concurrentSessions: 20,
      readRoutes: ['read'],
      withoutTokens: true
    })
    t.true(checker.violations().length > 0)
  } finally {
    await fleet.close()
  }
})
