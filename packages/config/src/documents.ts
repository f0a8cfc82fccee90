/**
 * Schemas of the operators' configuration documents. Types are inferred from them; unknown fields are findings.
 */
import { z } from 'zod'

/** Maximum number of entries of one kind in a document. */
export const maxEntriesPerDocument = 10_000

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens, 1 to 63 characters')
const timeoutMs = z.number().int().min(1).max(3_600_000)
const address = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/, 'must be an IP address and port')

/** Copies entries into an object without prototype, so that a lookup by name finds configured entries only. */
const withoutPrototype = <T>(entries: Record<string, T>): Record<string, T> =>
  Object.assign(Object.create(null), entries)

const boundedRecord = <T extends z.ZodType>(value: T) => z.record(name, value)
  .refine(entries => Object.keys(entries).length <= maxEntriesPerDocument, `at most ${maxEntriesPerDocument} entries`)
  .transform(entries => withoutPrototype<z.infer<T>>(entries as Record<string, z.infer<T>>))

/** Required freshness of a read. */
export const freshnessSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('primary') }),
  z.strictObject({ kind: z.literal('session') }),
  z.strictObject({ kind: z.literal('maxAge'), maxAgeMs: z.number().int().min(0).max(86_400_000) })
])

/** A named profile: guarantees and limits of the requests that use it. */
export const profileSchema = z.strictObject({
  freshness: freshnessSchema,
  /** `majority`: a confirmed write survives a failover; `primary`: a failover may lose it. */
  confirmation: z.enum(['primary', 'majority']),
  /** Default and maximum timeout of one request. */
  timeoutMs,
  /** Maximum number of requests per workspace that one VM runs or queues concurrently under this profile. */
  maxConcurrency: z.number().int().min(1).max(100_000)
})

/** A key as it is stored: salted and hashed. */
export const storedKeySchema = z.strictObject({
  saltHex: z.string().regex(/^[0-9a-f]{32}$/),
  hashHex: z.string().regex(/^[0-9a-f]{64}$/),
  state: z.enum(['active', 'withdrawn'])
})

/** A route: the kind of its statements, and the database group that holds their data. */
export const routeSchema = z.strictObject({
  group: name,
  access: z.enum(['read', 'write']),
  /** True when the statements are idempotent. Reads are always repeatable. */
  repeatable: z.boolean().default(false),
  /** True when callers without a key of the workspace may use the route. */
  openToAll: z.boolean().default(false),
  profile: name
})

/** A workspace with its limits, keys and routes. */
export const workspaceSchema = z.strictObject({
  /** Rate limit in statements per second, for all VMs together. */
  ratePerSec: z.number().positive().max(10_000_000),
  /** Maximum burst after an idle period, in statements, for all VMs together. */
  burst: z.number().int().min(1).max(10_000_000),
  /** Share of the endpoints' time, relative to the weights of the other workspaces. */
  weight: z.number().positive().max(1_000).default(1),
  /** Stored keys by key id. */
  keys: boundedRecord(storedKeySchema).prefault({}),
  routes: boundedRecord(routeSchema)
})

/** One database. `slots` is the number of statements that it runs concurrently. */
export const endpointSchema = z.strictObject({
  address,
  dataCentre: name,
  slots: z.number().int().min(1).max(10_000),
  maxConnections: z.number().int().min(1).max(100_000)
})

/** A database group: one primary, and replicas. */
export const groupSchema = z.strictObject({
  endpoints: boundedRecord(endpointSchema),
  /** Endpoint that is the primary in the first term. */
  firstPrimary: name
})

/** A data centre. In state `out` it receives no new work. */
export const dataCentreSchema = z.strictObject({
  region: name,
  state: z.enum(['in', 'out']).default('in')
})

/** Schema of each configuration document, by document name. */
export const documentSchemas = {
  profiles: z.strictObject({ profiles: boundedRecord(profileSchema) }),
  workspaces: z.strictObject({ workspaces: boundedRecord(workspaceSchema) }),
  groups: z.strictObject({ groups: boundedRecord(groupSchema) }),
  'data-centres': z.strictObject({ dataCentres: boundedRecord(dataCentreSchema) })
} as const

/** Name of a configuration document. */
export type DocumentName = keyof typeof documentSchemas

/** All document names, in display order. */
export const documentNames = Object.keys(documentSchemas) as DocumentName[]

export type Freshness = z.infer<typeof freshnessSchema>
export type Profile = z.infer<typeof profileSchema>
export type StoredKey = z.infer<typeof storedKeySchema>
export type Route = z.infer<typeof routeSchema>
export type Workspace = z.infer<typeof workspaceSchema>
export type EndpointConfig = z.infer<typeof endpointSchema>
export type Group = z.infer<typeof groupSchema>
export type DataCentre = z.infer<typeof dataCentreSchema>

/** One accepted configuration: its version and the contents of its documents. */
export type Configuration = {
  version: number
  profiles: Record<string, Profile>
  workspaces: Record<string, Workspace>
  groups: Record<string, Group>
  dataCentres: Record<string, DataCentre>
}
