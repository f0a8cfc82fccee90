/**
 * Durations and peer calls shared by loans of rate limits and of connection permits.
 */
import type { BorrowReply, BorrowRequest } from '@egretyoke/limits'
import type { PlatformState } from '../state/platform-state.js'
import type { PeerCalls } from './peer-calls.js'

/** Maximum duration of a loan, in milliseconds. */
export const loanTtlMs = 1_000

/** Time in milliseconds by which the lender treats a loan as expired later than the borrower does. */
export const loanMarginMs = 200

const contactMarginMs = 300
const borrowTimeoutMs = 200

/**
 * Delay in milliseconds before an increased share of a limit takes effect: the contact TTL plus the maximum loan
 * duration, each with its margin.
 *
 * Suppose that a roster stored at time S removes a VM's share, because the VM was removed or suspended, while the VM is
 * still running. Until the VM receives that roster it admits requests and grants loans only while it is in contact, at
 * the latest until S plus the contact TTL. Its last loan, including any part that the borrower lent on, expires one
 * loan duration later. No VM receives the roster before S, so no increased share takes effect before that. The contact
 * TTL alone would be too short, because the last loan can be granted at its very end.
 *
 * The guarantee depends on contact ending in time. It does not hold while a majority of the roster can reach neither
 * the platform nor any VM that has the new roster, because that majority then keeps each other in contact (see
 * contact.ts).
 */
export const growthDelayMsFor = (contactTtlMs: number): number =>
  contactTtlMs + contactMarginMs + loanTtlMs + loanMarginMs

/** Creates the function that requests a loan from a peer in the roster; it resolves to undefined without a reply. */
export const createBorrowCall = (state: PlatformState, calls: PeerCalls) =>
  async (peer: string, request: BorrowRequest): Promise<BorrowReply | undefined> => {
    const address = state.roster()?.members.find(member => member.name === peer)?.address
    return address === undefined ? undefined : await calls.borrow(address, request, borrowTimeoutMs)
  }
