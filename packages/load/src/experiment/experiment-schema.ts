/**
 * Schema of the experiment files under `experiments/`. Times of loads and faults are fractions of the run's planned
 * length, so that `--seconds` scales the whole run.
 */
import { z } from 'zod'
import { faultSchema } from '../faults.js'

const share = z.number().min(0).max(1)
const seconds = z.number().min(2).max(3_600)

const fleetOverridesSchema = z.strictObject({
  vms: z.number().int().min(1).max(100),
  groups: z.number().int().min(1).max(20),
  databasesPerGroup: z.number().int().min(1).max(5),
  slots: z.number().int().min(1),
  maxConnections: z.number().int().min(1),
  serviceMs: z.number().min(0),
  replicationLagMs: z.number().min(0),
  maxAgeMs: z.number().int().min(0),
  maxConcurrency: z.number().int().min(1),
  timeoutMs: z.number().int().min(1),
  stewards: z.boolean(),
  links: z.strictObject({
    platform: z.boolean().optional(),
    peers: z.boolean().optional(),
    databases: z.boolean().optional(),
    delayMs: z.number().min(0).optional()
  })
}).partial()

/** Defaults for the fleet of an experiment. */
const defaultShape = {
  vms: 3,
  groups: 1,
  databasesPerGroup: 3,
  slots: 3,
  maxConnections: 20,
  serviceMs: 2,
  replicationLagMs: 20,
  maxAgeMs: 2_000,
  maxConcurrency: 500,
  timeoutMs: 5_000,
  stewards: true,
  links: {}
}

/** Schema of the sizes, timings and limits of an experiment's fleet. */
export const fleetShapeSchema = fleetOverridesSchema.transform(overrides => ({ ...defaultShape, ...overrides }))

const workspaceSchema = z.strictObject({
  ratePerSec: z.number().positive(),
  burst: z.number().int().min(1),
  weight: z.number().positive().default(1),
  group: z.string().default('group-1')
})

/** Schema of a load by one workspace or by each of them. */
export const loadSchema = z.strictObject({
  /** Name of a workspace, or `*` for all of the experiment's workspaces. */
  workspace: z.string(),
  /** Request rate as a multiple of the workspace's rate limit. */
  timesRate: z.number().positive(),
  from: share.default(0),
  to: share.default(1),
  /** Relative weight of each route: write, tally, read, board, read-primary. */
  mix: z.record(z.string(), z.number().min(0)).default({ write: 0.2, read: 0.6, board: 0.2 }),
  costMs: z.number().min(0).optional(),
  /** Indexes of the VMs that receive the requests; default: all ready VMs. */
  vms: z.array(z.number().int().min(0)).optional()
})

/** Settings of the entries of a variant; the entries validate them. */
const variantSchema = z.strictObject({
  policies: z.record(z.string(), z.string()).default({}),
  contact: z.record(z.string(), z.number()).default({})
})

const scenarioSchema = z.strictObject({
  fleet: fleetOverridesSchema.prefault({}),
  load: z.array(loadSchema).default([]),
  faults: z.array(faultSchema).default([])
})

const boundSchema = z.strictObject({
  measure: z.string(),
  /** Without a variant or scenario, the bound applies to all of them. */
  variant: z.string().optional(),
  scenario: z.string().optional(),
  atLeast: z.number().optional(),
  atMost: z.number().optional()
})

const ratioSchema = z.strictObject({ measure: z.string(), scenario: z.string(), toScenario: z.string() })

const common = {
  title: z.string(),
  seed: z.number().int().min(0).default(1),
  /** Planned length of each scenario. */
  seconds: seconds.default(15),
  /** Names of the measures in the result table. */
  columns: z.array(z.string()),
  bounds: z.array(boundSchema).default([])
}

/** Experiment with load and faults on concurrent fleets, one for each variant. */
export const loadExperimentSchema = z.strictObject({
  kind: z.literal('load'),
  ...common,
  fleet: fleetShapeSchema.prefault({}),
  workspaces: z.record(z.string(), workspaceSchema),
  /** Load that all scenarios have in common. */
  load: z.array(loadSchema),
  variants: z.record(z.string(), variantSchema),
  scenarios: z.record(z.string(), scenarioSchema),
  ratios: z.array(ratioSchema).default([])
})

/** Experiment with concurrent configuration changes by several operators while the store has faults. */
export const configExperimentSchema = z.strictObject({
  kind: z.literal('config'),
  ...common,
  fleet: fleetShapeSchema.prefault({}),
  operators: z.number().int().min(1).max(20),
  changesPerSec: z.number().positive(),
  scenarios: z.record(z.string(), z.strictObject({ faults: z.array(faultSchema).default([]) }))
})

/** Experiment that compares statements sent directly to a database with the same statements through an entry. */
export const overheadExperimentSchema = z.strictObject({
  kind: z.literal('overhead'),
  ...common,
  ratePerSec: z.number().positive(),
  busyRatePerSec: z.number().positive(),
  connectedCallers: z.number().int().min(0),
  connectedRatePerSec: z.number().positive()
})

/** Experiment on the control plane's cost in fleets of several sizes. */
export const controlExperimentSchema = z.strictObject({
  kind: z.literal('control-cost'),
  ...common,
  fleets: z.array(z.strictObject({
    vms: z.number().int().min(1),
    groups: z.number().int().min(1),
    workspaces: z.number().int().min(1),
    changesPerSec: z.number().min(0)
  }))
})

/** Schema of an experiment file. */
export const experimentSchema = z.discriminatedUnion('kind', [
  loadExperimentSchema, configExperimentSchema, overheadExperimentSchema, controlExperimentSchema
])

export type FleetShape = z.infer<typeof fleetShapeSchema>
export type LoadSpec = z.infer<typeof loadSchema>
export type LoadExperiment = z.infer<typeof loadExperimentSchema>
export type ConfigExperiment = z.infer<typeof configExperimentSchema>
export type OverheadExperiment = z.infer<typeof overheadExperimentSchema>
export type ControlExperiment = z.infer<typeof controlExperimentSchema>
export type Experiment = z.infer<typeof experimentSchema>
