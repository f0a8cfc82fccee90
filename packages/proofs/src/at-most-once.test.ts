/**
 * Guards against a write that runs twice or is reported as not run although it ran. Both arise when an answer is lost
 * between caller, VM and database or the primary fails over, and the VM retries the write or reports a wrong outcome.
 */
import test from 'ava'
import { createRandom, sleepMs } from '@egretyoke/common'
import { startLink } from '@egretyoke/standins'
import { readLog, setDatabaseFault } from '@egretyoke/testbed'
import { startLocalFleet } from './local-fleet.js'
import type { LocalFleet, LocalFleetOptions } from './local-fleet.js'
import { checkWrites, noWriteFindings } from './write-checker.js'
import { countOutcomes, runWrites } from './write-load.js'

const seed = 23
const loopback = '127.0.0.1:0'
const timeoutMs = 800
/** Longer than a statement can wait at a database after it was sent. */
const settleMs = 1_500

const unlimited: LocalFleetOptions['edit'] = configuration => {
  configuration.workspaces['yard-1'].ratePerSec = 100_000
  configuration.workspaces['yard-1'].burst = 100_000
}

const startCallerLinks = (fleet: LocalFleet) => Promise.all(fleet.callerAddresses().map(target =>
  startLink({ listen: loopback, control: loopback, target, delayMs: 0 })))

type Links = Awaited<ReturnType<typeof startCallerLinks>>

/** Injects random faults on the callers' links and the databases until the signal aborts. */
const injectFaults = async (fleet: LocalFleet, links: Links, signal: AbortSignal) => {
  const random = createRandom(seed)
  const pauseMs = () => random.integer(20, 120)
  const cutFor = async (link: Links[number]) => {
    link.setFault({ cut: true })
    await sleepMs(pauseMs())
    link.setFault({ cut: false })
  }
  const databaseFault = (fault: object) => setDatabaseFault(fleet.databaseAddress('db-1'), fault)
  const steps = [
    () => cutFor(random.pick(links)),
    () => cutFor(fleet.databaseLink('db-1')),
    () => cutFor(fleet.databaseLink('db-2')),
    () => databaseFault({ loseAnswers: 0.2 }),
    () => databaseFault({ decline: 0.3 }),
    () => databaseFault({ delayMs: 100, loseAnswers: 0.1 }),
    () => databaseFault({ doubleReplies: 0.3, reorderReplies: 0.1 }),
    () => databaseFault({})
  ]
  while (!signal.aborted) {
    await random.pick(steps)()
    await sleepMs(pauseMs())
  }
  await databaseFault({})
}

test('"not run" is correct and no write runs twice, with answers lost on every hop and a failover', async t => {
  const fleet = await startLocalFleet({ stewardCount: 2, edit: unlimited })
  const links = await startCallerLinks(fleet)
  const stop = new AbortController()
  const faultInjection = injectFaults(fleet, links, stop.signal)
  const load = {
    addresses: links.map(link => link.address),
    key: fleet.keyOf('yard-1'),
    callerCount: 20,
    maxPauseMs: 10,
    timeoutMs
  }
  try {
    const reportedBefore = await runWrites({ ...load, seed, writesPerCaller: 40 })
    stop.abort()
    await faultInjection
    const beforeFailover = { reported: reportedBefore, log: await readLog(fleet.databaseAddress('db-1')) }
    t.deepEqual(checkWrites(beforeFailover.reported, beforeFailover.log), noWriteFindings)
    fleet.databaseLink('db-1').setFault({ cut: true })
    const reportedAfter = await runWrites({ ...load, seed: seed + 1, writesPerCaller: 40, maxPauseMs: 200 })
    await sleepMs(settleMs)
    const allReported = new Map([
      ...reportedBefore,
      ...[...reportedAfter].map(([op, outcome]) => [`late-${op}`, outcome] as const)
    ])
    t.log(countOutcomes(allReported))
    const logAfterFailover = (await readLog(fleet.databaseAddress('db-2'))).slice(beforeFailover.log.length)
    t.deepEqual(checkWrites(reportedAfter, logAfterFailover).falselyNotRun, [])
    t.deepEqual(checkWrites(reportedAfter, logAfterFailover).lostConfirmed, [])
    t.deepEqual(checkWrites(reportedAfter, logAfterFailover).repeated, [])
    t.true(countOutcomes(reportedBefore).done > 0 && countOutcomes(reportedAfter).done > 0)
  } finally {
    stop.abort()
    await faultInjection
    for (const link of links) await link.close()
    await fleet.close()
  }
})

test('the write checker finds repeated writes when unknown outcomes are always retried', async t => {
  const fleet = await startLocalFleet({ edit: unlimited, entrySettings: { policies: { retry: 'always' } } })
  try {
    await setDatabaseFault(fleet.databaseAddress('db-1'), { loseAnswers: 0.2 })
    const load = { addresses: fleet.callerAddresses(), key: fleet.keyOf('yard-1'), callerCount: 10, maxPauseMs: 20 }
    const writes = runWrites({ ...load, seed, writesPerCaller: 20, timeoutMs: 2_000 })
    const findings = checkWrites(await writes, await readLog(fleet.databaseAddress('db-1')))
    t.true(findings.repeated.length > 0)
  } finally {
    await fleet.close()
  }
})

test('the write checker finds a false "not run" and a lost confirmed write', t => {
  const log = [{ term: 1, position: 1, statements: ['add counter 1 op=a'] }]
  t.deepEqual(checkWrites(new Map([['a', 'notRun'], ['b', 'done']]), log),
    { falselyNotRun: ['a'], lostConfirmed: ['b'], repeated: [] })
})
