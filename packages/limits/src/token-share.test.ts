/**
 * Tests the bound of the share mechanism over arbitrary histories, and that the checker detects injected defects.
 */
import test from 'ava'
import fc from 'fast-check'
import { runShareHistory, shareHistories } from './soak/share-history.js'
import type { BrokenWays } from './soak/share-world.js'

const seed = 20261204
const historyCount = 10_000

test('the fleet admits at most burst + rate * T over every interval, in 10,000 histories', t => {
  let admitted = 0
  const property = fc.property(shareHistories, history => {
    const outcome = runShareHistory(history)
    admitted += outcome.admitted
    return outcome.excess === undefined
  })
  const result = fc.check(property, { seed, numRuns: historyCount })
  t.false(result.failed, result.failed ? fc.defaultReportMessage(result) : undefined)
  t.log(`${result.numRuns} histories, ${admitted} requests admitted`)
})

const brokenWays: BrokenWays[] = [
  { lenderForgets: true },
  { restartsWithoutHold: true },
  { borrowerCountsFromReply: true },
  { pauseGoesUnnoticed: true },
  { slotsChangeInOneStep: true },
  { nothingReserved: true }
]

for (const broken of brokenWays) {
  test(`the checker detects the injected defect ${Object.keys(broken).join()}`, t => {
    const property = fc.property(shareHistories, history => runShareHistory(history, broken).excess === undefined)
    const result = fc.check(property, { seed, numRuns: historyCount, endOnFailure: true })
    t.true(result.failed)
    t.log(`found in history ${result.numRuns}`)
  })
}
