/**
 * Description of a whole deployment for the demo and the testbed: VMs, their data centres, and network latencies.
 * The server programs do not read it: each process reads its own addresses and data centre from its settings.
 */
import { z } from 'zod'

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens, 1 to 63 characters')
const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be an IP address and port')
const durationMs = z.number().min(0).max(60_000)

/** An entry VM with the addresses of its three listeners. */
export const describedVmSchema = z.strictObject({
  name,
  dataCentre: name,
  /** Listener for callers. */
  callersAddress: address,
  /** Listener for peers and stewards. */
  peersAddress: address,
  /** Listener for `/healthz`, `/readyz` and `/metrics`. */
  healthAddress: address
})

/** One-way network latencies. */
export const latenciesSchema = z.strictObject({
  betweenDataCentresMs: durationMs,
  betweenRegionsMs: durationMs,
  toClientsMs: durationMs
})

/** Timing of the database stand-ins. Their slots and connection limits are in the groups document. */
export const databaseBehaviourSchema = z.strictObject({
  /** Time to open a connection. */
  connectMs: durationMs,
  /** Time that one statement occupies a slot. */
  statementMs: durationMs,
  /** Time between receiving a log entry and applying it. */
  replicationLagMs: durationMs
})

/** A whole deployment. */
export const fleetDescriptionSchema = z.strictObject({
  deployment: name,
  platformAddress: address,
  vms: z.array(describedVmSchema).min(1).max(1000),
  latencies: latenciesSchema,
  databases: databaseBehaviourSchema
})

export type DescribedVm = z.infer<typeof describedVmSchema>
export type Latencies = z.infer<typeof latenciesSchema>
export type DatabaseBehaviour = z.infer<typeof databaseBehaviourSchema>
export type FleetDescription = z.infer<typeof fleetDescriptionSchema>
