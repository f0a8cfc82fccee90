/**
 * Generated message types of the caller services, gathered in one module.
 */
export type * from './generated/egretyoke/caller/v1/Answer.js'
export type * from './generated/egretyoke/caller/v1/Begin.js'
export type * from './generated/egretyoke/caller/v1/Caller.js'
export type * from './generated/egretyoke/caller/v1/Commit.js'
export type * from './generated/egretyoke/caller/v1/Done.js'
export type * from './generated/egretyoke/caller/v1/Failed.js'
export type * from './generated/egretyoke/caller/v1/NotRun.js'
export type * from './generated/egretyoke/caller/v1/OutcomeUnknown.js'
export type * from './generated/egretyoke/caller/v1/Rollback.js'
export type * from './generated/egretyoke/caller/v1/Statement.js'
export type * from './generated/egretyoke/caller/v1/StreamPart.js'
export type * from './generated/egretyoke/caller/v1/TransactionAnswer.js'
export type * from './generated/egretyoke/caller/v1/TransactionStep.js'
