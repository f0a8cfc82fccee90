/**
 * Gauges of the entry's state: contact, configuration, and open and queued requests.
 */
import { Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import type { Contact } from './coordination/contact.js'
import type { Groups } from './coordination/groups.js'
import type { PlatformState } from './state/platform-state.js'
import type { CallerService } from './transport/caller-server.js'

/** Components that the gauges read. */
export type MetricSources = {
  contact: Contact
  state: PlatformState
  groups: Groups
  callers: CallerService
}

const unknownAgeMetricMs = -1

/** Registers the gauges. */
export const registerStateMetrics = (registry: Registry, sources: MetricSources): void => {
  const { contact, state, groups, callers } = sources
  const gauge = (name: string, help: string, read: () => number) => {
    const metric: Gauge = new Gauge({ name, help, registers: [registry], collect: () => metric.set(read()) })
  }
  gauge('egretyoke_in_contact', '1 while the VM is in contact, else 0.', () => Number(contact.isInContact()))
  gauge('egretyoke_confirmed_age_ms', 'Age of the newest confirmation by the platform; -1 if none.', () => {
    const ageMs = contact.confirmedAgeMs()
    return Number.isFinite(ageMs) ? ageMs : unknownAgeMetricMs
  })
  gauge('egretyoke_config_version', 'Version of the active configuration.', () => state.configuration()?.version ?? 0)
  gauge('egretyoke_known_revision', 'Newest revision of the platform that was applied.', state.revision)
  gauge('egretyoke_open_calls', 'Open calls of callers.', callers.openCalls)
  gauge('egretyoke_queued_requests', 'Requests queued for an endpoint.', () =>
    groups.all().reduce((sum, group) => sum + group.dispatcher.queued(), 0))
}
