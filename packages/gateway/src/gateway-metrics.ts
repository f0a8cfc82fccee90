/**
 * Counters, gauges and histograms of the gateway.
 */
import { Counter, Gauge, Histogram } from 'prom-client'
import type { Registry } from 'prom-client'

/** What the gateway measures. */
export type GatewayMetrics = {
  statements: Counter<'result'>
  statementSeconds: Histogram<'kind'>
  logLinesDropped: Counter
}

/** Numbers that are read when somebody asks for them. */
export type GatewayReadings = {
  sessions: () => number
  contactAgeMs: () => number
  databaseConnections: () => number
  openTransactions: () => number
  queuedStatements: () => number
}

/** Bounds of the latency histogram, in seconds. */
const latencyBounds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2]

/** Registers the gateway's metrics. */
export const createGatewayMetrics = (registry: Registry, readings: GatewayReadings): GatewayMetrics => {
  const registers = [registry]
  const gauge = (name: string, help: string, read: () => number) =>
    new Gauge({ name, help, registers, collect () { this.set(read()) } })
  gauge('egretyoke_sessions', 'Open sessions of callers', readings.sessions)
  gauge('egretyoke_contact_age_ms', 'Age of the last confirmation by the store', readings.contactAgeMs)
  gauge('egretyoke_database_connections', 'Connections held to databases', readings.databaseConnections)
  gauge('egretyoke_open_transactions', 'Transactions that keep a connection', readings.openTransactions)
  gauge('egretyoke_statements_waiting', 'Statements that wait or run at databases', readings.queuedStatements)
  return {
    statements: new Counter({
      name: 'egretyoke_statements_total', help: 'Statements answered, by result', labelNames: ['result'], registers
    }),
    statementSeconds: new Histogram({
      name: 'egretyoke_statement_seconds',
      help: 'Time from a statement to its answer',
      labelNames: ['kind'],
      buckets: latencyBounds,
      registers
    }),
    logLinesDropped: new Counter({
      name: 'egretyoke_log_lines_dropped_total',
      help: 'Log lines left out because nobody read them or they were too many',
      registers
    })
  }
}
