/**
 * Interfaces of the external calls of a promotion. They are plain functions, so that tests can control when each call
 * gets its reply.
 */
import type { Result } from '@egretyoke/common'
import type { EndpointConfig, GroupRecord, Roster } from '@egretyoke/config'
import type { GroupMember, PlatformError } from '@egretyoke/fleet'
import type { Stored } from '../state/stored-records.js'
import type { EntryPeers } from './entry-peers.js'

/** A group's record with its store revision. */
export type StoredGroup = Stored<GroupRecord | undefined>

/** Result of a compare-and-swap of a group's record. */
export type GroupSwapResult = { swapped: boolean, current: StoredGroup }

/** A member of the group with its control connection. */
export type PromotionMember = {
  name: string
  endpoint: EndpointConfig
  control: GroupMember
  /** False if the member's data centre is out of service or the endpoint is leaving. */
  canRemainPrimary: boolean
}

/** External calls of a promotion. */
export type PromotionCalls = {
  readGroup: () => Promise<Result<StoredGroup, PlatformError>>
  swapGroup: (expectedRevision: number, record: GroupRecord) => Promise<Result<GroupSwapResult, PlatformError>>
  readRoster: () => Promise<Result<Roster | undefined, PlatformError>>
  /** True if the roster has been unchanged for at least `contactExpiryMs`: entries that left it are out of contact. */
  isRosterStable: (roster: Roster) => boolean
  entries: EntryPeers
  /** Resolves to true after the delay, or to false as soon as the signal aborts. */
  sleepMs: (ms: number, signal?: AbortSignal) => Promise<boolean>
}

/** Steps of a promotion. Tests can pause the steward after each one. */
export type PromotionStep = 'fencing' | 'stopped' | 'fenced' | 'promoted' | 'adopted' | 'active'

/** Timeouts of a promotion, in milliseconds. */
export type PromotionTimeouts = {
  /** Time without any reply after which an entry is out of contact, including the margin for clock differences. */
  contactExpiryMs: number
  memberTimeoutMs: number
  /** Timeout of a whole attempt. The next attempt starts a new term. */
  attemptTimeoutMs: number
}

/** Inputs of one promotion attempt. */
export type PromotionTask = {
  group: string
  members: PromotionMember[]
  calls: PromotionCalls
  timeouts: PromotionTimeouts
  /** The current primary in a planned handover; undefined when a failed primary is replaced. */
  outgoingPrimary?: string
  afterStep?: (step: PromotionStep, term: number) => Promise<void>
  onCandidateChosen?: (choice: { candidate: string, passedOver: string[] }) => void
  signal: AbortSignal
}

/** Returns the smallest number that is more than half of `size`. */
export const majorityOf = (size: number): number => Math.floor(size / 2) + 1
