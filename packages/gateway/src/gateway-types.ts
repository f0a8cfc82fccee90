/**
 * Types of a gateway as a program starts and uses it.
 */
import type { ChannelSettings } from '@egretyoke/protocol'
import type { Registry } from 'prom-client'
import type { ConnectDatabase } from './coordination/connections/database-connection.js'
import type { PromoteDatabase } from './coordination/primaries/promotion.js'
import type { DrainPhase } from './coordination/sessions/drain-schedule.js'
import type { SessionError } from './coordination/sessions/session-messages.js'
import type { Session } from './coordination/sessions/session.js'
import type { UsageSettings } from './coordination/usage/usage-reporter.js'
import type { ReportUsage } from './coordination/usage/usage-sender.js'
import type { PlatformStore } from './coordination/store/shared-store.js'
import type { GatewayMetrics } from './gateway-metrics.js'
import type { ByteAccount } from './state/byte-account.js'
import type { DecodePlatformEntry } from './state/fleet-state.js'
import type { Capacity } from './state/stored-records.js'

/** Identity, addresses and time limits of a gateway. */
export type GatewaySettings = {
  name: string
  dataCentre: string
  regionByDataCentre: ReadonlyMap<string, string>
  /** HOST:PORT on which other gateways reach this one. */
  relayAddress: string
  channels: ChannelSettings
  /** What this VM has for its work, as far as the settings say. */
  capacity?: Capacity
  /** Time after its accepted withdrawal by which a key must be refused everywhere. */
  keyWithdrawalMs: number
  /** Time between the request to stop and the end of the process. */
  graceMs: number
  /** Members from which on a start takes the state from a peer; if absent, as in `start-state.ts`. */
  minMembersForPeerStart?: number
  /** Usage reports; absent where the platform does not ask for them. */
  usage?: UsageSettings
  /** Account of the bytes held for callers; without one, only the state of sessions is limited. */
  account?: ByteAccount
}

/** Services of the platform that the gateway calls, implemented by the platform's adapter. */
export type GatewayPlatform = {
  store: PlatformStore
  connect: ConnectDatabase
  promote: PromoteDatabase
  decodeEntry: DecodePlatformEntry
  /** Needed only with the settings of usage reports. */
  reportUsage?: ReportUsage
}

/** A running gateway. */
export type Gateway = {
  /** Opens a session; its state is counted in the given part of the account. */
  openSession: (database: string, key: string, account?: ByteAccount) => Session | SessionError
  /** Resolves once the gateway has loaded keys and configuration after its start, or after the timeout. */
  whenStateLoaded: (timeoutMs: number) => Promise<void>
  /** Whether the gateway accepts new callers. */
  isReady: () => boolean
  /**
   * Whether idle sessions should be closed so that their callers reconnect elsewhere: this gateway has not been ready
   * for longer than the balancer needs to notice, and another gateway is ready.
   */
  shouldCloseIdleSessions: () => boolean
  metrics: GatewayMetrics
  registry: Registry
  setSessionCount: (count: number) => void
  /** Applies changed time limits. */
  applyTimeLimits: (times: Pick<GatewaySettings, 'keyWithdrawalMs' | 'graceMs'>) => void
  /** What the gateway still does for its callers after `drain` was called; undefined before. */
  drainPhase: () => DrainPhase | undefined
  /** Announces that the gateway stops, and finishes work held here for other gateways. */
  drain: () => Promise<void>
  close: () => Promise<void>
}
