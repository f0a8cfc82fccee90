/**
 * Lists and reads the experiment files under `experiments/`.
 */
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { readJsonWithComments } from '@egretyoke/common'
import type { Finding, Result } from '@egretyoke/common'
import { experimentSchema } from './experiment-schema.js'
import type { Experiment } from './experiment-schema.js'

const experimentsDir = fileURLToPath(new URL('../../../../experiments', import.meta.url))
const suffix = '.jsonc'

/** Returns the sorted names of all experiments. */
export const experimentNames = (): string[] =>
  readdirSync(experimentsDir).filter(file => file.endsWith(suffix)).map(file => file.slice(0, -suffix.length)).sort()

/** Reads and validates an experiment file; the error contains all findings. */
export const readExperiment = (name: string): Result<Experiment, Finding[]> => {
  const file = join(experimentsDir, `${name}${suffix}`)
  return readJsonWithComments<Experiment>(readFileSync(file, 'utf8'), file, experimentSchema)
}
