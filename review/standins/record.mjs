/**
 * The record of a run: a line for each event, with the time since the start, written to record.txt of the case.
 */
import { createWriteStream } from 'node:fs'
import { join } from 'node:path'

/** Opens record.txt in the folder. */
export const openRecord = folder => {
  const stream = createWriteStream(join(folder, 'record.txt'))
  const startedAtMs = performance.now()
  const write = text => stream.write(`${((performance.now() - startedAtMs) / 1000).toFixed(3).padStart(8)}  ${text}\n`)
  return {
    write,
    close: () => new Promise(resolve => stream.end(resolve))
  }
}

export const sleepMs = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Polls until the condition holds; false after the timeout. */
export const waitFor = async (condition, timeoutMs, intervalMs = 20) => {
  const deadlineMs = performance.now() + timeoutMs
  while (!condition()) {
    if (performance.now() > deadlineMs) return false
    await sleepMs(intervalMs)
  }
  return true
}
