/**
 * Command-line program `egretyoke-entry`.
 */
import type { ServerProgram } from '@egretyoke/common'
import { startEntry } from './entry.js'
import { entrySettingsSchema } from './settings.js'
import type { EntrySettings } from './settings.js'

/** Definition of the program `egretyoke-entry`. */
export const entryProgram: ServerProgram<EntrySettings> = {
  name: 'egretyoke-entry',
  description: 'Accepts statements from callers and runs them on the database groups.',
  settingsSchema: entrySettingsSchema,
  start: startEntry
}
