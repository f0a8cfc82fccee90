/**
 * Records that gateways write to the platform's store: members, group records and limit records.
 */
import { Err, Ok, isHostAndPort, messageOf, typedError } from '@egretyoke/common'
import type { Result, TypedError } from '@egretyoke/common'
import { z } from 'zod'

/** Key prefix of all records written by gateways. */
export const gatewayPrefix = 'egretyoke/'

/** Key prefixes of the records, by kind. */
export const recordPrefixes = {
  vms: `${gatewayPrefix}vm/`,
  groups: `${gatewayPrefix}group/`,
  limits: `${gatewayPrefix}limit/`
} as const

/** A value that cannot be used is treated as absent: it only influences rank orders. */
const positiveNumber = z.number().positive().optional().catch(undefined)

const capacitySchema = z.object({
  processorCores: positiveNumber,
  linkMbps: positiveNumber,
  memoryMb: positiveNumber
})

/** What a VM has for its work, as far as it is known. */
export type Capacity = z.infer<typeof capacitySchema>

/** Key of the record of usage reports. */
export const usageKey = `${gatewayPrefix}usage`

const memberSchema = z.object({
  name: z.string(),
  dataCentre: z.string(),
  region: z.string(),
  /** HOST:PORT on which other gateways reach this one. */
  address: z.string().refine(isHostAndPort, 'is not HOST:PORT'),
  /** Unique id of the process, so that a restart on the same VM can be detected. */
  incarnation: z.string(),
  draining: z.boolean(),
  /** Absent in the records of earlier versions only. */
  capacity: capacitySchema.catch({}).optional(),
  /** True if the gateway stores group records with their epoch; earlier versions do not. */
  storesEpochs: z.boolean().optional().catch(undefined),
  /** True if the gateway reads positions that are as new as they are requested; earlier versions do not. */
  readsNewPositions: z.boolean().optional().catch(undefined)
})

/** A running gateway. Its record is attached to its lease and deleted when the lease ends. */
export type Member = z.infer<typeof memberSchema>

const logCopySchema = z.object({
  /** Id of the database. */
  id: z.string(),
  /** HOST:PORT of the database. */
  address: z.string()
})

/** A database that may hold confirmed commits. */
export type LogCopy = z.infer<typeof logCopySchema>

const groupRecordSchema = z.object({
  /** Id of the group's primary. */
  primary: z.string(),
  term: z.number(),
  /** `changing`: no gateway may use the primary until the next one is recorded. */
  phase: z.enum(['serving', 'changing']),
  /** NAME/INCARNATION of the gateways that are permitted to use the primary. */
  users: z.array(z.string()),
  /** NAME/INCARNATION of the gateway that is changing the primary. */
  keeper: z.string(),
  /** Databases that may hold confirmed commits; recorded for groups with synchronous replicas. */
  copies: z.array(logCopySchema).default([]),
  /**
   * Epoch of the store in which the primary was compared with what the databases say. In a later one the record may be
   * older than the last change of the primary. Absent in the records of earlier versions, and after they changed one.
   */
  epoch: z.number().optional()
})

/** The current primary of a group and the gateways that are permitted to use it. */
export type GroupRecord = z.infer<typeof groupRecordSchema>

const limitRecordSchema = z.object({ keeper: z.string() })

/** The gateway that allocates the rate limit tokens of a shard of the workspaces, as NAME/INCARNATION. */
export type LimitRecord = z.infer<typeof limitRecordSchema>

const usageWindowSchema = z.object({
  window: z.number().int(),
  /** Operations by workspace, in the order in which they are sent. */
  counts: z.array(z.tuple([z.string(), z.number().int().nonnegative()]))
})

/** The counts of a window, final from the moment they are stored. */
export type UsageWindow = z.infer<typeof usageWindowSchema>

const usageRecordSchema = z.object({
  /** NAME/INCARNATION of the reporter; empty after it has left. */
  keeper: z.string(),
  /** The first window that is not counted yet. */
  nextWindow: z.number().int(),
  /** Windows that are counted and not known to be acknowledged. */
  windows: z.array(usageWindowSchema)
})

/** The reporter of usage and its counted windows. Not bound to a lease, so that a successor finds the counts. */
export type UsageRecord = z.infer<typeof usageRecordSchema>

/** A stored value that cannot be parsed. */
export type UnreadableRecord = TypedError<'unreadableRecord'>

const createReader = <T>(schema: z.ZodType<T>) => (value: Buffer): Result<T, UnreadableRecord> => {
  try {
    const parsed = schema.safeParse(JSON.parse(value.toString('utf8')))
    return parsed.success ? Ok(parsed.data) : Err(typedError('unreadableRecord', parsed.error.message))
  } catch (thrown) {
    return Err(typedError('unreadableRecord', messageOf(thrown)))
  }
}

export const decodeMember = createReader(memberSchema)
export const decodeGroupRecord = createReader(groupRecordSchema)
export const decodeLimitRecord = createReader(limitRecordSchema)
export const decodeUsageRecord = createReader(usageRecordSchema)

/** Encodes a record for the store. */
export const encodeRecord = (record: Member | GroupRecord | LimitRecord | UsageRecord): Buffer =>
  Buffer.from(JSON.stringify(record))

/** Name of a process, NAME/INCARNATION: the VM's name alone is reused by its next process. */
export const processName = ({ name, incarnation }: Pick<Member, 'name' | 'incarnation'>): string =>
  `${name}/${incarnation}`

/** Splits the name of a process. An incarnation has no slash, but the name of a VM may have one. */
export const splitProcessName = (text: string): Pick<Member, 'name' | 'incarnation'> => {
  const slash = text.lastIndexOf('/')
  return { name: text.slice(0, Math.max(0, slash)), incarnation: text.slice(slash + 1) }
}
