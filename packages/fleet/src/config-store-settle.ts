/**
 * Finds the outcome of a change whose reply was lost, from the head's recent changes.
 */
import type { ConfigHead } from '@egretyoke/config'
import { defaultApplyTimeouts, readHead, readWithRetries } from './config-store.js'
import type { ApplyTimeouts } from './config-store.js'
import type { Platform } from './platform.js'

/** Returns the version that a change created; undefined when it is not among the head's recent changes. */
export const versionOfChange = (head: ConfigHead, changeId: string): number | undefined =>
  head.recentChanges.find(change => change.changeId === changeId)?.version

/** Returns true when the head's recent changes include the given version. */
export const hasRecentVersion = (head: ConfigHead, version: number): boolean =>
  head.recentChanges.some(change => change.version === version)

/** Outcome of a change according to a later head. */
export type Settlement =
  | { kind: 'accepted', version: number }
  /** Another change created the version after this change's base. */
  | { kind: 'notAccepted', headVersion: number }
  /** Not accepted yet; it can still be accepted while its sender runs. */
  | { kind: 'open', headVersion: number }
  /** The platform does not reply, or the version is no longer among the head's recent changes. */
  | { kind: 'unsettled', message: string }

/** Returns the base version in a change id; undefined when it was not created by `createChangeId`. */
export const baseVersionOf = (changeId: string): number | undefined => {
  const match = /^v(\d{1,15})-[0-9a-f]{24}$/.exec(changeId)
  return match ? Number(match[1]) : undefined
}

/** Determines the outcome of a change from a head. */
export const settlementFromHead = (head: ConfigHead, baseVersion: number, changeId: string): Settlement => {
  const version = versionOfChange(head, changeId)
  if (version !== undefined) return { kind: 'accepted', version }
  if (head.version <= baseVersion) return { kind: 'open', headVersion: head.version }
  if (hasRecentVersion(head, baseVersion + 1)) return { kind: 'notAccepted', headVersion: head.version }
  return { kind: 'unsettled', message: `version ${baseVersion + 1} is no longer among the recent changes` }
}

/** Reads the head and determines the outcome of a change. */
export const settleChange = async (
  platform: Platform,
  changeId: string,
  timeouts: ApplyTimeouts = defaultApplyTimeouts
): Promise<Settlement> => {
  const baseVersion = baseVersionOf(changeId)
  if (baseVersion === undefined) return { kind: 'unsettled', message: `"${changeId}" is not a change id` }
  const stored = await readWithRetries(timeouts, timeoutMs => readHead(platform, timeoutMs))
  if (!stored.ok) return { kind: 'unsettled', message: stored.val.message }
  return settlementFromHead(stored.val.head, baseVersion, changeId)
}
