/**
 * Definition of the program `egretyoke-steward`.
 */
import type { ServerProgram } from '@egretyoke/common'
import { stewardSettingsSchema } from './settings.js'
import type { StewardSettings } from './settings.js'
import { startSteward } from './start-steward.js'

/** Name, settings schema and start function of `egretyoke-steward`. */
export const stewardProgram: ServerProgram<StewardSettings> = {
  name: 'egretyoke-steward',
  description: 'Watches the primaries of database groups, fences and replaces them, and manages the roster of VMs.',
  settingsSchema: stewardSettingsSchema,
  start: settings => startSteward(settings)
}
