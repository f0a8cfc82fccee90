/**
 * Decisions about the store record of usage reports. The record names the reporter and holds the windows that were
 * counted and not yet acknowledged, so that a successor sends exactly the same counts. Counts in it never change.
 */
import { maxKeptValueBytes } from '../../state/store-history.js'
import type { Member, UsageRecord, UsageWindow } from '../../state/stored-records.js'
import { encodeRecord, splitProcessName } from '../../state/stored-records.js'

/** Windows that a record holds at most, beyond which the oldest are dropped unsent. */
export const maxStoredWindows = 60
/** Newest windows that a longer record may hold, whose reports may still be on time. */
const minStoredWindows = 4
/** Size of a record; the platform's store accepts less than 1 MB. */
export const maxRecordBytes = 900_000

/** True while the reporter of the record is a member of the fleet. */
export const isUsageClaimed = (record: UsageRecord | undefined, members: ReadonlyMap<string, Member>): boolean => {
  if (record === undefined || record.keeper === '') return false
  const { name, incarnation } = splitProcessName(record.keeper)
  return members.get(name)?.incarnation === incarnation
}

/** Time that each gateway leaves to the one before it in rank, which may be of a version that makes no reports. */
const rankDelayMs = 2000

/** True if the gateway with this rank, from 0, may claim a record that has had no reporter for this time. */
export const mayClaim = (rank: number, unclaimedForMs: number): boolean =>
  rank >= 0 && unclaimedForMs >= rank * rankDelayMs

/** The record after a claim: a successor takes over all stored windows. */
export const claimedBy = (record: UsageRecord | undefined, keeper: string, firstWindow: number): UsageRecord => ({
  keeper, nextWindow: Math.max(record?.nextWindow ?? firstWindow, 0), windows: record?.windows ?? []
})

/** The first window to collect; earlier ones are too many to be stored. */
export const firstDueWindow = (nextWindow: number, currentWindow: number): number =>
  Math.max(nextWindow, currentWindow - maxStoredWindows)

/** The record with more counted windows, without the acknowledged ones, and the windows that were dropped unsent. */
export const withCounted = (
  record: UsageRecord, counted: readonly UsageWindow[], isAcknowledged: (window: number) => boolean
): { record: UsageRecord, dropped: number[] } => {
  const added = counted.filter(({ window }) => window >= record.nextWindow)
  const windows = [...record.windows.filter(({ window }) => !isAcknowledged(window)), ...added]
  const nextWindow = added.reduce((next, { window }) => Math.max(next, window + 1), record.nextWindow)
  const dropped: number[] = []
  // A longer value is not forwarded by watchers, and a gateway that the store refuses could not follow them.
  const maxBytes = () => windows.length > minStoredWindows ? maxKeptValueBytes : maxRecordBytes
  const isTooLarge = () => windows.length > maxStoredWindows ||
    encodeRecord({ ...record, nextWindow, windows }).length > maxBytes()
  while (windows.length > 0 && isTooLarge()) dropped.push(windows.shift()!.window)
  return { record: { ...record, nextWindow, windows }, dropped }
}

/** Time of a call to the platform, as a fraction of the time within which holders must not alternate. */
export const callFraction = 1 / 6
/** Age of what a reporter knows of its claim, as such a fraction. With the call it stays under a successor's wait. */
const proofFraction = 1 / 4
/** A successor's wait, as such a fraction. A, B, A takes two waits. */
const waitFraction = 1 / 2
/** Added to the wait, because calls of two VMs take different times to arrive. */
const waitMarginMs = 100

/** What a reporter knows of its claim. */
export type ClaimState = {
  leaseMs: number
  sinceClaimMs: number
  /** Time since the store last confirmed that the record names this reporter. */
  sinceProofMs: number
  isLeaseHeld: boolean
}

/** True if the reporter may call the platform now. */
export const maySend = ({ leaseMs, sinceClaimMs, sinceProofMs, isLeaseHeld }: ClaimState): boolean =>
  isLeaseHeld && sinceClaimMs >= leaseMs * waitFraction + waitMarginMs && sinceProofMs < leaseMs * proofFraction
