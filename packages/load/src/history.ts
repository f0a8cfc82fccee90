/**
 * Record of a run's requests and responses, which the checker compares with the databases' logs.
 */
import type { Confirmation, ReadFreshness } from './resolved-route.js'
import type { ResponseKind } from '@egretyoke/testbed'

/** Maximum number of recorded operations of one run. */
export const maxRecordedOperations = 3_000_000

/** One request and its response. Times are monotonic, in milliseconds since the start of the run. */
export type Operation = {
  /** Identifies a write in the databases' logs; empty for reads. */
  opId: string
  workspace: string
  route: string
  group: string
  access: 'read' | 'write'
  /** Whether the entry may execute it more than once. */
  isRepeatable: boolean
  confirmation: Confirmation
  freshness: ReadFreshness
  /** Maximum age of a read's data; 0 unless its freshness is `maxAge`. */
  maxAgeMs: number
  session: number
  /** Index of the VM that received it; -1 when none was ready. */
  vm: number
  /** Key that it reads or increments. */
  key: string
  /** Number of confirmed writes of the session to the key when the request was sent; used for reads. */
  confirmedWriteCount: number
  /**
   * Whether a replica may serve the request: any `maxAge` read, and a `session` read unless the outcome of a write of
   * its session is unknown.
   */
  isReplicaEligible: boolean
  intendedMs: number
  sentMs: number
  receivedMs: number
  kind: ResponseKind
  reason: string
  result: string
  endpoint: string
  fromReplica: boolean
}

/** Recorded operations of one run, and its planned length. */
export type History = {
  operations: Operation[]
  durationMs: number
}

/** Reason of an entry's refusal because of a workspace's rate limit. */
export const rateRefusalReason = 'rate'

/** Returns whether the request was refused because of its workspace's rate limit. */
export const isRateRefusal = (operation: Operation): boolean =>
  operation.kind === 'notRun' && operation.reason === rateRefusalReason

/** Returns the counter value in the response of a read or an increment; 0 for an empty result. */
export const counterValue = (operation: Operation): number => operation.result === '' ? 0 : Number(operation.result)

/** Groups operations by the result of `nameOf`. */
export const groupBy = (operations: Operation[], nameOf: (operation: Operation) => string) => {
  const groups = new Map<string, Operation[]>()
  for (const operation of operations) {
    const name = nameOf(operation)
    const group = groups.get(name)
    if (group) group.push(operation)
    else groups.set(name, [operation])
  }
  return groups
}
