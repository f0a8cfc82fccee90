/**
 * Components shared by all requests on this VM.
 */
import type { Clock, Logger } from '@egretyoke/common'
import type { RetryBudget, AcquireResult } from '@egretyoke/limits'
import type { EntryLimits } from '../settings.js'
import type { Admission } from './admission.js'
import type { AnswerChecker } from './answer-check.js'
import type { ConcurrencyLimit } from './concurrency-limit.js'
import type { GroupDispatcher } from './group-dispatcher.js'
import type { GroupEndpoints } from './group-endpoints.js'
import type { RetryPolicy } from './retry-policy.js'
import type { GroupRecord } from '@egretyoke/config'
import type { RequestCounters } from './request-counters.js'

/** How reads select and check replicas. `uncheckedReplicas` exists for comparison in experiments only. */
export type ReadPolicy = 'checkedReplicas' | 'uncheckedReplicas' | 'primaryOnly'

/** Components of one group that requests use. */
export type GroupContext = {
  name: string
  record: () => GroupRecord | undefined
  endpoints: GroupEndpoints
  dispatcher: GroupDispatcher
  answerChecker: AnswerChecker
}

/** Components shared by all requests. */
export type EntryContext = {
  clock: Clock
  log: Logger
  limits: EntryLimits
  admit: Admission
  /** Waits a short time for contact. Resolves to false if the VM is still not in contact. */
  waitForContact: () => Promise<boolean>
  /** Acquires one token of the workspace's rate limit, waiting a short time for a loan from a peer if needed. */
  acquireRateToken: (workspace: string) => Promise<AcquireResult>
  concurrency: ConcurrencyLimit
  group: (name: string) => GroupContext | undefined
  readPolicy: ReadPolicy
  retryPolicy: RetryPolicy
  /** Limits retries to a fraction of the requests. */
  retryBudget: RetryBudget
  counters: RequestCounters
}
