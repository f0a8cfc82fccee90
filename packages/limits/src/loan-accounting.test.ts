/**
 * Tests which amounts count as lent and borrowed, in single cases.
 */
import test from 'ava'
import { createTokenShare } from './token-share.js'
import type { TokenShare } from './token-share.js'

const limit = { name: 'acme', ratePerSec: 10, burst: 10, version: 1 }

const createShares = () => {
  const state = { nowMs: 0 }
  const clock = () => state.nowMs
  const create = () => {
    const share = createTokenShare(limit, {
      clock, wallClock: clock, loanTtlMs: 1000, loanMarginMs: 100, startsFull: true
    })
    share.setOwnFraction(0.5)
    return share
  }
  return { state, lender: create(), borrower: create() }
}

const terms = { borrower: 'vm2/1', tokensWanted: 0, fractionWanted: 0, loanTtlMs: 1000, keepTokens: 0, keepFraction: 0 }

const transfer = (lender: TokenShare, borrower: TokenShare, overrides: Partial<typeof terms>) => {
  const request = borrower.beginRequest('vm1', overrides.tokensWanted ?? 0, 1000)
  borrower.accept(request, lender.lend({ ...terms, ...overrides }))
}

test('rate and burst capacity count for the borrower during the loan, and for the lender again after its margin', t => {
  const { state, lender, borrower } = createShares()
  transfer(lender, borrower, { fractionWanted: 0.5 })
  t.deepEqual([lender.capacity(), borrower.capacity()], [0, 10])
  state.nowMs = 1000
  t.deepEqual([lender.capacity(), borrower.capacity()], [0, 5])
  state.nowMs = 1100
  t.deepEqual([lender.capacity(), borrower.capacity()], [5, 5])
})

test('lent tokens come with capacity for them but no rate', t => {
  const { lender, borrower } = createShares()
  const ratePerSec = lender.ratePerSec()
  transfer(lender, borrower, { tokensWanted: 3 })
  t.deepEqual([lender.capacity(), borrower.capacity(), borrower.tokens()], [2, 8, 8])
  t.deepEqual([lender.ratePerSec(), borrower.ratePerSec()], [ratePerSec, ratePerSec])
})

test('a lender with fewer tokens than requested reduces the loan by whole tokens', t => {
  const { lender } = createShares()
  t.is(lender.lend({ ...terms, tokensWanted: 7.5 }).tokens, 4.5)
})

test('expireLoans ends loans at once, with their rate, capacity and tokens', t => {
  const { lender, borrower } = createShares()
  transfer(lender, borrower, { tokensWanted: 2 })
  transfer(lender, borrower, { fractionWanted: 0.3 })
  const request = borrower.beginRequest('vm1', 1, 1000)
  borrower.expireLoans()
  t.deepEqual([borrower.capacity(), borrower.tokens()], [5, 5])
  t.false(borrower.accept(request, { tokens: 1, fraction: 0, loanTtlMs: 1000 }))
})

test('a loan to a previous incarnation of the borrower still counts', t => {
  const { lender } = createShares()
  t.is(lender.lend({ ...terms, fractionWanted: 0.5 }).fraction, 0.5)
  t.is(lender.lend({ ...terms, fractionWanted: 0.5, borrower: 'vm2/2' }).fraction, 0)
})

test('a loan from a borrowed amount expires before the loan that backs it', t => {
  const { state, lender, borrower } = createShares()
  transfer(lender, borrower, { fractionWanted: 0.5 })
  state.nowMs = 600
  const sublet = borrower.lend({ ...terms, borrower: 'vm3/1', fractionWanted: 1 })
  t.is(sublet.fraction, 1)
  t.true(sublet.loanTtlMs * 1.1 <= 400)
})

test('tokens of a lender without a fraction to lend are lent with their capacity', t => {
  const { lender, borrower } = createShares()
  const { lender: third, borrower: fourth } = createShares()
  transfer(lender, borrower, { fractionWanted: 0.5 })
  transfer(third, lender, { tokensWanted: 4 })
  t.deepEqual([lender.capacity(), lender.tokens()], [4, 4])
  transfer(lender, fourth, { borrower: 'vm4/1', fractionWanted: 0.5, tokensWanted: 4 })
  t.true(lender.capacity() + fourth.capacity() <= 4 + 5)
})
