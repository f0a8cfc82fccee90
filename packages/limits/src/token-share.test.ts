/**
 * Tests the bound of the share mechanism over arbitrary histories, and that the checker detects injected defects.
 */
import test from 'ava'
import fc from 'fast-check'
import { runShareHistory, shareHistories } from './soak/share-history.js'
import type { InjectedDefects } from './soak/share-simulation.js'

const seed = 20261204
const historyCount = 10_000

test('the fleet admits at most burst + rate * T over every interval, in 10,000 histories', t => {
  let admitted = 0
  const property = fc.property(shareHistories, history => {
    const historyResult = runShareHistory(history)
    admitted += historyResult.admitted
    return historyResult.excess === undefined
  })
  const result = fc.check(property, { seed, numRuns: historyCount })
  t.false(result.failed, result.failed ? fc.defaultReportMessage(result) : undefined)
  t.log(`${result.numRuns} histories, ${admitted} requests admitted`)
})

const defectSets: InjectedDefects[] = [
  { lenderIgnoresLoans: true },
  { noStartupHold: true },
  { loanStartsAtReply: true },
  { pauseUndetected: true },
  { memberAddedAtOnce: true },
  { noReservation: true }
]

for (const defects of defectSets) {
  test(`the checker detects the injected defect ${Object.keys(defects).join()}`, t => {
    const property = fc.property(shareHistories, history => runShareHistory(history, defects).excess === undefined)
    const result = fc.check(property, { seed, numRuns: historyCount, endOnFailure: true })
    t.true(result.failed)
    t.log(`found in history ${result.numRuns}`)
  })
}
