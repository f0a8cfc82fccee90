/**
 * Reads the deployments under `examples/`: configuration documents, VMs and database timings.
 */
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { formatFinding, readJsonWithComments } from '@egretyoke/common'
import type { Finding } from '@egretyoke/common'
import { documentNames, readDocuments } from '@egretyoke/config'
import type { DocumentTexts } from '@egretyoke/config'
import type { FleetDescription } from '@egretyoke/testbed'
import { z } from 'zod'

const examplesDir = fileURLToPath(new URL('../../../examples', import.meta.url))

const fleetFileSchema = z.object({
  vms: z.array(z.object({ name: z.string(), dataCentre: z.string() })),
  databases: z.object({ connectMs: z.number(), statementMs: z.number(), replicationLagMs: z.number() })
})

/** Returns the names of the deployments. */
export const deploymentNames = (): string[] =>
  readdirSync(examplesDir).filter(name => existsSync(join(examplesDir, name, 'fleet.jsonc')))

const unwrap = <T>(read: { ok: true, val: T } | { ok: false, val: Finding[] }): T => {
  if (read.ok) return read.val
  throw new Error(read.val.map(formatFinding).join('\n'))
}

/** Reads a deployment. Throws an error with all findings when a file is invalid. */
export const readDeployment = (name: string): FleetDescription => {
  const fileOf = (document: string) => join(examplesDir, name, `${document}.jsonc`)
  const texts = Object.fromEntries(documentNames.map(document =>
    [document, { file: fileOf(document), text: readFileSync(fileOf(document), 'utf8') }])) as DocumentTexts
  const { version: _, ...configuration } = unwrap(readDocuments(texts, 1))
  const fleetFile = fileOf('fleet')
  const fleet = unwrap(readJsonWithComments(readFileSync(fleetFile, 'utf8'), fleetFile, fleetFileSchema))
  return {
    configuration,
    vms: fleet.vms.map(({ name: vm, dataCentre }) => ({ name: vm, dataCentre })),
    serviceMs: fleet.databases.statementMs,
    connectMs: fleet.databases.connectMs,
    replicationLagMs: fleet.databases.replicationLagMs
  }
}
