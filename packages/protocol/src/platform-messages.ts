/**
 * Generated message types of the platform services, gathered in one module.
 */
export type * from './generated/egretyoke/platform/v1/Entry.js'
export type * from './generated/egretyoke/platform/v1/GetReply.js'
export type * from './generated/egretyoke/platform/v1/GetRequest.js'
export type * from './generated/egretyoke/platform/v1/KeyValue.js'
export type * from './generated/egretyoke/platform/v1/LeaseReply.js'
export type * from './generated/egretyoke/platform/v1/LeaseRequest.js'
export type * from './generated/egretyoke/platform/v1/RangeReply.js'
export type * from './generated/egretyoke/platform/v1/RangeRequest.js'
export type * from './generated/egretyoke/platform/v1/SwapReply.js'
export type * from './generated/egretyoke/platform/v1/SwapRequest.js'
export type * from './generated/egretyoke/platform/v1/Vm.js'
export type * from './generated/egretyoke/platform/v1/VmList.js'
export type * from './generated/egretyoke/platform/v1/VmListReply.js'
export type * from './generated/egretyoke/platform/v1/VmListRequest.js'
export type * from './generated/egretyoke/platform/v1/VmRole.js'
