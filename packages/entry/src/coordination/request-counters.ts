/**
 * Metrics of requests.
 */
import { Counter, Histogram } from 'prom-client'
import type { Registry } from 'prom-client'
import type { Outcome } from '../state/outcome.js'

/** Counters of request outcomes, retries and latencies. */
export type RequestCounters = {
  outcome: (workspace: string, outcome: Outcome) => void
  served: (isRead: boolean, fromReplica: boolean) => void
  answerTooOld: () => void
  retry: () => void
  latency: (latencyMs: number) => void
}

const latencyBucketsMs = [0.5, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 5_000, 20_000]

/** Creates the metrics in a registry. */
export const createRequestCounters = (registry: Registry): RequestCounters => {
  const registers = [registry]
  const outcomes = new Counter({
    name: 'egretyoke_requests_total',
    help: 'Requests by workspace, outcome and reason.',
    labelNames: ['workspace', 'outcome', 'reason'],
    registers
  })
  const servedRequests = new Counter({
    name: 'egretyoke_served_total',
    help: 'Requests served, by access and role of the endpoint.',
    labelNames: ['access', 'role'],
    registers
  })
  const staleAnswers = new Counter({
    name: 'egretyoke_answers_too_old_total',
    help: 'Answers of replicas that were too old and were discarded.',
    registers
  })
  const retries = new Counter({ name: 'egretyoke_retries_total', help: 'Retries of requests.', registers })
  const latency = new Histogram({
    name: 'egretyoke_request_duration_ms',
    help: 'Time from the arrival of a request to its outcome.',
    buckets: latencyBucketsMs,
    registers
  })
  return {
    outcome: (workspace, outcome) => {
      outcomes.inc({ workspace, outcome: outcome.kind, reason: 'reason' in outcome ? outcome.reason : '' })
    },
    served: (isRead, fromReplica) => {
      servedRequests.inc({ access: isRead ? 'read' : 'write', role: fromReplica ? 'replica' : 'primary' })
    },
    answerTooOld: () => staleAnswers.inc(),
    retry: () => retries.inc(),
    latency: latencyMs => latency.observe(latencyMs)
  }
}
