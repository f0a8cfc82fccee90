/**
 * Checks the example settings files against the settings schemas.
 */
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { formatFinding, readJsonWithComments } from '@egretyoke/common'
import { entrySettingsSchema } from '@egretyoke/entry'
import { stewardSettingsSchema } from '@egretyoke/steward'
import type { ZodType } from 'zod'

const examples = fileURLToPath(new URL('../../../examples/', import.meta.url))

const findingsOf = (file: string, schema: ZodType): string[] => {
  const read = readJsonWithComments(readFileSync(examples + file, 'utf8'), file, schema)
  return read.ok ? [] : read.val.map(formatFinding)
}

for (const deployment of ['arenal', 'modhafen']) {
  test(`${deployment}: the example settings of entry and steward are valid`, t => {
    t.deepEqual(findingsOf(`${deployment}/entry.jsonc`, entrySettingsSchema), [])
    t.deepEqual(findingsOf(`${deployment}/steward.jsonc`, stewardSettingsSchema), [])
  })
}
