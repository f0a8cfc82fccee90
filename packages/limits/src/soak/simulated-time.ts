/**
 * Simulated time for tests and the soak program: timers fire in order, and promises settle between them.
 */
import type { Clock } from '@egretyoke/common'
import type { After } from '../timers.js'

/** Microtask rounds between two timers; more than the longest chain of promises in this package. */
const settleRounds = 8

/** A clock that advances from timer to timer. */
export type SimulatedTime = {
  clock: Clock
  after: After
  /** Runs all timers up to the given time, in milliseconds. */
  runUntil: (untilMs: number) => Promise<void>
}

type Timer = { atMs: number, order: number, run: () => void }

/** Creates simulated time that starts at 0. */
export const createSimulatedTime = (): SimulatedTime => {
  let nowMs = 0
  let nextOrder = 0
  const timers: Timer[] = []

  const isBefore = (one: Timer, other: Timer) =>
    one.atMs < other.atMs || (one.atMs === other.atMs && one.order < other.order)

  const after: After = (delayMs, run) => {
    const timer = { atMs: nowMs + Math.max(0, delayMs), order: nextOrder++, run }
    let index = timers.length
    while (index > 0 && isBefore(timer, timers[index - 1])) index--
    timers.splice(index, 0, timer)
    return () => {
      const position = timers.indexOf(timer)
      if (position >= 0) timers.splice(position, 1)
    }
  }

  const settle = async () => {
    for (let round = 0; round < settleRounds; round++) await undefined
  }

  const runUntil = async (untilMs: number) => {
    await settle()
    while (timers.length > 0 && timers[0].atMs <= untilMs) {
      const [timer] = timers.splice(0, 1)
      nowMs = Math.max(nowMs, timer.atMs)
      timer.run()
      await settle()
    }
    nowMs = Math.max(nowMs, untilMs)
  }

  return { clock: () => nowMs, after, runUntil }
}
