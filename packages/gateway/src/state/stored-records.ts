/**
 * The gateway's own records in the platform's store: VMs, group records and keepers of limits.
 */
import { Err, Ok, messageOf, typedError } from '@egretyoke/common'
import type { Result, TypedError } from '@egretyoke/common'
import { z } from 'zod'

/** Everything that the gateways store lies below this prefix. */
export const ownPrefix = 'egretyoke/'

/** Keys of the records. */
export const recordKeys = {
  vms: `${ownPrefix}vm/`,
  groups: `${ownPrefix}group/`,
  limits: `${ownPrefix}limit/`
} as const

const memberSchema = z.object({
  name: z.string(),
  dataCentre: z.string(),
  region: z.string(),
  /** HOST:PORT for other gateways. */
  address: z.string(),
  /** Differs between two processes of one VM. */
  incarnation: z.string(),
  draining: z.boolean()
})

/** A running gateway. Its record hangs on its lease. */
export type Member = z.infer<typeof memberSchema>

const groupRecordSchema = z.object({
  /** Id of the database that leads the group. */
  primary: z.string(),
  term: z.number(),
  /** `changing`: nobody may use the primary until a new one is in force. */
  phase: z.enum(['serving', 'changing']),
  /** NAME/INCARNATION of the gateways that may use the primary. */
  users: z.array(z.string()),
  /** Who changes the primary, as NAME/INCARNATION. */
  keeper: z.string()
})

/** Which primary is in force in a group, and who may use it. */
export type GroupRecord = z.infer<typeof groupRecordSchema>

const limitRecordSchema = z.object({ keeper: z.string() })

/** Which gateway hands out the tokens of a shard of the workspaces. */
export type LimitRecord = z.infer<typeof limitRecordSchema>

/** A stored value that cannot be read. */
export type UnreadableRecord = TypedError<'unreadableRecord'>

const reader = <T>(schema: z.ZodType<T>) => (value: Buffer): Result<T, UnreadableRecord> => {
  try {
    const parsed = schema.safeParse(JSON.parse(value.toString('utf8')))
    return parsed.success ? Ok(parsed.data) : Err(typedError('unreadableRecord', parsed.error.message))
  } catch (thrown) {
    return Err(typedError('unreadableRecord', messageOf(thrown)))
  }
}

export const readMember = reader(memberSchema)
export const readGroupRecord = reader(groupRecordSchema)
export const readLimitRecord = reader(limitRecordSchema)

/** The stored form of a record. */
export const writeRecord = (record: Member | GroupRecord | LimitRecord): Buffer => Buffer.from(JSON.stringify(record))

/** Names a process: a VM's name is used again by its next process. */
export const processName = ({ name, incarnation }: Pick<Member, 'name' | 'incarnation'>): string =>
  `${name}/${incarnation}`
