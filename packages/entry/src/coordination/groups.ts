/**
 * The groups of the active configuration, each with its endpoints, dispatcher and answer checker.
 */
import type { Clock, Logger } from '@egretyoke/common'
import type { EndpointConfig } from '@egretyoke/config'
import type { Discipline } from '@egretyoke/limits'
import type { EntryLimits } from '../settings.js'
import type { PlatformState } from '../state/platform-state.js'
import { createAnswerChecker } from './answer-check.js'
import type { PermitSource } from './endpoint-pool.js'
import type { GroupContext } from './entry-context.js'
import { createGroupDispatcher } from './group-dispatcher.js'
import { createGroupEndpoints } from './group-endpoints.js'
import type { EndpointTransport } from './group-endpoints.js'

const minInFlight = 2

/** Dependencies of the groups. */
export type GroupsOptions = {
  state: PlatformState
  clock: Clock
  log: Logger
  limits: EntryLimits
  discipline: Discipline
  isInContact: () => boolean
  waitForContact: () => Promise<boolean>
  minConfirmableTerm: (group: string) => number
  permits: (group: string, endpoint: string) => PermitSource
  openTransport: (group: string, config: EndpointConfig) => EndpointTransport
}

/** The groups of the active configuration. */
export type Groups = {
  group: (name: string) => GroupContext | undefined
  all: () => GroupContext[]
  /** Adds, updates and removes groups according to the active configuration. */
  update: () => void
  close: () => void
}

/** Creates an empty set of groups; `update` adds them. */
export const createGroups = (options: GroupsOptions): Groups => {
  const { state, clock, log, limits } = options
  const groups = new Map<string, GroupContext>()

  const isOutOfService = (endpoint: string, config: EndpointConfig): boolean =>
    state.leaving().endpoints.includes(endpoint) ||
    state.configuration()?.dataCentres[config.dataCentre]?.state === 'out'

  /** This VM's share of twice the endpoint's slots, so that one statement runs while the next one is in transit. */
  const initialInFlight = ({ slots }: EndpointConfig): number =>
    Math.max(minInFlight, Math.ceil(2 * slots / (state.roster()?.members.length ?? 1)))

  const create = (name: string): GroupContext => {
    const record = () => state.group(name)
    const endpoints = createGroupEndpoints({
      group: name,
      clock,
      log,
      record,
      isOutOfService,
      permits: endpoint => options.permits(name, endpoint),
      initialInFlight,
      openTransport: config => options.openTransport(name, config),
      isInContact: options.isInContact,
      onChange: () => dispatcher.dispatch()
    })
    const dispatcher = createGroupDispatcher({
      group: name,
      endpoints,
      clock,
      log,
      discipline: options.discipline,
      isInContact: options.isInContact,
      maxQueued: limits.maxQueuedPerGroup,
      maxQueuedPerWorkspace: limits.maxQueuedPerWorkspace
    })
    const answerChecker = createAnswerChecker({
      record,
      waitForContact: options.waitForContact,
      minConfirmableTerm: () => options.minConfirmableTerm(name)
    })
    return { name, record, endpoints, dispatcher, answerChecker }
  }

  const closeGroup = (group: GroupContext) => {
    groups.delete(group.name)
    group.dispatcher.close()
    group.endpoints.close()
  }

  const update = () => {
    const configuredGroups = state.configuration()?.groups ?? {}
    for (const group of groups.values()) {
      if (!Object.hasOwn(configuredGroups, group.name)) closeGroup(group)
    }
    for (const [name, config] of Object.entries(configuredGroups)) {
      const group = groups.get(name) ?? create(name)
      groups.set(name, group)
      group.endpoints.setEndpoints(config.endpoints)
      group.dispatcher.dispatch()
    }
  }

  return {
    group: name => groups.get(name),
    all: () => [...groups.values()],
    update,
    close: () => {
      for (const group of groups.values()) closeGroup(group)
    }
  }
}
