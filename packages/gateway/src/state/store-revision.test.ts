/**
 * The laws of combined revisions.
 */
import test from 'ava'
import fc from 'fast-check'
import {
  combineRevision, epochOf, isRevisionWithinEpoch, maxEpoch, unusedRevision, withinEpoch
} from './store-revision.js'

const epochs = fc.nat(maxEpoch)
const numbers = fc.nat({ max: unusedRevision - 1 })

test('a combined revision is exact and gives both parts back', t => {
  fc.assert(fc.property(epochs, numbers, (epoch, number) => {
    const revision = combineRevision(epoch, number)
    t.true(Number.isSafeInteger(revision))
    t.is(epochOf(revision), epoch)
    t.is(withinEpoch(revision), number)
  }))
})

test('revisions are ordered by epoch, then by number', t => {
  fc.assert(fc.property(epochs, numbers, epochs, numbers, (epoch, number, otherEpoch, otherNumber) => {
    const expected = Math.sign(epoch - otherEpoch || number - otherNumber)
    t.is(Math.sign(combineRevision(epoch, number) - combineRevision(otherEpoch, otherNumber)), expected)
  }))
})

test('without an epoch, a revision is the number of the store', t => {
  fc.assert(fc.property(numbers, number => t.is(combineRevision(0, number), number)))
  t.false(isRevisionWithinEpoch(unusedRevision))
  t.false(isRevisionWithinEpoch(-1))
  t.false(isRevisionWithinEpoch(0.5))
  t.true(isRevisionWithinEpoch(unusedRevision - 1))
})
