/**
 * The gateway and the interfaces that a platform's adapter implements.
 */
export * from './coordination/connections/database-connection.js'
export type { PromoteDatabase } from './coordination/primaries/promotion.js'
export type { DrainPhase } from './coordination/sessions/drain-schedule.js'
export type { Session } from './coordination/sessions/session.js'
export type { SessionError, SessionResponse, SessionStatement } from './coordination/sessions/session-messages.js'
export { maxEntryBytes } from './coordination/sessions/session-state.js'
export { createTurns } from './coordination/sessions/turns.js'
export type { ConnectionTurns, Turns } from './coordination/sessions/turns.js'
export type { UsageSettings } from './coordination/usage/usage-reporter.js'
export type { ReportUsage, UsageReport } from './coordination/usage/usage-sender.js'
export { createRestorableStore } from './coordination/store/restorable-store.js'
export type {
  Changes, EpochAnswer, Listing, PlatformStore, SharedStore, StoreError
} from './coordination/store/shared-store.js'
export { events } from './events.js'
export { startGateway } from './gateway.js'
export type { Gateway, GatewayPlatform, GatewaySettings } from './gateway-types.js'
export { createByteAccount, memoryKinds } from './state/byte-account.js'
export type { AccountBounds, ByteAccount, MemoryKind } from './state/byte-account.js'
export type { Configuration, Database, Group, Route, RouteKind, Workspace } from './state/configuration.js'
export type { DecodePlatformEntry, LeftOutName, PlatformEntry } from './state/fleet-state.js'
export { isPosition } from './state/position.js'
export {
  combineRevision, epochOf, isRevisionWithinEpoch, maxEpoch, unusedRevision, withinEpoch
} from './state/store-revision.js'
export type { Capacity } from './state/stored-records.js'
export { recordPrefixes } from './state/stored-records.js'
