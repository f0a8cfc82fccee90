/**
 * Interface of the steward's calls to entries.
 */
import type { RosterMember } from '@egretyoke/config'

/** State of an endpoint as observed by an entry. `ageMs`: time since the endpoint last replied to that entry. */
export type Sighting = {
  endpoint: string
  reachable: boolean
  ageMs: number
  term: number
  appliedPosition: number
  isPrimary: boolean
}

/** An entry's reply to a steward's heartbeat. */
export type EntryStatus = {
  /** Store revision up to which the entry has received the followed records. */
  knownRevision: number
  /** True until the entry has loaded the followed records after its start. */
  starting: boolean
  sightings: Sighting[]
  /** Names of roster members that have not replied to the entry for longer than the contact TTL. */
  silentPeers: string[]
}

/**
 * Request that an entry confirms no more writes of terms below `term`. `revision` is the store revision of the group's
 * fencing record.
 */
export type StopRequest = { group: string, term: number, revision: number }

/** Calls to entries. Any failed call counts as no reply, whatever the cause. */
export type EntryPeers = {
  /** Reads the entry's state; undefined if the entry does not reply. */
  observe: (entry: RosterMember) => Promise<EntryStatus | undefined>
  /** Returns true only if the entry has acknowledged the request. */
  stopConfirming: (entry: RosterMember, request: StopRequest) => Promise<boolean>
}
