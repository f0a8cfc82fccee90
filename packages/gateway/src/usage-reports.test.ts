/**
 * Usage reports of real gateways: the reporter ends half-way, a gateway of an earlier version holds connections, and a
 * deployment without the duty.
 */
import { Err, Ok, sleepMs, typedError } from '@egretyoke/common'
import test from 'ava'
import type { ReportUsage, UsageReport } from './coordination/usage/usage-sender.js'
import {
  closeMemoryFleets, openTestSession, read, standardConfiguration, startMemoryFleet, waitUntil, write
} from './testing/memory-fleet.js'
import type { MemoryFleet, TestSession, UsageOf } from './testing/memory-fleet.js'
import { brokenRules } from './testing/usage-environment.js'
import type { ReceivedReport } from './testing/usage-environment.js'

test.after.always(closeMemoryFleets)

const settings = { windowMs: 1000, lateMs: 10_000, tolerance: 0.05, leaseMs: 3000, callsPerSec: 50 }

type Received = ReceivedReport & { report: UsageReport }

/** A platform that records the calls; `answer` decides about the reply to each. */
const createPlatform = () => {
  const received: Received[] = []
  const platform = {
    received,
    answer: async (_holder: string): ReturnType<ReportUsage> => Ok(undefined),
    reportOf: (holder: string): ReportUsage => async (report, fence) => {
      const counts = JSON.stringify(report.counts)
      received.push({ holder, window: report.window, counts, fence, atMs: performance.now(), report })
      return await platform.answer(holder)
    }
  }
  return platform
}

/** Operations by workspace over all windows. */
const totals = (received: readonly Received[]) => {
  const byWindow = new Map(received.map(({ window, report }) => [window, report]))
  const sums: Record<string, number> = {}
  for (const { counts } of byWindow.values()) {
    for (const [workspace, count] of counts) sums[workspace] = (sums[workspace] ?? 0) + count
  }
  return sums
}

const countExecuted = ({ group }: MemoryFleet) => {
  const sums: Record<string, number> = {}
  for (const { workspace } of group.executed) sums[workspace] = (sums[workspace] ?? 0) + 1
  return sums
}

const reporterOf = ({ events }: MemoryFleet) => events.findLast(({ name }) => name === 'usageClaimed')?.gateway

const currentWindow = () => Math.floor(Date.now() / settings.windowMs)

const waitForWindow = (received: readonly Received[], window: number) =>
  waitUntil(() => received.some(call => call.window >= window), 20_000)

// Guards against lost or doubled counts when the reporter ends between its call and the platform's answer, and against
// the loss of what it ran for others as a holder.
test('a successor repeats the counts of a reporter that ends half-way, and counts what it ran', async t => {
  const platform = createPlatform()
  const fleet = await startMemoryFleet(3, standardConfiguration, name => ({
    settings, report: platform.reportOf(name)
  }))
  const startWindow = currentWindow()
  await waitUntil(() => platform.received.length > 0, 20_000)
  const reporter = reporterOf(fleet)
  const others = fleet.gateways.filter(({ name }) => name !== reporter)
  const sessions = others.flatMap(gateway => [
    openTestSession(gateway, 'slots', 'key-a'), openTestSession(gateway, 'slots', 'key-b')
  ])
  const writeOnce = (session: TestSession, index: number) => session.send(write(String(index)))
  const runFor = async (ms: number) => {
    for (const endMs = performance.now() + ms; performance.now() < endMs;) {
      await Promise.all(sessions.map(writeOnce))
      await sleepMs(20)
    }
  }
  await runFor(1500)
  let hasEnded = false
  platform.answer = async holder => {
    if (holder === reporter) hasEnded = true
    return holder === reporter ? Err(typedError('noAnswer', 'lost')) : Ok(undefined)
  }
  while (!hasEnded) await runFor(100)
  const repeated = platform.received.at(-1)!
  await fleet.gateways.find(({ name }) => name === reporter)?.gateway.close()
  await runFor(1000)
  const lastWindow = currentWindow()
  await waitForWindow(platform.received, lastWindow)
  const { received } = platform
  t.true(received.some(({ holder, window }) => holder !== reporter && window === repeated.window))
  t.deepEqual(brokenRules(received), [])
  t.deepEqual(totals(received), countExecuted(fleet))
  const windows = [...new Set(received.map(({ window }) => window))]
  t.deepEqual(windows, windows.map((_window, index) => windows[0]! + index))
  t.true(windows[0]! >= startWindow - 2)
})

test('a transaction counts once, and what a gateway without counts has run is counted by its senders', async t => {
  const platform = createPlatform()
  // db-1, the primary, is in the data centre of vm-1, which is of an earlier version here.
  const usageOf: UsageOf = name => name === 'vm-1' ? undefined : { settings, report: platform.reportOf(name) }
  const fleet = await startMemoryFleet(3, standardConfiguration, usageOf)
  const session = openTestSession(fleet.gateways[1]!, 'slots')
  await session.send({ kind: 'begin', readOnly: false })
  await session.send(write('1'))
  await session.send(read('1'))
  await session.send({ kind: 'commit' })
  await session.send(write('2'))
  const window = currentWindow()
  await waitForWindow(platform.received, window)
  t.deepEqual(totals(platform.received), { 'yard-a': 2 })
  t.true(fleet.events.some(({ name }) => name === 'usageIncomplete'))
})

test('without the duty nothing is claimed, stored or counted', async t => {
  const fleet = await startMemoryFleet(2)
  await openTestSession(fleet.gateways[0]!, 'slots').send(write('1'))
  await sleepMs(1500)
  t.is(fleet.store.read('egretyoke/usage'), undefined)
  t.is(reporterOf(fleet), undefined)
})
