/**
 * Reads that many ask for at once: one at a time, and none that began too early for the one who asked.
 */
import test from 'ava'
import { createSharedReads } from './shared-reads.js'

/** Reads that end when `end` is called, with their number as the result. */
const createEnvironment = () => {
  const time = { nowMs: 0 }
  const started: Array<{ maxAgeMs: number, end: (result?: number) => void, fail: () => void }> = []
  const share = createSharedReads<number>((_key, maxAgeMs) => new Promise((resolve, reject) => {
    const number = started.length + 1
    started.push({ maxAgeMs, end: (result = number) => resolve(result), fail: () => reject(new Error('lost')) })
  }), () => time.nowMs)
  const settle = async () => await new Promise(resolve => setImmediate(resolve))
  return { time, started, share, settle }
}

const current = { acceptedMs: 0, requestedMs: 0 }
const recent = { acceptedMs: 1000, requestedMs: 100 }

// Guards against one request for each of many statements that arrive while another one is answered.
test('all that ask while a read runs share the next one, which begins after they asked', async t => {
  const { time, started, share, settle } = createEnvironment()
  const first = share('g', current)
  time.nowMs = 10
  const later = Array.from({ length: 20 }, () => share('g', current))
  t.is(started.length, 1)
  started[0].end()
  t.is(await first, 1)
  await settle()
  t.is(started.length, 2)
  started[1].end()
  t.deepEqual(new Set(await Promise.all(later)), new Set([2]))
})

test('one who accepts the age that the result of a running read can have shares it', async t => {
  const { time, started, share } = createEnvironment()
  const first = share('g', recent)
  time.nowMs = 900
  const second = share('g', recent)
  time.nowMs = 901
  share('g', recent)
  started[0].end()
  t.deepEqual(await Promise.all([first, second]), [1, 1])
  t.is(started.length, 2)
})

test('a shared read begins with the least age that was requested for it', async t => {
  const { time, started, share, settle } = createEnvironment()
  share('g', { acceptedMs: 50, requestedMs: 40 })
  time.nowMs = 11
  const waiting = [share('g', { acceptedMs: 50, requestedMs: 40 }), share('g', { acceptedMs: 5, requestedMs: 2 })]
  started[0].end()
  await settle()
  t.deepEqual(started.map(({ maxAgeMs }) => maxAgeMs), [40, 2])
  started[1].end()
  t.deepEqual(await Promise.all(waiting), [2, 2])
})

test('keys do not wait for each other, and the read after one that failed begins', async t => {
  const { time, started, share, settle } = createEnvironment()
  const failing = share('g', current)
  share('h', current)
  t.is(started.length, 2)
  time.nowMs = 1
  const next = share('g', current)
  started[0].fail()
  await t.throwsAsync(failing)
  await settle()
  started[2].end()
  t.is(await next, 3)
})
