/**
 * Counters, gauges and histograms of the gateway.
 */
import { Counter, Gauge, Histogram } from 'prom-client'
import type { Registry } from 'prom-client'

/** Metrics that the gateway updates. */
export type GatewayMetrics = {
  statements: Counter<'result'>
  statementSeconds: Histogram<'kind'>
  statementsPrepared: Counter
  commandsDeclined: Counter<'kind' | 'reason'>
  furtherAttempts: Counter<'cause' | 'made'>
  logLinesDropped: Counter
}

/** Values of the gauges, read at each scrape. */
export type GaugeReaders = {
  sessions: () => number
  contactAgeMs: () => number
  databaseConnections: () => number
  openTransactions: () => number
  queuedStatements: () => number
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
    })
  }
}
