/**
 * Log events of the limits; docs/EVENTS.md lists their ids.
 */
import type { EventDefinition } from '@egretyoke/common'

export const events = {
  shareChanged: {
    id: 6001,
    name: 'shareChanged',
    meaning: 'The roster or the number of slots changed; a larger share takes effect after the longest loan.'
  },
  limitsRefused: {
    id: 6002,
    name: 'limitsRefused',
    meaning: 'More limits are configured than the table allows; requests under the excess limits are refused.'
  },
  loansExpired: {
    id: 6003,
    name: 'loansExpired',
    meaning: 'All borrowed loans were ended because the host may have been paused.'
  },
  loanRefused: {
    id: 6004,
    name: 'loanRefused',
    meaning: 'A loan request of a peer was refused for the named reason.'
  }
} satisfies Record<string, EventDefinition>
