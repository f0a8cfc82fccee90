/**
 * Settings of `egretyoke-entry`.
 */
import { channelSettingsSchema, loopbackChannels } from '@egretyoke/protocol'
import { z } from 'zod'

const address = z.string().regex(/:\d+$/, 'must be HOST:PORT; port 0 selects a free port')
const intervalMs = z.number().int().min(10).max(600_000)

/** Limits on memory and time. Every queue, map and buffer of the program is bounded. */
export const entryLimitsSchema = z.strictObject({
  maxStatementBytes: z.number().int().min(1).default(256 * 1024),
  maxOpenCalls: z.number().int().min(1).default(20_000),
  maxQueuedPerGroup: z.number().int().min(1).default(2_000),
  maxQueuedPerWorkspace: z.number().int().min(1).default(500),
  maxOpenTransactions: z.number().int().min(1).default(200),
  /** A transaction is rolled back when its caller sends no step for this long. */
  transactionIdleMs: intervalMs.default(5_000),
  /** A streamed answer is aborted when the caller reads no rows for this long. */
  slowReaderMs: intervalMs.default(5_000)
})

/** Intervals and timeouts of heartbeats and platform polls, which keep the VM in contact. */
export const contactSettingsSchema = z.strictObject({
  /** Maximum age of a confirmation of the newest revision for the VM to stay in contact. */
  ttlMs: intervalMs.default(2_000),
  heartbeatIntervalMs: intervalMs.default(500),
  platformPollIntervalMs: intervalMs.default(400),
  platformTimeoutMs: intervalMs.default(1_000)
})

/** Names of the policies in use. The alternatives to the defaults exist for comparison in experiments. */
export const policySettingsSchema = z.strictObject({
  queue: z.enum(['deficitRoundRobin', 'firstComeFirstServed']).default('deficitRoundRobin'),
  reads: z.enum(['checkedReplicas', 'uncheckedReplicas', 'primaryOnly']).default('checkedReplicas'),
  retry: z.enum(['byOutcome', 'never', 'always']).default('byOutcome'),
  shares: z.enum(['loans', 'staticSlices', 'tokenLoans']).default('loans')
})

/** Settings of one entry. */
export const entrySettingsSchema = z.strictObject({
  /** Name of the VM. It is kept when the VM is replaced. */
  name: z.string().min(1).max(63),
  dataCentre: z.string().min(1).max(63),
  callerListen: address,
  peerListen: address,
  healthListen: address,
  platformAddress: address,
  /** Addresses of peers from which the state is fetched when the platform does not answer at startup. */
  seedPeers: z.array(address).max(1_000).default([]),
  channels: channelSettingsSchema.default(loopbackChannels),
  limits: entryLimitsSchema.prefault({}),
  contact: contactSettingsSchema.prefault({}),
  policies: policySettingsSchema.prefault({}),
  /** Time from SIGTERM until new calls are refused, so that the load balancer stops sending calls first. */
  drainNoticeMs: z.number().int().min(0).default(1_000),
  /** Maximum time for open calls to finish after `drainNoticeMs`. */
  drainTimeoutMs: z.number().int().min(0).default(30_000)
})

export type EntrySettings = z.infer<typeof entrySettingsSchema>
export type EntryLimits = z.infer<typeof entryLimitsSchema>
export type ContactSettings = z.infer<typeof contactSettingsSchema>
export type PolicySettings = z.infer<typeof policySettingsSchema>
