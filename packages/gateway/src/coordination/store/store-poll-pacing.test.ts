/**
 * Polls of the store while a large fleet starts, during a series of configurations, and after single changes.
 */
import test from 'ava'
import { createPollPacing } from './store-poll-pacing.js'

/** Starts a poll as soon as the pacing permits and ends each at the next of the changes; returns the start times. */
const pollThrough = (changeMs: readonly number[], startMs = 0, members = 195): number[] => {
  let nowMs = startMs
  const pacing = createPollPacing(() => members, () => nowMs)
  const starts: number[] = []
  let seen = 0
  while (seen < changeMs.length) {
    for (let delayMs = pacing.delayMs(); delayMs > 0; delayMs = pacing.delayMs()) nowMs += delayMs
    starts.push(nowMs)
    nowMs = Math.max(nowMs, changeMs[seen]) + 1
    while (seen < changeMs.length && changeMs[seen] < nowMs) seen++
  }
  return starts
}

const series = (count: number, gapMs: number, fromMs = 0) =>
  Array.from({ length: count }, (_, index) => fromMs + index * gapMs)

test('the start of 195 VMs within 2 s costs a process at most 20 polls', t => {
  const starts = pollThrough(series(195, 10))
  t.true(starts.length <= 20, `${starts.length} polls`)
})

test('configurations every 80 ms are each known within 200 ms', t => {
  const changes = series(50, 80, 10_000)
  const starts = pollThrough(changes, 5000)
  for (const change of changes) {
    const next = starts.find(start => start >= change - 80)
    t.true(next !== undefined && next - change <= 200, `change at ${change}`)
  }
})

test('the steps of a primary change after a calm time are not delayed', t => {
  const changes = [10_000, 10_040, 10_700]
  const starts = pollThrough([1000, 2000, 3000, ...changes])
  for (const change of changes.slice(0, -1)) {
    t.true(starts.some(start => start > change && start <= change + 5), `poll after ${change}`)
  }
})

test('in a small fleet every change is known at once', t => {
  const changes = series(40, 50, 1000)
  const starts = pollThrough(changes, 0, 9)
  t.is(starts.length, changes.length)
})
