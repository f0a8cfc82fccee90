/**
 * Counters, gauges and histograms of the gateway.
 */
import { Counter, Gauge, Histogram } from 'prom-client'
import type { Registry } from 'prom-client'
import { memoryKinds } from './state/byte-account.js'
import type { MemoryKind } from './state/byte-account.js'

/** Metrics that the gateway updates. */
export type GatewayMetrics = {
  statements: Counter<'result'>
  statementSeconds: Histogram<'kind'>
  statementsPrepared: Counter
  commandsDeclined: Counter<'kind' | 'reason'>
  linkEvents: Counter<'event'>
  statementsNotOffered: Counter<'reason'>
  holderMoves: Counter<'cause'>
  furtherAttempts: Counter<'cause' | 'made'>
  logLinesDropped: Counter
  usageReports: Counter<'result'>
  storeCalls: Counter<'call' | 'result'>
  boundsReached: Counter<'bound'>
}

/** Values of the gauges, read at each scrape. */
export type GaugeReaders = {
  sessions: () => number
  contactAgeMs: () => number
  databaseConnections: () => number
  openTransactions: () => number
  queuedStatements: () => number
  databasesBelowSlots: () => number
  unsentUsageWindows: () => number
  heldBytes: (kind: MemoryKind) => number
}

/** Bucket bounds of the latency histogram, in seconds. */
const latencyBucketsSec = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2]

/** Registers the gateway's metrics in the registry. */
export const createGatewayMetrics = (registry: Registry, gaugeReaders: GaugeReaders): GatewayMetrics => {
  const registers = [registry]
  const gauge = (name: string, help: string, read: () => number) =>
    new Gauge({ name, help, registers, collect () { this.set(read()) } })
  gauge('egretyoke_sessions', 'Open caller sessions', gaugeReaders.sessions)
  gauge('egretyoke_contact_age_ms', 'Age of the last confirmation by the store', gaugeReaders.contactAgeMs)
  gauge('egretyoke_database_connections', 'Open connections to databases', gaugeReaders.databaseConnections)
  gauge('egretyoke_open_transactions', 'Open transactions, each on its own connection', gaugeReaders.openTransactions)
  gauge('egretyoke_statements_waiting', 'Statements queued for or running at databases', gaugeReaders.queuedStatements)
  gauge(
    'egretyoke_databases_below_slots', 'Databases that run fewer statements at once than they have slots',
    gaugeReaders.databasesBelowSlots
  )
  gauge('egretyoke_usage_windows_unsent', 'Windows stored by this reporter and not acknowledged',
    gaugeReaders.unsentUsageWindows)
  const heldBytes = new Gauge({
    name: 'egretyoke_held_bytes',
    help: 'Bytes held for callers, by kind',
    labelNames: ['kind'],
    registers,
    collect: () => { for (const kind of memoryKinds) heldBytes.set({ kind }, gaugeReaders.heldBytes(kind)) }
  })
  return {
    statements: new Counter({
      name: 'egretyoke_statements_total', help: 'Statements answered, by result', labelNames: ['result'], registers
    }),
    statementSeconds: new Histogram({
      name: 'egretyoke_statement_seconds',
      help: 'Time from receiving a statement to its answer',
      labelNames: ['kind'],
      buckets: latencyBucketsSec,
      registers
    }),
    statementsPrepared: new Counter({
      name: 'egretyoke_statements_prepared_total', help: 'Statements prepared at databases', registers
    }),
    commandsDeclined: new Counter({
      name: 'egretyoke_commands_declined_total',
      help: 'Commands that a database declined or that could not be encoded, by kind of command and reason',
      labelNames: ['kind', 'reason'],
      registers
    }),
    linkEvents: new Counter({
      name: 'egretyoke_link_events_total',
      help: 'Links to other gateways suspected, lost, or closed because the member left; times that many were silent',
      labelNames: ['event'],
      registers
    }),
    statementsNotOffered: new Counter({
      name: 'egretyoke_statements_not_offered_total',
      help: 'Statements that a holder refused before it sent them to their database, by reason',
      labelNames: ['reason'],
      registers
    }),
    holderMoves: new Counter({
      name: 'egretyoke_holder_moves_total',
      help: 'Databases whose statements this gateway sends to another holder than before, by cause',
      labelNames: ['cause'],
      registers
    }),
    furtherAttempts: new Counter({
      name: 'egretyoke_further_attempts_total',
      help: 'Attempts after a statement\'s first one, by cause, and whether they were made or their budget was used up',
      labelNames: ['cause', 'made'],
      registers
    }),
    logLinesDropped: new Counter({
      name: 'egretyoke_log_lines_dropped_total',
      help: 'Log lines dropped because the reader was too slow or the rate limit was exceeded',
      registers
    }),
    usageReports: new Counter({
      name: 'egretyoke_usage_reports_total',
      help: 'Calls that report usage to the platform, by result',
      labelNames: ['result'],
      registers
    }),
    storeCalls: new Counter({
      name: 'egretyoke_store_calls_total',
      help: 'Calls to the platform\'s store, by kind of call and result',
      labelNames: ['call', 'result'],
      registers
    }),
    boundsReached: new Counter({
      name: 'egretyoke_bounds_reached_total',
      help: 'Callers refused or closed at a bound of what they may hold, by bound',
      labelNames: ['bound'],
      registers
    })
  }
}
