/**
 * Reporters of a fleet on virtual time: failures of reporters, store and service, and the rules of the calls.
 */
import test from 'ava'
import { brokenRules, createUsageEnvironment, usageSettings } from '../../testing/usage-environment.js'
import type { UsageEnvironment } from '../../testing/usage-environment.js'

const { windowMs } = usageSettings

/** A fleet of three whose first gateway is the reporter and has sent its first windows. */
const startFleet = async () => {
  const fleet = createUsageEnvironment()
  for (const name of ['vm-1', 'vm-2', 'vm-3']) fleet.start(name)
  await fleet.advance(2 * windowMs + 2000)
  return fleet
}

const windowsOf = (fleet: UsageEnvironment) =>
  [...new Set(fleet.calls.map(({ window }) => window))].sort((one, other) => one - other)

const currentWindow = (fleet: UsageEnvironment) => Math.floor(fleet.nowMs() / windowMs)

/** The counts that were sent for a window. */
const sentCounts = (fleet: UsageEnvironment, window: number) =>
  fleet.calls.find(call => call.window === window)?.counts

const isWithoutGaps = (windows: number[]) => windows.every((window, index) => window === windows[0]! + index)

test('each window from the start on is reported once by one reporter, empty ones too', async t => {
  const fleet = createUsageEnvironment()
  const first = currentWindow(fleet)
  for (const name of ['vm-1', 'vm-2', 'vm-3']) fleet.start(name)
  await fleet.advance(windowMs + 1000)
  const window = currentWindow(fleet)
  fleet.run('x', 'vm-2', 'vm-3')
  fleet.run('x', 'vm-3')
  fleet.run('y', 'vm-1', 'vm-2')
  await fleet.advance(4 * windowMs)
  t.deepEqual(fleet.calls.map(call => call.window), [first, first + 1, first + 2, first + 3])
  t.is(sentCounts(fleet, window), '[["x",2],["y",1]]')
  t.is(sentCounts(fleet, first), '[]')
  t.deepEqual(new Set(fleet.calls.map(({ holder }) => holder)), new Set(['vm-1']))
  t.deepEqual(brokenRules(fleet.calls), [])
  t.false(fleet.logged.some(({ name }) => name === 'usageIncomplete'))
})

// Guards against a successor that counts a stored window again: the platform would get two counts for it.
for (const [title, isSent] of [['before', false], ['after', true]] as const) {
  test(`a reporter that dies ${title} its call leaves the same counts to its successor`, async t => {
    const fleet = await startFleet()
    const window = currentWindow(fleet)
    fleet.run('x', 'vm-2', 'vm-3')
    fleet.run('x', 'vm-1')
    fleet.faults.service = isSent ? 'lost' : 'silent'
    fleet.hooks.beforeCall = holder => {
      if (holder === 'vm-1' && !isSent) fleet.kill('vm-1')
    }
    await fleet.advance(windowMs)
    fleet.kill('vm-1')
    fleet.hooks.beforeCall = () => {}
    fleet.faults.service = undefined
    fleet.run('x', 'vm-2')
    await fleet.advance(3000)
    fleet.endMembership('vm-1')
    await fleet.advance(3 * windowMs)
    t.is(sentCounts(fleet, window), '[["x",2]]')
    t.is(fleet.calls.filter(call => call.window === window).length > 1, isSent)
    t.deepEqual(new Set(fleet.calls.slice(-2).map(({ holder }) => holder)), new Set(['vm-2']))
    t.true(isWithoutGaps(windowsOf(fleet)))
    t.deepEqual(brokenRules(fleet.calls), [])
  })
}

// Guards against operations that are lost with a holder that ends before it is asked.
test('what a holder ran that dies before it was asked is counted by its senders', async t => {
  const fleet = await startFleet()
  const window = currentWindow(fleet)
  for (let count = 0; count < 7; count++) fleet.run('x', 'vm-3', 'vm-2')
  fleet.run('x', 'vm-2', 'vm-3')
  fleet.kill('vm-3')
  await fleet.advance(3000)
  fleet.endMembership('vm-3')
  await fleet.advance(2 * windowMs)
  t.is(sentCounts(fleet, window), '[["x",8]]')
  t.true(fleet.logged.some(({ name }) => name === 'usageIncomplete'))
})

// Guards against a loss that nobody sees: what the holder ran for its own callers is counted nowhere else.
test('a report without the counts of a process that ended is sent with a log line', async t => {
  const fleet = await startFleet()
  const window = currentWindow(fleet)
  fleet.run('x', 'vm-3')
  await fleet.advance(200)
  fleet.kill('vm-3')
  await fleet.advance(1000)
  fleet.endMembership('vm-3')
  await fleet.advance(2 * windowMs)
  t.is(sentCounts(fleet, window), '[]')
  t.true(fleet.logged.some(({ name }) => name === 'usageIncomplete'))
})

// Guards against the loss of what a gateway ran for its own callers when gateways are restarted in turn.
test('a gateway that drains and leaves before the end of a window is counted', async t => {
  const fleet = await startFleet()
  const window = currentWindow(fleet)
  for (let count = 0; count < 7; count++) fleet.run('x', 'vm-3')
  fleet.drain('vm-3')
  await fleet.advance(1200)
  fleet.run('x', 'vm-3')
  await fleet.advance(1200)
  fleet.kill('vm-3')
  fleet.endMembership('vm-3')
  await fleet.advance(2 * windowMs)
  t.is(sentCounts(fleet, window), '[["x",8]]')
  t.deepEqual(brokenRules(fleet.calls), [])
})

test('a reporter that dies before it has stored a window is replaced in time for its report', async t => {
  const fleet = await startFleet()
  const window = currentWindow(fleet)
  fleet.run('x', 'vm-1', 'vm-3')
  fleet.kill('vm-1')
  await fleet.advance(3000)
  fleet.endMembership('vm-1')
  await fleet.advance(2 * windowMs)
  const call = fleet.calls.find(sent => sent.window === window)
  t.is(call?.counts, '[["x",1]]')
  t.true(call!.atMs - (window + 1) * windowMs < usageSettings.lateMs)
  t.deepEqual(brokenRules(fleet.calls), [])
})

test('a gateway that never replies delays a report only to 8 s after the window', async t => {
  const fleet = await startFleet()
  const window = currentWindow(fleet)
  fleet.kill('vm-3')
  await fleet.advance(3 * windowMs)
  const call = fleet.calls.find(sent => sent.window === window)
  const delayMs = call!.atMs - (window + 1) * windowMs
  t.true(delayMs >= 8000 && delayMs < usageSettings.lateMs, `${delayMs}`)
})

// Guards against a second count after a write whose reply was lost but which took effect.
test('after a lost reply of the store the stored counts are sent', async t => {
  const fleet = await startFleet()
  const window = currentWindow(fleet)
  fleet.run('x', 'vm-2')
  fleet.faults.store = 'lost'
  fleet.at('vm-1').state.followsStore = false
  await fleet.advance(windowMs)
  t.deepEqual(fleet.record().windows.at(-1), { window, counts: [['x', 1]] })
  t.is(sentCounts(fleet, window), undefined)
  fleet.faults.store = undefined
  fleet.at('vm-1').state.followsStore = true
  await fleet.advance(2 * windowMs)
  t.is(sentCounts(fleet, window), '[["x",1]]')
  t.true(isWithoutGaps(windowsOf(fleet)))
  t.deepEqual(brokenRules(fleet.calls), [])
})

test('a claim whose reply was lost also waits half a lease', async t => {
  const fleet = createUsageEnvironment()
  for (const name of ['vm-1', 'vm-2', 'vm-3']) fleet.start(name)
  await fleet.advance(2 * windowMs + 2000)
  fleet.kill('vm-1')
  fleet.endMembership('vm-1')
  fleet.faults.store = 'lost'
  await fleet.advance(200)
  const claimedAtMs = fleet.nowMs()
  t.is(fleet.record().keeper, 'vm-2/1')
  fleet.faults.store = undefined
  await fleet.advance(2 * windowMs)
  const first = fleet.calls.find(({ holder }) => holder === 'vm-2')
  t.true(first!.atMs - claimedAtMs >= usageSettings.leaseMs / 2)
})

for (const service of ['store', 'service'] as const) {
  test(`windows of an outage of the ${service} are reported after it, in full`, async t => {
    const fleet = await startFleet()
    const window = currentWindow(fleet)
    fleet.faults[service] = 'silent'
    for (let count = 0; count < 4; count++) {
      fleet.run('x', 'vm-2', 'vm-3')
      await fleet.advance(windowMs)
    }
    fleet.faults[service] = undefined
    await fleet.advance(2 * windowMs)
    for (let count = 0; count < 4; count++) t.is(sentCounts(fleet, window + count), '[["x",1]]')
    t.true(isWithoutGaps(windowsOf(fleet)))
    t.deepEqual(brokenRules(fleet.calls), [])
  })
}

test('a refused window does not keep back the others and is sent again', async t => {
  const fleet = await startFleet()
  fleet.faults.service = 'refused'
  await fleet.advance(2 * windowMs)
  fleet.faults.service = undefined
  await fleet.advance(2 * windowMs)
  t.true(isWithoutGaps(windowsOf(fleet)))
  t.deepEqual(brokenRules(fleet.calls), [])
})

// Guards against reporters that take turns faster than the platform permits.
test('reporters that end one after the other do not act in turn within the lease time', async t => {
  const fleet = await startFleet()
  // Each reporter has something to send at once and repeats it.
  fleet.faults.service = 'lost'
  await fleet.advance(windowMs)
  for (let round = 0; round < 6; round++) {
    const [ending, next] = round % 2 === 0 ? ['vm-1', 'vm-2'] : ['vm-2', 'vm-1']
    fleet.setRank([next!, ending!, 'vm-3'])
    fleet.kill(ending!)
    fleet.endMembership(ending!)
    fleet.start(ending!, { incarnation: `${round + 2}` })
    await fleet.advance(1800 + 400 * round)
  }
  fleet.faults.service = undefined
  await fleet.advance(3 * windowMs)
  t.true(new Set(fleet.calls.map(({ holder }) => holder)).size > 1)
  t.true(isWithoutGaps(windowsOf(fleet)))
  t.deepEqual(brokenRules(fleet.calls), [])
})

test('a reporter that leaves hands its windows over at once', async t => {
  const fleet = await startFleet()
  fleet.faults.service = 'silent'
  await fleet.advance(windowMs)
  const stored = fleet.record().windows
  await fleet.at('vm-1').reporter.leave()
  fleet.faults.service = undefined
  fleet.setRank(['vm-2', 'vm-1', 'vm-3'])
  t.is(fleet.record().keeper, '')
  await fleet.advance(2500)
  for (const { window, counts } of stored) t.is(sentCounts(fleet, window), JSON.stringify(counts))
  t.is(fleet.calls.at(-1)?.holder, 'vm-2')
  t.deepEqual(brokenRules(fleet.calls), [])
})

// Guards against a fleet that reports nothing although the platform answers most of its gateways.
test('a reporter that the platform refuses hands its windows over', async t => {
  const fleet = await startFleet()
  fleet.refused.add('vm-1')
  fleet.run('x', 'vm-3')
  const window = currentWindow(fleet)
  await fleet.advance(6 * windowMs)
  t.is(sentCounts(fleet, window), '[["x",1]]')
  t.is(fleet.calls.at(-1)?.holder, 'vm-2')
  // As the only gateway left, the first one reports again as soon as it may.
  fleet.refused.clear()
  for (const name of ['vm-2', 'vm-3']) {
    fleet.kill(name)
    fleet.endMembership(name)
  }
  await fleet.advance(60_000)
  t.is(fleet.calls.at(-1)?.holder, 'vm-1')
  t.is(fleet.logged.filter(({ name }) => name === 'usageHandedOver').length, 1)
  t.true(isWithoutGaps(windowsOf(fleet)))
  t.deepEqual(brokenRules(fleet.calls), [])
})

// Guards against a rolling update without reports while a gateway of the earlier version is the first in rank.
test('the next gateway in rank claims the reports if the first one does not', async t => {
  const fleet = createUsageEnvironment()
  for (const name of ['vm-1', 'vm-2', 'vm-3']) fleet.start(name)
  fleet.kill('vm-1')
  await fleet.advance(3 * windowMs)
  t.is(fleet.record().keeper, 'vm-2/1')
  t.true(fleet.calls.length > 0)
  t.deepEqual(brokenRules(fleet.calls), [])
})

// Guards against two gateways that both believe to hold the claim.
test('a reporter that does not learn of its successor stops before the successor acts', async t => {
  const fleet = await startFleet()
  fleet.faults.service = 'silent'
  await fleet.advance(windowMs)
  const old = fleet.at('vm-1')
  old.state.followsStore = false
  old.state.contactAgeMs = Infinity
  fleet.endMembership('vm-1')
  fleet.setRank(['vm-2', 'vm-1', 'vm-3'])
  fleet.faults.service = undefined
  await fleet.advance(3 * windowMs)
  t.is(fleet.calls.at(-1)?.holder, 'vm-2')
  const firstOfSuccessor = fleet.calls.findIndex(({ holder }) => holder === 'vm-2')
  t.false(fleet.calls.slice(firstOfSuccessor).some(({ holder }) => holder === 'vm-1'))
  t.deepEqual(brokenRules(fleet.calls), [])
})

test('after a restart of all gateways the reports continue where the record ends', async t => {
  const fleet = await startFleet()
  const before = currentWindow(fleet)
  for (const name of ['vm-1', 'vm-2', 'vm-3']) {
    fleet.kill(name)
    fleet.endMembership(name)
  }
  await fleet.advance(2 * windowMs)
  for (const name of ['vm-2', 'vm-3', 'vm-1']) fleet.start(name, { incarnation: '2' })
  await fleet.advance(4 * windowMs)
  t.true(windowsOf(fleet).includes(before + 1))
  t.true(fleet.logged.some(({ name }) => name === 'usageIncomplete'))
  t.true(isWithoutGaps(windowsOf(fleet)))
  t.deepEqual(brokenRules(fleet.calls), [])
})

test('a record that vanishes does not lead to a second count of a window', async t => {
  const fleet = await startFleet()
  fleet.run('x', 'vm-2')
  await fleet.advance(2 * windowMs)
  // A restarted holder has forgotten what it ran, so that a second count would differ.
  fleet.kill('vm-2')
  fleet.start('vm-2', { incarnation: '2' })
  fleet.removeRecord()
  await fleet.advance(3 * windowMs)
  t.true(isWithoutGaps(windowsOf(fleet)))
  t.deepEqual(brokenRules(fleet.calls), [])
})

// Guards against windows that a VM with a wrong wall clock opens, closes or counts at a wrong time.
for (const skewMs of [7000, -7000]) {
  test(`a wall clock that is wrong by ${skewMs} ms at one VM does not move windows`, async t => {
    for (const wrong of ['vm-1', 'vm-2']) {
      const fleet = createUsageEnvironment()
      const first = currentWindow(fleet)
      for (const name of ['vm-1', 'vm-2', 'vm-3']) fleet.start(name, { skewMs: name === wrong ? skewMs : 0 })
      await fleet.advance(windowMs + 1000)
      const window = currentWindow(fleet)
      fleet.run('x', 'vm-1')
      fleet.run('x', 'vm-2')
      await fleet.advance(3 * windowMs)
      t.is(sentCounts(fleet, window), '[["x",2]]', wrong)
      t.is(windowsOf(fleet)[0], first)
      for (const call of fleet.calls) t.true(call.atMs > (call.window + 1) * windowMs)
      t.deepEqual(brokenRules(fleet.calls), [])
    }
  })
}

// Guards against a window that is counted before its end, because the reporter had nobody to compare its clock with.
test('a reporter that started alone with a wrong clock is corrected before it counts a window too early', async t => {
  const fleet = createUsageEnvironment()
  fleet.start('vm-1', { skewMs: 7000 })
  await fleet.advance(3000)
  fleet.start('vm-2')
  fleet.start('vm-3')
  for (let second = 0; second < 30; second++) {
    fleet.run('x', 'vm-2')
    await fleet.advance(1000)
  }
  t.true(fleet.calls.length >= 3)
  for (const call of fleet.calls) {
    t.is(call.counts, '[["x",5]]')
    t.true(call.atMs > (call.window + 1) * windowMs)
  }
  t.deepEqual(brokenRules(fleet.calls), [])
})

// Guards against more store writes than one for each window.
test('one store write is made for each window', async t => {
  const fleet = await startFleet()
  const { revision } = fleet.at('vm-1').fleetState.usageRecord()!
  await fleet.advance(10 * windowMs)
  t.is(fleet.at('vm-1').fleetState.usageRecord()!.revision - revision, 10)
})
