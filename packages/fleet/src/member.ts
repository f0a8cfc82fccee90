/**
 * Term and replication control of one member of a database group, as a record of functions. Every implementation must
 * pass the contract tests in member-contract.ts.
 */
import type { Result, TypedError } from '@egretyoke/common'
import type { TermStart } from '@egretyoke/config'

/** Status of a member. Positions count log entries from 1. */
export type MemberState = {
  name: string
  group: string
  term: number
  /** True only while the member accepts writes of its term. */
  isPrimary: boolean
  /** Writes and replication of terms below this one are refused. */
  fencedTerm: number
  receivedPosition: number
  appliedPosition: number
  lastEntryTerm: number
  /** The primary that the member follows, or its own name. */
  primaryName: string
  /** Starts of the terms in its log, oldest first. */
  lineage: TermStart[]
  leaving: boolean
}

/** Response to a control request, with the member's state after the request. */
export type ControlResponse = {
  accepted: boolean
  /** Why the request was refused. */
  reason: string
  state: MemberState
}

/** `noAnswer`: the request may or may not have taken effect. */
export type MemberError = TypedError<'noAnswer'>

/** Control of one member. Requests are idempotent and bound to a term; timeouts are in milliseconds. */
export type GroupMember = {
  getStatus: (timeoutMs: number) => Promise<Result<MemberState, MemberError>>
  /** Makes the member refuse writes and replication of terms below the given one. */
  fence: (term: number, timeoutMs: number) => Promise<Result<ControlResponse, MemberError>>
  /** Makes the member the primary of the term. Refused when the member is fenced at a higher term. */
  promote: (term: number, timeoutMs: number) => Promise<Result<ControlResponse, MemberError>>
  /** Makes the member a replica of the term's primary, whose address is HOST:PORT. */
  follow: (
    term: number,
    primary: { name: string, address: string },
    timeoutMs: number
  ) => Promise<Result<ControlResponse, MemberError>>
  close: () => void
}
