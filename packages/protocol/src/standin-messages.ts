/**
 * Generated message types of the standin services, gathered in one module.
 */
export type * from './generated/egretyoke/standin/v1/DatabaseControl.js'
export type * from './generated/egretyoke/standin/v1/DatabaseFault.js'
export type * from './generated/egretyoke/standin/v1/DatabaseStats.js'
export type * from './generated/egretyoke/standin/v1/LinkControl.js'
export type * from './generated/egretyoke/standin/v1/LinkFault.js'
export type * from './generated/egretyoke/standin/v1/LoggedEntry.js'
export type * from './generated/egretyoke/standin/v1/Nothing.js'
export type * from './generated/egretyoke/standin/v1/PlatformControl.js'
export type * from './generated/egretyoke/standin/v1/PlatformFault.js'
export type * from './generated/egretyoke/standin/v1/PlatformStats.js'
export type * from './generated/egretyoke/standin/v1/ReadLogRequest.js'
export type * from './generated/egretyoke/standin/v1/SetVmsRequest.js'
