/**
 * Periodic tasks of one process.
 */
import test from 'ava'
import { msUntilTick, sleepUntilTick, startTicks } from './ticks.js'

test('tasks with the same interval are due at the same time, whenever they start', t => {
  const dueMs = [800.2, 850, 933.7, 999.9].map(nowMs => Math.floor(nowMs + msUntilTick(200, nowMs)))
  t.deepEqual(dueMs, [1000, 1000, 1000, 1000])
  t.is(msUntilTick(200, 1000), 200)
})

test('a sleep until a tick ends early when the signal aborts', async t => {
  const stopping = new AbortController()
  const sleep = sleepUntilTick(60_000, stopping.signal)
  stopping.abort()
  t.false(await sleep)
})

test('ticks end', async t => {
  let ticks = 0
  const stop = startTicks(10, () => { ticks++ })
  while (ticks < 2) await sleepUntilTick(10)
  stop()
  const before = ticks
  await new Promise(resolve => setTimeout(resolve, 50))
  t.is(ticks, before)
})
