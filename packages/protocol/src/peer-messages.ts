/**
 * Generated message types of the peer services, gathered in one module.
 */
export type * from './generated/egretyoke/peer/v1/BorrowReply.js'
export type * from './generated/egretyoke/peer/v1/BorrowRequest.js'
export type * from './generated/egretyoke/peer/v1/EndpointSighting.js'
export type * from './generated/egretyoke/peer/v1/FetchStateReply.js'
export type * from './generated/egretyoke/peer/v1/FetchStateRequest.js'
export type * from './generated/egretyoke/peer/v1/HeartbeatMessage.js'
export type * from './generated/egretyoke/peer/v1/Peer.js'
export type * from './generated/egretyoke/peer/v1/StateEntry.js'
export type * from './generated/egretyoke/peer/v1/StopConfirmingReply.js'
export type * from './generated/egretyoke/peer/v1/StopConfirmingRequest.js'
