/**
 * Log events of egretyokectl.
 */
import type { EventDefinition } from '@egretyoke/common'

/** Events, by name. */
export const events = {
  changeSent: {
    id: 3001,
    name: 'changeSent',
    meaning: 'A configuration change was sent to the platform.'
  },
  changeSettled: {
    id: 3002,
    name: 'changeSettled',
    meaning: 'The outcome of a configuration change is known, or its timeout has expired.'
  },
  changeRetried: {
    id: 3003,
    name: 'changeRetried',
    meaning: 'Another change was accepted first but did not modify the same value; this change is retried on top of it.'
  },
  vmAsked: {
    id: 3004,
    name: 'vmAsked',
    meaning: 'The configuration version in force on a VM was requested.'
  }
} satisfies Record<string, EventDefinition>
